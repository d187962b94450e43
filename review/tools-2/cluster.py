"""A small deployment on loopback addresses, for the scripts of the review.

Entries and agents are processes of the program that the deploy file builds. Their settings come from
the deploy file's templates. The store is the project's stand-in. Endpoints, callers and the balancer's
readiness probes are small stand-ins in this module that follow PROTOCOL.md.
"""
import asyncio
import json
import os
import random
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
STANDIN = os.path.join(ROOT, "target/release/cowslipwing-standin")
HOST = "desk.example"
PREFIX = "/jobs/"
SERVICE = "desk"

# The bounds of the small sites.
CANCEL_S = 3.0
CONTACT_TIMEOUT_S = 3.0
ACK_TIMEOUT_S = 4.0
STOP_TIMEOUT_S = 0.05
RECOVERY_TIME_S = 12.0
RESEND_INTERVAL_S = 1.3
MAX_HOLD_MS = 1000
HEARTBEAT_S = 1.5
TEMPLATE_VALUES = {
    "bounds.maxHoldMs": MAX_HOLD_MS, "bounds.gracePeriodS": 6, "bounds.remotePenalty": 1.5,
}
SCRIPT_LIMIT_S = 110


class CannotRun(Exception):
    """The case could not be run."""


def trouble():
    """Returns whether the disruption is to be caused."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The record of a run: what was sent, answered and run."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        line = f"{self.now():8.3f} {text}"
        print(line, file=self.file, flush=True)
        print(line, flush=True)


def free_port(ips):
    """Returns a port that is free on all of the addresses."""
    for _ in range(200):
        port = random.randrange(20000, 30000)
        sockets = []
        try:
            for ip in ips:
                s = socket.socket()
                sockets.append(s)
                s.bind((ip, port))
            return port
        except OSError:
            continue
        finally:
            for s in sockets:
                s.close()
    raise CannotRun("no free port")


def fill_in(text, values):
    """Fills in a template of the deploy file."""

    def value(match):
        name, _, form = match.group(1).partition("|")
        found = values.get(name)
        if form == "json":
            return json.dumps(found)
        return "" if found is None else str(found)

    return re.sub(r"\{\{([\w.|]+)\}\}", value, text)


async def http(address, method, path, body=None, headers=None, wait=10.0):
    """Sends one request on a connection of its own; returns the status and the body."""

    async def call():
        reader, writer = await asyncio.open_connection(*address)
        try:
            payload = b"" if body is None else (body if isinstance(body, bytes) else json.dumps(body).encode())
            lines = [f"{method} {path} HTTP/1.1", f"Host: {(headers or {}).get('Host', HOST)}",
                     "Content-Type: application/json", f"Content-Length: {len(payload)}"]
            lines += [f"{k}: {v}" for k, v in (headers or {}).items() if k != "Host"]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + payload)
            await writer.drain()
            status, _, answer = await read_message(reader)
            return int(status.split()[1]), answer
        finally:
            writer.close()

    return await asyncio.wait_for(call(), wait)


async def read_message(reader):
    """Reads a request or an answer; returns its first line, headers and body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        if ":" in line:
            k, v = line.split(":", 1)
            headers[k.strip().lower()] = v.strip()
    size = int(headers.get("content-length", 0))
    return head[0], headers, (await reader.readexactly(size) if size else b"")


class Endpoint:
    """A sound endpoint: starts, stops and lists runs, and announces itself to its agent.

    The task specification `ms=N` sets the run time of a task.
    """

    def __init__(self, name, record):
        self.name, self.record = name, record
        self.id = f"i-{name}"
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.token, self.sequence, self.last_end = 0, 0, 0
        self.runs = {}  # task -> [run, end time]
        self.highest_ended = {}
        self.ends = []  # [N, task, run, how]
        self.lease_until = 0
        self.changed = asyncio.Event()
        self.starts = []  # (time, task, run)
        self.intervals = []  # [task, run, start, end]

    def clock_ms(self):
        return int((time.monotonic() - self.started) * 1000)

    async def serve(self, ip):
        self.server = await asyncio.start_server(self.connection, ip, 0)
        self.address = self.server.sockets[0].getsockname()
        return self.address

    async def connection(self, reader, writer):
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, path, _ = first.split(" ", 2)
                status, answer = await self.handle(method, path, headers, json.loads(body or b"{}"))
                payload = json.dumps(answer).encode()
                writer.write(f"HTTP/1.1 {status} S\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(payload)}\r\n\r\n".encode() + payload)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    async def handle(self, method, path, headers, body):
        if path == "/health":
            return 200, {}
        expected = headers.get("expected-instance")
        if expected and expected != self.id:
            return 421, self.answer()
        token = body.get("fencingToken", 0)
        if token < self.token:
            return 409, self.answer(reason="fence")
        self.token = token
        if path == "/run-start":
            return self.run_start(body)
        if path == "/run-stop":
            return self.run_stop(body)
        if path == "/hold":
            return await self.hold(body)
        return 404, {}

    def answer(self, **fields):
        return {"clockMs": self.clock_ms(), **fields}

    def extend(self, deadline_ms):
        self.lease_until = max(self.lease_until, min(deadline_ms, self.clock_ms() + MAX_HOLD_MS))

    def run_start(self, body):
        task, run, deadline_ms = body["task"], body["runId"], body["deadlineMs"]
        if run <= self.highest_ended.get(task, 0):
            self.extend(deadline_ms)
            return 409, self.answer(reason="old")
        if deadline_ms < self.clock_ms():
            return 409, self.answer(reason="late")
        self.extend(deadline_ms)
        if task not in self.runs:
            run_ms = int(re.search(r"ms=(\d+)", body["taskSpec"]).group(1))
            self.runs[task] = [run, time.monotonic(), run_ms / 1000]
            self.starts.append((self.record.now(), task, run))
            self.intervals.append([task, run, self.record.now(), None])
            self.record(f"endpoint {self.name}: start of {task} run {run}")
        return 200, self.answer()

    def run_stop(self, body):
        task, run = body["task"], body["runId"]
        self.highest_ended[task] = max(run, self.highest_ended.get(task, 0))
        if task in self.runs and self.runs[task][0] <= run:
            self.end(task, "stopped")
        return 200, self.answer()

    def end(self, task, how):
        run = self.runs.pop(task)[0]
        for interval in self.intervals:
            if interval[:2] == [task, run] and interval[3] is None:
                interval[3] = self.record.now()
        self.highest_ended[task] = max(run, self.highest_ended.get(task, 0))
        self.last_end += 1
        self.ends.append([self.last_end, task, run, how, ""])
        self.record(f"endpoint {self.name}: end of {task} run {run}: {how}")
        self.changed.set()

    async def hold(self, body):
        if "deadlineMs" in body:
            self.extend(body["deadlineMs"])
        self.ends = [end for end in self.ends if end[0] > body.get("lastAcked", 0)]
        wait_s = body.get("waitTimeoutMs", 0) / 1000
        if not self.ends and wait_s:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), wait_s)
            except asyncio.TimeoutError:
                pass
        now = time.monotonic()
        running = [[task, run, "", min(99, int(100 * (now - at) / length)), 0]
                   for task, (run, at, length) in self.runs.items()]
        return 200, self.answer(born=self.born, running=running, finished=self.ends[:500])

    async def advance(self):
        while True:
            await asyncio.sleep(0.002)
            now = time.monotonic()
            lapsed = self.clock_ms() > self.lease_until
            for task, (_, at, length) in list(self.runs.items()):
                if lapsed:
                    self.end(task, "lapsed")
                elif now >= at + length:
                    self.end(task, "done")

    async def announce(self, agent):
        while True:
            self.sequence += 1
            body = {
                "service": SERVICE, "address": "%s:%d" % self.address, "zone": "z-1", "version": "v1",
                "slots": 8, "state": "ready", "coldRemainingMs": 0, "clockMs": self.clock_ms(),
                "capacity": {"cpu": 16000, "memoryLimitMb": 32768, "gpus": 0},
                "labels": ["a", "r1-1"], "sequence": self.sequence, "born": self.born,
            }
            try:
                status, _ = await http(agent, "PUT", f"/instances/{self.id}", body, wait=1.0)
                pause = HEARTBEAT_S if 200 <= status < 300 else 0.2
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pause = 0.2
            await asyncio.sleep(pause)


class Link:
    """A proxy between an agent and its endpoint, which can be cut off."""

    def __init__(self):
        self.writers, self.address = set(), None

    async def serve(self, ip, target):
        self.target = target
        self.server = await asyncio.start_server(self.connection, ip, self.address[1] if self.address else 0)
        self.address = self.server.sockets[0].getsockname()
        return self.address

    async def connection(self, reader, writer):
        try:
            there_reader, there_writer = await asyncio.open_connection(*self.target)
        except OSError:
            return writer.close()
        self.writers |= {writer, there_writer}
        try:
            await asyncio.gather(self.copy(reader, there_writer), self.copy(there_reader, writer))
        finally:
            self.writers -= {writer, there_writer}

    async def copy(self, reader, writer):
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    def cut(self):
        """Resets the connections, and refuses others until it is healed."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def heal(self):
        await self.serve(self.address[0], self.target)


class Process:
    """A process of the project's program."""

    def __init__(self, name, ip, command, settings):
        self.name, self.ip, self.command, self.settings = name, ip, command, settings
        self.child, self.stopped = None, False

    def start(self):
        log = open(self.settings + ".log", "ab")
        self.child = subprocess.Popen(self.command, cwd=ROOT, stdout=log, stderr=log,
                                      stdin=subprocess.DEVNULL,
                                      env={"PATH": os.environ.get("PATH", "/bin"), "HOME": os.path.dirname(self.settings),
                                           "LANG": "C"})
        log.close()

    def signal(self, number):
        self.child.send_signal(number)

    def end(self):
        if self.child and self.child.poll() is None:
            self.child.kill()
            self.child.wait()


class Cluster:
    """Entries, agents, endpoints and the store."""

    def __init__(self, record, entries=4, agents=4):
        self.record, self.entry_count, self.agent_count = record, entries, agents
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        net = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        self.ips = [f"{net}.{10 + n}" for n in range(entries + agents + 9)]
        self.entries, self.agents, self.endpoints, self.links, self.tasks = [], [], [], [], []
        self.store = None
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as f:
            self.roles = tomllib.load(f)["roles"]

    async def start(self):
        if not os.path.exists(STANDIN):
            raise CannotRun("review/build-2.sh has not been run")
        self.ports = {name: free_port(self.ips) for name in ("peer", "frontend", "ready", "control")}
        store_ip = self.ips[-1]
        store_port = free_port([store_ip])
        self.store_address = (store_ip, store_port)
        self.store = subprocess.Popen([STANDIN, "store", "--listen", f"{store_ip}:{store_port}"],
                                      stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL,
                                      stdin=subprocess.DEVNULL)
        await self.until(self.publish, "the store does not answer")
        for n in range(self.entry_count):
            self.add_entry(self.ips[n])
        for n in range(self.agent_count):
            await self.add_agent(self.ips[self.entry_count + n], n)
        for entry in self.entries:
            await self.until(lambda entry=entry: self.is_ready(entry), f"{entry.name} is not ready")
        await asyncio.sleep(1.0)
        self.record(f"started: {self.entry_count} entries, {self.agent_count} agents and endpoints")

    async def until(self, attempt, error, limit_s=15.0):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            try:
                if await attempt():
                    return
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun(error)

    async def publish(self):
        """Writes the configuration as the operator does."""
        config = {
            "version": 3,
            "routes": [{"name": "q-1", "host": HOST, "pathPrefix": PREFIX, "service": SERVICE,
                        "targetLatencyMs": 60, "stretch": 1.6, "maxAttempts": 3}],
            "services": [{"name": SERVICE}],
            "limits": {"maxBodyBytes": 262144},
        }
        value = json.dumps(config).encode()
        record = bytes([len(b"config")]) + b"config" + value
        status, _ = await http(self.store_address, "POST", "/log-append?topic=keyed.op&part=0",
                               struct.pack(">I", len(record)) + record, wait=1.0)
        return status == 200

    def seeds(self):
        return [f"{ip}:{self.ports['control']}" for ip in self.ips[:min(3, self.entry_count)]]

    def process(self, role, name, ip, extra):
        role = self.roles[role]
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as f:
            template = f.read()
        values = {
            **TEMPLATE_VALUES, "zone": "z-1", "nodeName": name, "ip": ip, "seedNodes": self.seeds(),
            "internalPortRange.0": self.ports["peer"], "platform.address": "%s:%d" % self.store_address,
            "listenAddresses.frontend": f"{ip}:{self.ports['frontend']}",
            "listenAddresses.ready": f"{ip}:{self.ports['ready']}",
            "listenAddresses.controlPlane": f"{ip}:{self.ports['control']}", **extra,
        }
        path = os.path.join(self.folder.name, name)
        with open(path, "w", encoding="utf-8") as f:
            f.write(fill_in(template, values))
        command = [path if word == "/etc/cowslipwing/settings.conf" else word
                   for word in role["run"].split()]
        command[0] = os.path.join(ROOT, command[0])
        if not os.path.exists(command[0]):
            raise CannotRun("the build of the deploy file has not been run")
        process = Process(name, ip, command, path)
        process.start()
        return process

    def add_entry(self, ip):
        entry = self.process("entry", f"frontend-{len(self.entries) + 1}", ip, {})
        self.entries.append(entry)
        return entry

    async def add_agent(self, ip, n):
        endpoint = Endpoint(f"e{n + 1}", self.record)
        link = Link()
        address = await link.serve(ip, await endpoint.serve(ip))
        self.endpoints.append(endpoint)
        self.links.append(link)
        self.agents.append(self.process("agent", f"side-{n + 1}", ip, {"app": "%s:%d" % address}))
        self.tasks.append(asyncio.create_task(endpoint.advance()))
        self.tasks.append(asyncio.create_task(endpoint.announce((ip, self.ports["control"]))))

    async def is_ready(self, entry):
        status, _ = await http((entry.ip, self.ports["ready"]), "GET", "/readiness", wait=1.0)
        return status == 200

    def callers_address(self, entry):
        return (entry.ip, self.ports["frontend"])

    async def call(self, entry, method, job, body=None, deadline_ms=20000, note=""):
        """Sends a caller's request and records it and its answer; returns the status and the state."""
        self.record(f"{method} {job} to {entry.name}{note}")
        headers = {"Deadline-Milliseconds": deadline_ms}
        try:
            status, answer = await http(self.callers_address(entry), method, PREFIX + job, body, headers,
                                        wait=deadline_ms / 1000)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            self.record(f"{method} {job} to {entry.name}: no answer ({type(error).__name__})")
            return None, ""
        self.record(f"{method} {job} to {entry.name}: {status} {answer.decode()}")
        return status, json.loads(answer or b"{}").get("state", "")

    def starts(self, job):
        """Returns the starts of a job's tasks as (time, endpoint, task, run)."""
        found = [(at, endpoint.name, task, run) for endpoint in self.endpoints
                 for at, task, run in endpoint.starts if task.startswith(job + ".")]
        return sorted(found)

    def close(self):
        for task in self.tasks:
            task.cancel()
        for process in self.entries + self.agents:
            process.end()
        if self.store:
            self.store.kill()
            self.store.wait()
        self.folder.cleanup()


def chain(steps, run_ms):
    """Returns a job of steps with one task each, one after the other."""
    step = {"count": 1, "cpu": 1000, "memoryLimitMb": 64, "estimatedRuntimeMs": run_ms}
    return {"bestEffort": True, "taskSpec": f"ms={run_ms}",
            "steps": [{**step, **({"dependsOn": [n - 1]} if n else {})} for n in range(steps)]}


def job_id():
    return "%016x" % random.getrandbits(64)


def run(folder, case, entries=4, agents=4):
    """Runs a case, a coroutine function that returns whether the rule was broken, and exits."""
    record = Record(os.path.join(folder, "record.txt"))
    record(f"TROUBLE={int(trouble())}")

    async def main():
        cluster = Cluster(record, entries, agents)
        try:
            await cluster.start()
            return await case(cluster, record)
        finally:
            cluster.close()

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: sys.exit(2))
    try:
        broken = asyncio.run(asyncio.wait_for(main(), SCRIPT_LIMIT_S))
    except Exception as error:  # also a fault of a stand-in: only a broken rule may exit with 1
        record(f"cannot run: {error!r}")
        sys.exit(2)
    record("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)


def runs_at_the_same_time(cluster, record):
    """Checks TWICE: returns whether two runs of one task were at work at the same time."""
    runs = {}
    for endpoint in cluster.endpoints:
        for task, run, start, end in endpoint.intervals:
            runs.setdefault(task, []).append((start, end or record.now(), endpoint.name, run))
    broken = False
    for task, intervals in runs.items():
        intervals.sort()
        for (_, end, first, run), (start, other_end, second, other) in zip(intervals, intervals[1:]):
            if start < end:
                record(f"TWICE: {task} runs at {first} (run {run}) and {second} (run {other}) for "
                       f"{1000 * (min(end, other_end) - start):.0f} ms")
                broken = True
    return broken


def starts_after_cancel(cluster, record, job, acked_at):
    """Checks UNASKED: returns whether a task of the job started later than `cancel_ms` after the
    cancellation was acknowledged."""
    late = [start for start in cluster.starts(job) if start[0] > acked_at + CANCEL_S]
    for at, endpoint, task, number in late:
        record(f"UNASKED: {task} run {number} started at {endpoint} {at - acked_at:.2f} s after the "
               f"acknowledgement")
    return bool(late)
