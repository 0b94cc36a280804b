"""A machine that a new owner has not heard of must still count in its zone."""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, ".."))

from standin.cluster import CannotRun, Cluster, job, large_site  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONE, OTHER = "lahore-east", "islamabad-dr"


def settings():
    # The machines that are up are in two zones, and the cloud has no others.
    s = large_site()
    s["machines_per_zone"], s["max_machines"] = 0, 0
    return s


def service(number, **fields):
    return job(number, jobclass="member-portal", owner="member-care", shape="service", rank="high",
               expected_s=0.0, **fields)


async def until(what, condition, within_s):
    end = time.monotonic() + within_s
    while not condition():
        if time.monotonic() > end:
            raise CannotRun("not within %.0f s: %s" % (within_s, what))
        await asyncio.sleep(0.1)


async def play(cluster):
    fleet = cluster.fleet
    # Machine numbers decide which controller owns the machines of a zone without a controller.
    for i in range(1, 13):
        fleet.add("qanat-4", OTHER if i % 3 == 0 and i <= 6 else ZONE, False, 0.0)
    broken = []
    began = fleet.started

    def started(machine, task, attempt):
        began(machine, task, attempt)
        spec = fleet.jobs[task.split("/")[0]]
        if not spec["apart"]:
            return
        name = spec["id"] + "/"
        zones = [fleet.machines[m].zone for (t, a, m) in fleet.on_machine if t.startswith(name)]
        count, most = zones.count(machine.zone), (spec["pieces"] + 1) // 2
        cluster.record("zones", name, zones)
        if count > most:
            broken.append("%s starts on %s: %d of %d tasks in %s"
                          % (task, machine.name, count, spec["pieces"], machine.zone))

    fleet.started = started
    await cluster.start()
    await cluster.until_ready()
    await asyncio.sleep(6.0)

    # The other zone is full, and some machines of this one have work.
    for spec in (service(1, pieces=2, cores=4.0, yard=OTHER),
                 service(2, pieces=7, cores=1.0, yard=ZONE)):
        status, _ = await cluster.submit(spec)
        if status not in (200, 201):
            raise CannotRun("job %s is not accepted" % spec["id"])
        await until("%s runs" % spec["id"], lambda: spec["pieces"] == sum(
            1 for (t, _, _) in fleet.on_machine if t.startswith(spec["id"])), 20.0)
    # At most one of its two tasks may be in one zone, so one waits.
    status, _ = await cluster.submit(service(3, pieces=2, cores=1.0, apart=True))
    if status not in (200, 201):
        raise CannotRun("the job that is spread is not accepted")
    tasks = lambda: [m for (t, _, m) in fleet.on_machine if t.startswith("j-000003/")]
    await until("one task of j-000003 runs", lambda: len(tasks()) == 1, 20.0)
    await asyncio.sleep(8.0)
    if broken:
        return broken
    machine = fleet.machines[tasks()[0]]

    if TROUBLE:
        # The machine is cut off as its owner ends; the cloud's interface is down meanwhile.
        cluster.cloud.down = True
        cluster.record("trouble", "cloud", "down")
        answered = machine.renewed_at
        await until("a report", lambda: machine.renewed_at > answered, 10.0)
        machine.deaf = machine.mute = True
        cluster.record("trouble", machine.name, "cut off from the network")
        owner = cluster.labels.index("orchard-0")
        await cluster.kill(owner)
        await asyncio.sleep(0.3)
        cluster.launch(owner)
    end = time.monotonic() + 45.0
    while time.monotonic() < end and not broken:
        await asyncio.sleep(0.2)
    return broken


async def main():
    cluster = Cluster(settings(), os.path.join(HERE, "record.txt"))
    try:
        broken = await asyncio.wait_for(play(cluster), 112)
        for text in broken:
            cluster.record("broken", "wrong_place", text)
        text = "BROKEN: " + broken[0] if broken else "held"
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
