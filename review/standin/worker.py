"""Stand-in of the workers, by the protocol page's "Workers -> controller nodes"."""

import asyncio
import json
import random
import time

from .http import Client, NoAnswer, Server


class Piece:
    def __init__(self, attempt):
        self.attempt, self.status, self.cause, self.kept = attempt, "fetching", None, False
        self.timer = None


class Machine:
    """One machine with its worker."""

    def __init__(self, fleet, name, kind, zone, spot):
        self.fleet, self.name, self.kind, self.zone, self.spot = fleet, name, kind, zone, spot
        self.type = next(t for t in fleet.site["machine_types"] if t["sku"] == kind)
        self.server = Server(self.handle)
        self.addr, self.rented_at = "127.0.0.1:9", time.monotonic()
        self.up = self.deleted = False
        self.deaf = self.mute = False
        self.tenure, self.tick, self.baton = 1, 0, 0
        self.pieces, self.images = {}, set()
        self.node, self.client = 0, None
        self.renewed_at = 0.0
        self.wake = asyncio.Event()
        self.hung_until = 0.0

    def entry(self, now):
        return {"id": self.name, "addr": self.addr, "host_kind": self.kind, "yard": self.zone,
                "borrowed": self.spot, "status": "running" if self.up else "starting",
                "held_s": round(now - self.rented_at, 1)}

    async def boot(self, boot_s):
        await asyncio.sleep(boot_s)
        if self.deleted:
            return
        self.addr = await self.server.start()
        self.up = True
        self.renewed_at = time.monotonic()
        self.node = self.fleet.random.randrange(len(self.fleet.nodes))
        asyncio.ensure_future(self.keep_lease())
        asyncio.ensure_future(self.report())

    def delete(self):
        self.deleted, self.up = True, False
        for piece in list(self.pieces):
            self.drop(piece)
        if self.server.server:
            self.server.close()
        self.wake.set()

    # Tasks.

    def needs(self, task):
        job = self.fleet.jobs[task.split("/")[0]]
        return job["cores"], job["ram_gb"], job["accelerators"]

    def start(self, task, attempt):
        if (task, attempt) in self.pieces:
            return
        piece = Piece(attempt)
        self.pieces[task, attempt] = piece
        job = self.fleet.jobs.get(task.split("/")[0])
        if job is None or int(task.split("/")[1]) >= job["pieces"]:
            return self.end(task, attempt, "no_such")
        if any(t == task and a != attempt and p.status != "ended"
               for (t, a), p in self.pieces.items()):
            return self.end(task, attempt, "busy")
        used = [self.needs(t) for (t, a), p in self.pieces.items()
                if p.status != "ended" and (t, a) != (task, attempt)]
        used.append(self.needs(task))
        room = (self.type["cores"], self.type["ram_gb"], self.type["accelerators"])
        if any(sum(u[i] for u in used) > room[i] + 1e-6 for i in range(3)):
            return self.end(task, attempt, "no_room")
        fetch_s = 0.0 if job["bundle"] in self.images else self.fleet.site["fetch_s"]
        piece.timer = asyncio.get_event_loop().call_later(fetch_s, self.run, task, attempt)

    def run(self, task, attempt):
        piece = self.pieces.get((task, attempt))
        if piece is None or piece.status != "fetching":
            return
        job = self.fleet.jobs[task.split("/")[0]]
        self.images.add(job["bundle"])
        piece.status = "running"
        self.fleet.started(self, task, attempt)
        if task in self.fleet.results:
            self.end(task, attempt, "done")
        elif job["shape"] == "sweep":
            piece.timer = asyncio.get_event_loop().call_later(
                self.fleet.run_s(task), self.finish, task, attempt)
        self.wake.set()

    def finish(self, task, attempt):
        piece = self.pieces.get((task, attempt))
        if piece is not None and piece.status == "running":
            if time.monotonic() < self.hung_until:
                piece.timer = asyncio.get_event_loop().call_later(
                    0.2, self.finish, task, attempt)
                return
            self.fleet.results.add(task)
            self.end(task, attempt, "done")

    def end(self, task, attempt, cause):
        piece = self.pieces[task, attempt]
        if piece.timer:
            piece.timer.cancel()
        ran = piece.status in ("running", "saving")
        piece.status, piece.cause = "ended", cause
        if ran:
            self.fleet.ended(self, task, attempt, cause)
        self.wake.set()

    def drop(self, key):
        piece = self.pieces.pop(key)
        if piece.timer:
            piece.timer.cancel()
        if piece.status in ("running", "saving"):
            self.fleet.ended(self, key[0], key[1], "dropped")

    def execute(self, orders):
        for order in orders:
            task, attempt = order["piece"], order["try"]
            piece = self.pieces.get((task, attempt))
            if order["verb"] == "start":
                self.start(task, attempt)
            elif order["verb"] == "kill" and piece and piece.status != "ended":
                self.end(task, attempt, "halted")
            elif order["verb"] == "clear" and piece and piece.status == "ended":
                del self.pieces[task, attempt]

    # Messages.

    def message(self):
        self.tick += 1
        pieces = []
        for (task, attempt), piece in self.pieces.items():
            entry = {"piece": task, "try": attempt, "status": piece.status}
            if piece.cause:
                entry["cause"] = piece.cause
            pieces.append(entry)
        return {"host": self.name, "addr": self.addr, "host_kind": self.kind, "yard": self.zone,
                "borrowed": self.spot, "tenure": self.tenure, "tick": self.tick,
                "baton": self.baton, "recall_s": None, "pieces": pieces}

    async def handle(self, method, path, query, body):
        while time.monotonic() < self.hung_until:
            await asyncio.sleep(0.05)
        if not self.up or self.deaf:
            return None
        if path == "/status":
            return 200, self.message()
        value = json.loads(body)
        if "baton" not in value or "tenure" not in value:
            return 400, {}
        if value["baton"] < self.baton or value["tenure"] != self.tenure:
            return 409, self.message()
        self.see(value["baton"])
        self.execute(value["orders"])
        self.fleet.record("do", self.name, value["orders"])
        return 200, self.message()

    def see(self, baton):
        if baton > self.baton:
            self.baton = baton
            self.wake.set()

    async def keep_lease(self):
        lease_s = self.fleet.site["workers"]["lease_s"]
        while self.up:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            if now - self.renewed_at > lease_s and now >= self.hung_until:
                for key in list(self.pieces):
                    self.drop(key)
                self.tenure, self.renewed_at = self.tenure + 1, now
                self.wake.set()

    async def report(self):
        report_s = self.fleet.site["workers"]["report_s"]
        while self.up:
            if time.monotonic() < self.hung_until:
                await asyncio.sleep(0.05)
                continue
            self.wake.clear()
            sent, tenure = time.monotonic(), self.tenure
            delay = await self.send(sent, tenure)
            if delay is None:
                wait = report_s * self.fleet.random.uniform(0.75, 1.25)
                await asyncio.sleep(0.5)
                try:
                    await asyncio.wait_for(self.wake.wait(), max(0.0, wait - 0.5))
                except asyncio.TimeoutError:
                    pass
            else:
                await asyncio.sleep(delay)

    async def send(self, sent, tenure):
        """Sends a report. Returns None if it was answered, or the delay before the next node."""
        if self.client is None or self.client.addr != self.fleet.nodes[self.node]:
            if self.client:
                self.client.close()
            self.client = Client(self.fleet.nodes[self.node])
        try:
            if self.mute:
                await asyncio.sleep(4)
                raise NoAnswer("mute")
            status, _, value = await self.client.call("POST", "/hello", self.message(), 4.0)
            if self.deaf:
                await asyncio.sleep(4)
                raise NoAnswer("deaf")
        except NoAnswer:
            status, value = 0, {}
        while time.monotonic() < self.hung_until:
            await asyncio.sleep(0.05)
        if status == 200:
            baton = value.get("baton", -1)
            if baton >= self.baton and tenure == self.tenure and time.monotonic() - sent < 4:
                self.see(baton)
                self.renewed_at = max(self.renewed_at, sent)
                self.execute(value.get("orders") or [])
                if value.get("orders"):
                    self.fleet.record("orders", self.name, value["orders"])
            return None
        foreman = value.get("foreman") if status == 421 else None
        other = self.fleet.labels.index(foreman) if foreman in self.fleet.labels else None
        if other is not None and other != self.node:
            self.node = other
            return self.fleet.random.uniform(0, 0.5)
        self.node = (self.node + 1) % len(self.fleet.nodes)
        return 1.0


class Fleet:
    """All machines, and what runs on them."""

    def __init__(self, site, labels, nodes, record, seed):
        self.site, self.labels, self.nodes, self.record = site, labels, nodes, record
        self.random = random.Random(seed)
        self.machines, self.next = {}, 1
        self.jobs, self.results, self.real_s = {}, set(), {}
        self.on_machine = {}
        self.starts = []
        self.broken = []

    def add(self, kind, zone, spot, boot_s):
        name = "host-%06d" % self.next
        self.next += 1
        machine = Machine(self, name, kind, zone, spot)
        self.machines[name] = machine
        asyncio.ensure_future(machine.boot(boot_s))
        return name

    def delete(self, name):
        machine = self.machines.get(name)
        if machine and not machine.deleted:
            machine.delete()

    def run_s(self, task):
        job = task.split("/")[0]
        return self.real_s.get(task, self.real_s.get(job, 5.0))

    def started(self, machine, task, attempt):
        others = [m for (t, a, m) in self.on_machine if t == task and m != machine.name]
        if others:
            self.broken.append("ran_twice: %s starts on %s while it is on %s"
                               % (task, machine.name, others))
        self.on_machine[task, attempt, machine.name] = time.monotonic()
        self.starts.append((time.monotonic(), task, machine.name))
        self.record("started", machine.name, [task, attempt])

    def ended(self, machine, task, attempt, cause):
        self.on_machine.pop((task, attempt, machine.name), None)
        self.record("ended", machine.name, [task, attempt, cause])
