"""Stand-in of the cloud: machine types, rentals, releases, and a machine list that lags."""

import asyncio
import json
import time

from .http import Server
from .state import Bucket


class Cloud:
    def __init__(self, site, fleet):
        self.site, self.fleet = site, fleet
        self.rps = Bucket(2 * site["cloud"]["rps"])
        self.rps.rate = site["cloud"]["rps"]
        self.rentals, self.history, self.down = {}, [], False
        self.requests = []
        self.server = Server(self.handle)

    async def start(self):
        asyncio.ensure_future(self.snapshot())
        return await self.server.start()

    async def snapshot(self):
        while True:
            now = time.monotonic()
            hosts = [m.entry(now) for m in self.fleet.machines.values() if not m.deleted]
            self.history.append((now, hosts))
            while len(self.history) > 1 and self.history[1][0] < now - 60:
                self.history.pop(0)
            await asyncio.sleep(0.5)

    async def handle(self, method, path, query, body):
        await asyncio.sleep(self.site["cloud_latency_s"])
        if self.down:
            return 503, {"error": "trouble"}
        if not self.rps.take():
            return 429, {"error": "too many requests"}
        if path == "/machine_types":
            return 200, {"kinds_of_host": self.site["machine_types"]}
        if path == "/machines" and method == "GET":
            seen = time.monotonic() - self.site["cloud"]["list_lag_s"]
            hosts = self.history[0][1]
            for at, listed in self.history:
                if at <= seen:
                    hosts = listed
            since, page = query.get("since", ""), min(500, int(query.get("page", "500")))
            hosts = sorted((h for h in hosts if h["id"] > since), key=lambda h: h["id"])
            return 200, {"hosts": hosts[:page], "truncated": len(hosts) > page}
        value = json.loads(body)
        if path == "/machines":
            return self.rent(value)
        if path == "/machines/release":
            self.requests.append(("release", value["hosts"]))
            for name in value["hosts"]:
                self.fleet.delete(name)
            return 200, {}
        return 400, {"error": "malformed"}

    def rent(self, value):
        known = self.rentals.get(value["hire"])
        if known is not None:
            return 200, {"hosts": known}
        up = sum(1 for m in self.fleet.machines.values() if not m.deleted)
        number = min(value["number"], 50, self.site["max_machines"] - up)
        if number <= 0:
            return 503, {"error": "no capacity"}
        names = [self.fleet.add(value["host_kind"], value["yard"], value["borrowed"],
                                boot_s=self.site["boot_s"]) for _ in range(number)]
        self.rentals[value["hire"]] = names
        self.requests.append(("rent", names))
        return 200, {"hosts": names}
