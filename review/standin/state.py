"""Stand-in of the state service, by the protocol page's "Controller nodes -> state service"."""

import asyncio
import json
import time
from collections import deque

from .http import Server

KEPT_CHANGES = 10_000


class Bucket:
    """Rate limit with bursts of one second's worth."""

    def __init__(self, rate):
        self.rate, self.level, self.at = rate, rate, time.monotonic()

    def take(self, amount=1):
        now = time.monotonic()
        self.level = min(self.rate, self.level + (now - self.at) * self.rate)
        self.at = now
        if self.level < amount:
            return False
        self.level -= amount
        return True


class Hold:
    def __init__(self, ttl):
        self.ttl, self.until, self.keys = ttl, time.monotonic() + ttl, set()


class State:
    """The store, and a server of its own for each node, so that nodes can be told apart.

    `hook(node, method, path, body)` may return None, "503", "drop" (no answer, not carried out),
    ("late", seconds) (no answer, carried out after that time), "mute" (carried out, no answer), or
    ("slow", seconds) (answered after that time)."""

    def __init__(self, settings, latency=0.004):
        self.rps, self.writes = Bucket(settings["rps"]), Bucket(settings["write_rps"])
        self.value_bytes = settings["value_kb"] * 1024
        self.txn_ops = settings["txn_ops"]
        self.latency = latency
        self.data, self.holds, self.epoch, self.next_hold = {}, {}, 0, 1
        self.log, self.dropped = deque(), 0
        self.changed = asyncio.Event()
        self.down = False
        self.hook = lambda node, method, path, body: None
        self.servers = []
        self.counts = {}

    async def start(self):
        asyncio.ensure_future(self.expire())

    async def serve_node(self, node):
        server = Server(lambda m, p, q, b: self.handle(node, m, p, q, b))
        self.servers.append(server)
        return await server.start()

    def set_down(self, down):
        if self.down and not down:
            for hold in self.holds.values():
                hold.until = time.monotonic() + hold.ttl
        self.down = down

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            if self.down:
                continue
            now = time.monotonic()
            for number, hold in list(self.holds.items()):
                if hold.until < now:
                    self.end_hold(number)

    def end_hold(self, number):
        hold = self.holds.pop(number)
        keys = [k for k in sorted(hold.keys) if k in self.data and self.data[k][2] == number]
        if keys:
            self.epoch += 1
            for key in keys:
                del self.data[key]
                self.note({"delete": key, "stamp": self.epoch})
            self.wake()

    def note(self, event):
        self.log.append(event)
        while len(self.log) > KEPT_CHANGES:
            self.dropped = self.log.popleft()["stamp"]

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, node, method, path, query, body):
        self.counts[node] = self.counts.get(node, 0) + 1
        action = self.hook(node, method, path, body)
        if action == "drop":
            return None
        if isinstance(action, tuple) and action[0] == "late":
            asyncio.get_event_loop().call_later(
                action[1], lambda: self.down or self.answer(method, path, query, body))
            return None
        if isinstance(action, tuple) and action[0] == "slow":
            await asyncio.sleep(action[1])
        else:
            await asyncio.sleep(self.latency)
        if path == "/follow":
            return await self.follow(node, query, action)
        if self.down or action == "503":
            return 503, {"error": "unavailable"}
        answer = self.answer(method, path, query, body)
        return None if action == "mute" else answer

    def answer(self, method, path, query, body):
        if not self.rps.take():
            return 429, {"error": "too many requests"}
        try:
            value = json.loads(body) if body else {}
        except ValueError:
            return 400, {"error": "not JSON"}
        if path == "/commit" and method == "POST":
            return self.commit(value, len(body))
        if path == "/holds" and method == "POST":
            number, self.next_hold = self.next_hold, self.next_hold + 1
            self.holds[number] = Hold(value["ttl_ms"] / 1000)
            return 200, {"hold": number}
        if path.startswith("/holds/"):
            parts = path.split("/")
            number = int(parts[2])
            if number not in self.holds:
                return 404, {"error": "no such lease"}
            if method == "DELETE":
                self.end_hold(number)
            else:
                self.holds[number].until = time.monotonic() + self.holds[number].ttl
            return 200, {}
        if path == "/store":
            return self.read_page(query)
        if path.startswith("/store/"):
            key = path[len("/store/"):]
            if key not in self.data:
                return 404, {"epoch": self.epoch}
            return 200, self.pair(key)
        return 400, {"error": "malformed"}

    def pair(self, key):
        v, stamp, hold = self.data[key]
        pair = {"key": key, "v": v, "stamp": stamp}
        if hold:
            pair["hold"] = hold
        return pair

    def read_page(self, query):
        prefix, since = query.get("starts", ""), query.get("since", "")
        limit = min(int(query.get("page", "1000")), 1000)
        keys = sorted(k for k in self.data if k.startswith(prefix) and k > since)
        pairs, size = [], 0
        for key in keys:
            pair = self.pair(key)
            size += len(json.dumps(pair))
            if len(pairs) >= limit or size > 512 * 1024:
                return 200, {"pairs": pairs, "truncated": True, "epoch": self.epoch}
            pairs.append(pair)
        return 200, {"pairs": pairs, "truncated": False, "epoch": self.epoch}

    def commit(self, value, size):
        conditions, changes = value.get("when") or [], value.get("apply") or []
        if (len(changes) > self.txn_ops or len(conditions) > 4 * self.txn_ops or size > 64 * 1024
                or any(len(json.dumps(c["v"], separators=(",", ":"))) > self.value_bytes
                       for c in changes if "set" in c)):
            return 400, {"error": "malformed"}
        if changes and not self.writes.take(len(changes)):
            return 429, {"error": "too many changes"}
        if any(c.get("hold") and c["hold"] not in self.holds for c in changes):
            return 400, {"error": "no such lease"}
        stamp = lambda key: self.data[key][1] if key in self.data else 0
        failed = [c["key"] for c in conditions if stamp(c["key"]) != c["stamp"]]
        if failed:
            return 409, {"failed": failed, "epoch": self.epoch}
        if changes:
            self.epoch += 1
        for change in changes:
            if "set" in change:
                key, hold = change["set"], change.get("hold")
                self.data[key] = (change["v"], self.epoch, hold)
                if hold:
                    self.holds[hold].keys.add(key)
                self.note({"set": key, "v": change["v"], "stamp": self.epoch})
            elif change["delete"] in self.data:
                del self.data[change["delete"]]
                self.note({"delete": change["delete"], "stamp": self.epoch})
        self.wake()
        return 200, {"epoch": self.epoch}

    async def follow(self, node, query, action):
        prefix, since = query.get("starts", ""), int(query.get("since", "0"))
        until = time.monotonic() + min(int(query.get("wait_ms", "0")), 60_000) / 1000
        if self.down or action == "503":
            return 503, {"error": "unavailable"}
        if not self.rps.take():
            return 429, {"error": "too many requests"}
        while True:
            refused = self.down or self.hook(node, "GET", "/follow", b"") == "503"
            if not refused:
                if since < self.dropped:
                    return 410, {"error": "too old"}
                news = [e for e in reversed_since(self.log, since)
                        if (e.get("set") or e.get("delete")).startswith(prefix)]
                left = until - time.monotonic()
                if news or left <= 0:
                    return 200, {"epoch": self.epoch, "news": news}
            try:
                await asyncio.wait_for(self.changed.wait(),
                                       0.05 if refused else max(0.001, min(left, 1.0)))
            except asyncio.TimeoutError:
                pass


def reversed_since(log, since):
    found = []
    for event in reversed(log):
        if event["stamp"] <= since:
            break
        found.append(event)
    found.reverse()
    return found
