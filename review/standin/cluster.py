"""A small deployment: controllers as separate processes, and stand-ins around them."""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time

from .cloud import Cloud
from .http import NoAnswer, call
from .state import State
from .worker import Fleet

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))


class CannotRun(Exception):
    """The case could not be played."""


def free_port():
    """Returns a free port below those that outgoing connections take."""
    while True:
        port = random.randrange(15_000, 32_000)
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
                return port
            except OSError:
                pass


# Like the deployment "batch desk" at a small size.
def site(nodes=3, machines_per_zone=3):
    zones = ["lahore-east", "lahore-west", "karachi-dc", "islamabad-dr"]
    return {
        "zones": zones,
        "node_zones": [zones[i % len(zones)] for i in range(nodes)],
        "teams": [
            {"name": "servicing", "cpus": 40.0, "cpus_max": 128.0, "gpus": 0.0, "gpus_max": 0.0},
            {"name": "member-care", "cpus": 64.0, "cpus_max": 184.0, "gpus": 0.0, "gpus_max": 0.0}],
        "workers": {"report_s": 2.0, "lease_s": 10.0, "gang_wait_s": 40.0, "gang_peer_s": 5.0,
                    "cancel_s": 40.0},
        "state": {"rps": 80.0, "write_rps": 20.0, "value_kb": 16.0, "txn_ops": 16},
        "cloud": {"rps": 4.0, "list_lag_s": 6.0},
        "limits": {"cpu_share": 0.12, "memory_mb": 72.0, "sockets": 1500},
        "clock_off_ms": 1000.0,
        "machine_types": [{"sku": "qanat-4", "cores": 4.0, "accelerators": 0.0, "ram_gb": 16.0,
                           "cache_gb": 40.0, "fetch_gb_per_s": 0.15, "price": 0.16,
                           "low_price": 0.07, "ready_s": 25.0, "yards": zones}],
        "machines_per_zone": machines_per_zone, "max_machines": 40, "boot_s": 20.0, "fetch_s": 0.5,
        "cloud_latency_s": 0.15,
    }


def large_site():
    """The settings of the deployment "rahbar-lahore-hunt", but for the number of machines."""
    changed = site()
    changed["teams"] = [
        {"name": "servicing", "cpus": 1800.0, "cpus_max": 6000.0, "gpus": 0.0, "gpus_max": 0.0},
        {"name": "member-care", "cpus": 3000.0, "cpus_max": 9000.0, "gpus": 0.0, "gpus_max": 0.0}]
    changed["workers"].update(report_s=5.0, lease_s=26.5, cancel_s=56.5)
    changed["state"].update(rps=250.0, write_rps=60.0)
    changed["cloud"].update(rps=7.0)
    changed["limits"] = {"cpu_share": 0.32, "memory_mb": 188.0, "sockets": 4015}
    return changed


class Cluster:
    def __init__(self, site, record_path, seed=1):
        self.site, self.seed = site, seed
        self.began = time.monotonic()
        self.file = open(record_path, "w")
        self.folder = tempfile.mkdtemp(prefix="cherryyard-review-")
        count = len(site["node_zones"])
        self.labels = ["orchard-%d" % i for i in range(count)]
        self.public = ["127.0.0.1:%d" % free_port() for _ in range(count)]
        self.peer = ["127.0.0.1:%d" % free_port() for _ in range(count)]
        self.processes = [None] * count
        self.logs = []
        self.state = State(site["state"])
        self.fleet = Fleet(site, self.labels, self.public, self.record, seed)
        self.cloud = Cloud(site, self.fleet)
        with open(os.path.join(ROOT, "deploy", "service.toml")) as f:
            self.command = re.search(r'^run = "(.*)"$', f.read(), re.MULTILINE)[1].split()
        if not os.path.exists(os.path.join(ROOT, self.command[0])):
            raise CannotRun("%s is not built" % self.command[0])

    def record(self, what, who, value):
        text = value if isinstance(value, str) else json.dumps(value)
        self.file.write("%8.3f %-8s %-12s %s\n" % (time.monotonic() - self.began, what, who, text))
        self.file.flush()

    async def start(self, peer_endpoint=None):
        """`peer_endpoint(i, j)` may give the address at which node i reaches node j."""
        asyncio.get_event_loop().add_signal_handler(signal.SIGTERM, self.give_up)
        await self.state.start()
        cloud = await self.cloud.start()
        for zone in self.site["zones"]:
            for _ in range(self.site["machines_per_zone"]):
                self.fleet.add("qanat-4", zone, False, 0.0)
        self.settings = []
        for i, label in enumerate(self.labels):
            state = await self.state.serve_node(label)
            known = []
            for j, other in enumerate(self.labels):
                if j != i:
                    addr = peer_endpoint(i, j) if peer_endpoint else self.peer[j]
                    known.append({"label": other, "domain": self.site["node_zones"][j],
                                  "endpoint": addr})
            settings = {
                "label": label, "domain": self.site["node_zones"][i],
                "public_addr": self.public[i], "peer_listen": self.peer[i], "known": known,
                "services": {"cloud": cloud, "state": state},
                "cluster": {
                    "nodes": len(self.labels), "zones": sorted(self.site["zones"]),
                    "teams": self.site["teams"], "objectives": [],
                    "workers": self.site["workers"], "state": self.site["state"],
                    "cloud": self.site["cloud"], "limits": self.site["limits"],
                    "clock_off_ms": self.site["clock_off_ms"]}}
            path = os.path.join(self.folder, label + ".json")
            with open(path, "w") as f:
                json.dump(settings, f)
            self.settings.append(path)
            self.logs.append(open(os.path.join(self.folder, label + ".log"), "ab"))
            self.launch(i)

    def launch(self, i):
        self.processes[i] = subprocess.Popen(
            self.command + [self.settings[i]], cwd=ROOT, stdin=subprocess.DEVNULL,
            stdout=self.logs[i], stderr=self.logs[i],
            env={**os.environ, "LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")})
        self.record("process", self.labels[i], "started")

    def signal(self, i, number):
        self.processes[i].send_signal(number)
        self.record("signal", self.labels[i], signal.Signals(number).name)

    async def kill(self, i):
        self.signal(i, signal.SIGKILL)
        while self.processes[i].poll() is None:
            await asyncio.sleep(0.01)

    def exited(self):
        return [(self.labels[i], p.poll()) for i, p in enumerate(self.processes)
                if p.poll() is not None]

    def give_up(self):
        """Ends everything when the time that the script may take is over."""
        self.record("result", "test", "could not run: out of time")
        self.close()
        os._exit(2)

    def close(self):
        for process in self.processes:
            if process and process.poll() is None:
                process.kill()
                process.wait()
        self.file.close()
        keep = os.environ.get("KEEP")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    # Users.

    async def ask(self, i, method, path, body=None, timeout=2.0, quiet=False):
        """Returns (status, value); status 0 stands for no answer."""
        try:
            status, headers, value = await call(self.public[i], method, path, body, timeout)
            value = dict(value)
            if "retry-after" in headers:
                value["retry_after"] = float(headers["retry-after"])
        except NoAnswer as e:
            status, value = 0, {"error": str(e)}
        if not quiet:
            self.record("user", self.labels[i], "%s %s -> %d %s" % (
                method, path + (" " + body["id"] if body and "id" in body else ""), status,
                json.dumps(value)))
        return status, value

    async def until_ready(self, within_s=30.0, nodes=None):
        end = time.monotonic() + within_s
        for i in nodes if nodes is not None else range(len(self.labels)):
            while True:
                status, _ = await self.ask(i, "GET", "/ready", timeout=1.0, quiet=True)
                if status == 200:
                    break
                if time.monotonic() > end:
                    raise CannotRun("%s does not become ready" % self.labels[i])
                await asyncio.sleep(0.2)

    async def submit(self, job, node=None, for_s=60.0, real_s=5.0):
        """Submits a job as a user does: again after 1 s or `Retry-After`, at any node."""
        self.fleet.jobs[job["id"]] = job
        self.fleet.real_s.setdefault(job["id"], real_s)
        end = time.monotonic() + for_s
        tries = 0
        while True:
            i = (node if node is not None else self.fleet.random.randrange(len(self.labels)))
            i = (i + tries) % len(self.labels)
            status, value = await self.ask(i, "POST", "/v2/runs", job, 5.0)
            if status in (200, 201, 400, 422):
                return status, value
            tries += 1
            wait = min(30.0, max(1.0, value.get("retry_after", 0)))
            if time.monotonic() + wait > end:
                return status, value
            await asyncio.sleep(wait)

    async def cancel(self, job, node=None, for_s=60.0):
        end = time.monotonic() + for_s
        tries = 0
        while True:
            i = (node if node is not None else self.fleet.random.randrange(len(self.labels)))
            i = (i + tries) % len(self.labels)
            status, value = await self.ask(i, "POST", "/v2/runs/%s/cancel" % job, {}, 5.0)
            if status == 200:
                return value["status"]
            tries += 1
            wait = min(30.0, max(1.0, value.get("retry_after", 0)))
            if time.monotonic() + wait > end:
                return None
            await asyncio.sleep(wait)


def job(number, **fields):
    spec = {"id": "j-%06d" % number, "jobclass": "ledger-extract", "owner": "servicing",
            "shape": "sweep", "rank": "standard", "pieces": 1, "cores": 1.0, "accelerators": 0.0,
            "ram_gb": 2.0, "bundle": "img-01", "image_gb": 1.0, "kinds_of_host": None, "yard": None,
            "together": False, "apart": False, "borrowed": False, "expected_s": 5.0,
            "snapshot_every_s": 0.0, "snapshot_cost_s": 0.0, "due_s": None}
    spec.update(fields)
    return spec
