"""Runs controllers by the command of the deploy file, with stand-ins around them, on loopback and the real clock."""
import asyncio
import json
import os
import pathlib
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import re
import net
from state import StateService
from cloud import Cloud
from worker import Worker

ROOT = pathlib.Path(__file__).resolve().parents[2]
HARD_LIMIT_S = 119.0
SUBMISSIONS = "/work"  # where users submit jobs, by PROTOCOL
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def free_ports(n):
    """Free ports below the range from which the system takes ports for outgoing connections."""
    ports = []
    while len(ports) < n:
        port = random.randrange(12000, 32000)
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


def job_url(job_id):
    """The path of a job in the users' protocol."""
    return "/".join((SUBMISSIONS, job_id))


class Rig:
    FLAVOURS = [
        {"sku": "depot-box", "vcpus": 8.0, "cards": 0.0, "memoryGb": 64.0, "localGb": 70.0, "pullGbPerS": 0.4,
         "price": 0.48, "lowPrice": 0.16, "readyS": 20.0, "sites": ["caboolture", "redcliffe"]},
        {"sku": "civic-core", "vcpus": 64.0, "cards": 0.0, "memoryGb": 128.0, "localGb": 40.0, "pullGbPerS": 0.25,
         "price": 2.99, "lowPrice": 0.96, "readyS": 25.0, "sites": ["caboolture", "redcliffe"]}]
    ZONES = ["caboolture", "redcliffe"]
    RESTART_S = 6.0

    def __init__(self, folder, nodes=3):
        self.folder = pathlib.Path(folder)
        self.record = open(self.folder / "record.txt", "w", buffering=1)
        self.t0 = time.monotonic()
        self.events = []
        self.n = nodes
        self.tmp = pathlib.Path(tempfile.mkdtemp(prefix="chalkhollow-review-"))
        self.procs = [None] * nodes
        self.ended = []           # (time, node, exit code) of processes that ended by themselves
        self.killed = set()
        self.restart = True
        self.jobs = {}
        self.workers = []
        self.limits = {"rps": 80.0, "write_rps": 20.0, "value_kb": 8.0, "txn_ops": 12}
        self.worker_settings = {"report_s": 2.0, "lease_s": 10.0, "gang_wait_s": 50.0, "gang_peer_s": 8.0,
                                "cancel_s": 40.0}
        self.teams = [{"name": "fleet-data-%02d" % i, "cpus": 64.0, "cpus_max": 192.0, "gpus": 0.0, "gpus_max": 0.0}
                      for i in range(6)]
        self.extra_facts = {}
        self.next_limits = {}  # {"next": {...}}, the limits that the state service will have later
        self.labels = ["worker-%d" % i for i in range(nodes)]
        self.tasks = []
        self.roots = {}  # by node: the checkout that it runs, if not this one

    def now(self):
        return time.monotonic() - self.t0

    def log(self, what, **fields):
        event = {"t": round(self.now(), 3), "what": what, **fields}
        self.events.append(event)
        self.record.write(json.dumps(event) + "\n")

    async def start_stand_ins(self):
        self.state = StateService(self.limits)
        await self.state.start(self.n)
        self.cloud = Cloud(self.FLAVOURS)
        await self.cloud.start()
        ports = free_ports(2 * self.n)
        self.client_ports, self.mesh_ports = ports[:self.n], ports[self.n:]
        self.peer_via = {}  # (from, to) -> port, where a proxy stands between two controllers

    async def add_worker(self, flavour="depot-box", site=None, standby=False):
        i = len(self.workers) + 1
        spec = next(f for f in self.FLAVOURS if f["sku"] == flavour)
        w = Worker("n-%06d" % i, flavour, site or self.ZONES[i % 2], (spec["vcpus"], spec["memoryGb"]),
                   self.client_ports, self.labels, self.jobs, self.worker_settings, self.log, standby)
        await w.start()
        w.node = i % self.n
        self.workers.append(w)
        self.cloud.add(w)
        return w

    def settings(self, i):
        return {
            "label": self.labels[i], "location": self.ZONES[i % 2],
            "client_listen": "127.0.0.1:%d" % self.client_ports[i], "mesh_addr": "127.0.0.1:%d" % self.mesh_ports[i],
            "seeds": [{"label": self.labels[j], "location": self.ZONES[j % 2],
                       "endpoint": "127.0.0.1:%d" % self.peer_via.get((i, j), self.mesh_ports[j])}
                      for j in range(self.n) if j != i],
            "external": {"cloud": "127.0.0.1:%d" % self.cloud.port, "state": "127.0.0.1:%d" % self.state.ports[i]},
            "facts": {"initial_size": self.n, "zones": self.ZONES, "teams": self.teams,
                      "objectives": [{"kind": "guarantee", "within_s": 5.0, "share": 0.9}],
                      "workers": self.worker_settings, "state": dict(self.limits, **self.next_limits),
                      "cloud": {"rps": 3.0, "list_lag_s": 5.0},
                      "machine_limits": {"cpu_share": 0.136, "memory_mb": 210.0, "max_connections": 1500},
                      "skew_ms": 25.0, **self.extra_facts}}

    def start_controller(self, i):
        path = self.tmp / ("settings-%d.json" % i)
        path.write_text(json.dumps(self.settings(i)))
        root = self.roots.get(i, ROOT)
        run = re.search(r'^run = "(.*)"$', (root / "deploy/service.toml").read_text(), re.M).group(1)
        err = open(self.tmp / ("controller-%d.log" % i), "ab")
        env = dict(os.environ, LOG_LEVEL=os.environ.get("LOG_LEVEL", "info"))
        self.procs[i] = subprocess.Popen(shlex.split(run) + [str(path)], cwd=root, stdin=subprocess.DEVNULL,
                                         stdout=err, stderr=err, env=env, start_new_session=True)
        self.log("controller_started", node=i)

    def kill(self, i):
        p = self.procs[i]
        if p and p.poll() is None:
            self.killed.add(p.pid)
            self.log("controller_killed", node=i)
            p.kill()
            p.wait()

    def signal(self, i, sig):
        self.log("signal", node=i, signal=signal.Signals(sig).name)
        self.procs[i].send_signal(sig)

    async def supervise(self):
        """Starts an ended controller again after RESTART_S, with the same settings, as the platform does."""
        due = {}
        while True:
            await asyncio.sleep(0.1)
            for i, p in enumerate(self.procs):
                if p is None or p.poll() is None or i in due:
                    continue
                if p.pid not in self.killed:
                    self.log("controller_ended_by_itself", node=i, code=p.returncode)
                    self.ended.append((self.now(), i, p.returncode))
                due[i] = time.monotonic() + self.RESTART_S
            for i, at in list(due.items()):
                if self.restart and time.monotonic() >= at:
                    del due[i]
                    self.start_controller(i)

    async def call(self, node, method, path, value=None, timeout=5.0):
        """One request to one controller on a new connection: (status, body), or (0, reason)."""
        client = net.Client("127.0.0.1", self.client_ports[node])
        try:
            return await client.request(method, path, value, timeout=timeout, connect_timeout=0.5)
        except Exception as e:
            return 0, type(e).__name__
        finally:
            client.close()

    async def leader(self, wait_s=30.0):
        end = time.monotonic() + wait_s
        while time.monotonic() < end:
            for i in range(self.n):
                value = self.state.rows.get("ch/lead")
                status, _ = await self.call(i, "GET", "/up", timeout=1.0)
                if value and value[0]["owner"] == self.labels[i] and status == 200 and value[0]["writes"] > 2:
                    return i
            await asyncio.sleep(0.2)
        raise CannotRun("no controller leads")

    def job(self, job_id, team="fleet-data-00", pieces=1, vcpus=4.0, memory=4.6, run_s=10.0, **more):
        spec = {"nameId": job_id, "workload": "odometer-import", "owner": team, "shape": "batch",
                "urgency": "standard", "pieces": pieces, "vcpus": vcpus, "cards": 0.0, "memoryGb": memory,
                "bundle": "img-01", "pullGb": 0.7, "flavours": None, "site": None, "together": False,
                "spread": False, "standby": True, "expectedS": run_s, "snapshotS": 0.0, "flushS": 0.0, "dueS": None}
        spec.update(more)
        self.jobs[job_id] = dict(spec, run_s=run_s)
        return spec

    async def submit(self, spec, node=None, for_s=60.0):
        """Submits until the job is accepted, as users do; returns the time of the answer."""
        end = time.monotonic() + for_s
        i = 0 if node is None else node
        while time.monotonic() < end:
            status, body = await self.call(i, "POST", SUBMISSIONS, spec)
            self.log("submit", node=i, job=spec["nameId"], status=status, body=body)
            if status in (200, 201):
                return self.now()
            if status in (400, 422):
                raise CannotRun("submission refused with %d" % status)
            await asyncio.sleep(1.0)
            i = (i + 1) % self.n
        raise CannotRun("a submission was not accepted in time")

    async def poll(self, job_id, node, timeout=2.0):
        status, body = await self.call(node, "GET", job_url(job_id), timeout=timeout)
        self.log("poll", node=node, job=job_id, status=status, body=body)
        return status, body

    async def cancel(self, job_id, node=0, for_s=60.0):
        end = time.monotonic() + for_s
        i = node
        while time.monotonic() < end:
            status, body = await self.call(i, "POST", job_url(job_id) + "/withdraw")
            self.log("withdraw", node=i, job=job_id, status=status, body=body)
            if status == 200:
                return body["status"]
            await asyncio.sleep(1.0)
            i = (i + 1) % self.n
        raise CannotRun("a cancellation was not confirmed in time")

    def close(self):
        self.restart = False
        for task in self.tasks:
            task.cancel()
        for p in self.procs:
            if p and p.poll() is None:
                p.kill()
                p.wait()
        for i in range(self.n):
            try:
                text = (self.tmp / ("controller-%d.log" % i)).read_text(errors="replace")
                for line in text.splitlines()[-200:]:
                    self.record.write("controller %d: %s\n" % (i, line))
            except OSError:
                pass
        shutil.rmtree(self.tmp, ignore_errors=True)


class CannotRun(Exception):
    pass


def main(folder, scenario, limit_s=115.0, nodes=3, setup=None):
    """Runs scenario(rig) -> list of violations. Exit codes: 1 broken, 0 held, 2 could not run."""
    code = 2
    rig = Rig(folder, nodes)

    async def go():
        if setup:
            setup(rig)
        await rig.start_stand_ins()
        rig.tasks.append(asyncio.ensure_future(rig.supervise()))
        return await asyncio.wait_for(scenario(rig), limit_s - 3)

    def stop(*_):
        rig.close()
        os._exit(2)

    watchdog = threading.Timer(HARD_LIMIT_S, stop)  # whatever hangs, the script and its processes end in time
    watchdog.daemon = True
    watchdog.start()
    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    try:
        violations = asyncio.new_event_loop().run_until_complete(go())
        if net.errors:
            raise CannotRun("faults of the stand-ins: %s" % net.errors[:3])
        for v in violations:
            rig.log("RULE BROKEN", text=v)
            print("RULE BROKEN:", v)
        if not violations:
            rig.log("rule held")
            print("rule held")
        code = 1 if violations else 0
    except CannotRun as e:
        rig.log("could not run", text=str(e))
        print("could not run:", e)
    except Exception as e:
        rig.log("could not run", text=repr(e))
        print("could not run:", repr(e))
    finally:
        rig.close()
    sys.stdout.flush()
    os._exit(code)
