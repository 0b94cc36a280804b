"""Jobs that ask for one zone or for several, and are accepted while the workers of two zones reach
no controller, must run once these do."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, ".."))

from standin.cluster import CannotRun, Cluster, job, large_site  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
JOBS, GAP_S = 24, 0.05
# Longer than a worker may be silent and a controller may take to tell of it; about half a lease.
MUTE_S = 12.5
# Rule of the page on two troubles at once.
WAITING_S = 90.0


def settings():
    # Three zones have machines, each of them a controller's; the cloud has no others.
    s = large_site()
    s["machines_per_zone"], s["max_machines"] = 0, 0
    return s


class Waiting:
    """For how long each job has had a task waiting while a machine that fits had room."""

    def __init__(self, cluster):
        self.cluster, self.since = cluster, {}

    def room_for(self, spec):
        fleet, name = self.cluster.fleet, spec["id"] + "/"
        held = [(t, m) for (t, a), p, m in
                ((k, p, m) for m in fleet.machines.values() for k, p in m.pieces.items())
                if p.status != "ended"]
        team = next(t for t in self.cluster.site["teams"] if t["name"] == spec["owner"])
        used = sum(fleet.jobs[t.split("/")[0]]["cores"] for t, _ in held
                   if fleet.jobs[t.split("/")[0]]["owner"] == spec["owner"])
        if used + spec["cores"] > team["cpus_max"]:
            return None
        most = (spec["pieces"] + 1) // 2 if spec["apart"] else spec["pieces"]
        zones = {m.zone for t, m in held if t.startswith(name)} if spec["together"] else set()
        for machine in fleet.machines.values():
            if not machine.up:
                continue
            in_zone = sum(1 for t, m in held if t.startswith(name) and m.zone == machine.zone)
            on = [fleet.jobs[t.split("/")[0]] for t, m in held if m is machine]
            if (in_zone < most and zones <= {machine.zone} and sum(j["cores"] for j in on) + spec["cores"] <= machine.type["cores"]
                    and sum(j["ram_gb"] for j in on) + spec["ram_gb"] <= machine.type["ram_gb"]):
                return machine
        return None

    def look(self, specs):
        now = time.monotonic()
        for spec in specs:
            fleet = self.cluster.fleet
            begun = {t for (t, _, _) in fleet.on_machine} | fleet.results
            begun = [t for t in begun if t.startswith(spec["id"] + "/")]
            if len(begun) < spec["pieces"] and self.room_for(spec):
                self.since.setdefault(spec["id"], now)
            else:
                self.since.pop(spec["id"], None)
        return {name: now - since for name, since in self.since.items()}


async def play(cluster):
    fleet = cluster.fleet
    for zone in cluster.site["zones"][:3]:
        for _ in range(4):
            fleet.add("qanat-4", zone, False, 0.0)
    await cluster.start()
    await cluster.until_ready()
    await asyncio.sleep(2.0)
    # The first zone is full.
    full = job(100, jobclass="member-portal", owner="member-care", shape="service", rank="high",
               pieces=4, cores=4.0, yard=cluster.site["zones"][0], expected_s=0.0)
    await cluster.submit(full)
    end = time.monotonic() + 10.0
    while len(fleet.on_machine) < full["pieces"]:
        if time.monotonic() > end:
            raise CannotRun("the first zone is not full")
        await asyncio.sleep(0.1)

    muted = [m for m in fleet.machines.values() if m.zone in cluster.site["zones"][1:3]]
    if TROUBLE:
        for machine in muted:
            machine.mute = True
            cluster.record("trouble", machine.name, "reaches no controller")
        await asyncio.sleep(MUTE_S)

    common = dict(owner="member-care", rank="high", pieces=2, cores=0.5, ram_gb=1.0)
    specs = []
    for n in range(1, JOBS + 1):
        if n % 2:
            specs.append(job(n, jobclass="statement-render", together=True, **common))
        else:
            specs.append(job(n, jobclass="member-portal", shape="service", expected_s=0.0,
                             apart=True, **common))

    async def submit(n, spec):
        await asyncio.sleep(n * GAP_S)
        return await cluster.submit(spec)

    results = await asyncio.gather(*(submit(n, s) for n, s in enumerate(specs)))
    if any(status not in (200, 201) for status, _ in results):
        raise CannotRun("a job is not accepted: %s" % results)
    for machine in muted:
        machine.mute = False
    cluster.record("case", "test", "troubles are over")
    waiting = Waiting(cluster)
    began = time.monotonic()
    while True:
        await asyncio.sleep(0.5)
        waits = waiting.look(specs)
        late = {name: s for name, s in waits.items() if s >= WAITING_S}
        if late:
            for name in late:
                machine = waiting.room_for(next(s for s in specs if s["id"] == name))
                status, view = await cluster.ask(0, "GET", "/v2/runs/" + name)
                cluster.record("broken", "waiting", "%s has waited for %.0f s while %s in %s has room: %s"
                               % (name, late[name], machine.name, machine.zone, view))
            return list(late)
        if not waits and time.monotonic() - began > 10.0:
            return []


async def main():
    cluster = Cluster(settings(), os.path.join(HERE, "record.txt"))
    try:
        broken = await asyncio.wait_for(play(cluster), 116)
        text = "BROKEN: %d jobs wait though a machine that fits has room" % len(broken)
        text = text if broken else "held"
        cluster.record("result", "test", text)
        print(text)
        return 1 if broken else 0
    except (CannotRun, asyncio.TimeoutError) as e:
        cluster.record("result", "test", "could not run: %r" % e)
        print("could not run: %r" % e)
        return 2
    finally:
        cluster.close()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
