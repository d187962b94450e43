"""A small deployment of real processes on loopback addresses, for the cases of this review.

The entries and agents are the programs of the deploy file, with settings filled in from the templates of
the repository. The store is the project's stand-in. Endpoints ("minions") and clients are written here;
they follow the users' PROTOCOL.md.
"""

import atexit
import http.client
import json
import os
import random
import re
import resource
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
ZONES = ["bkk-a", "bkk-b", "nonthaburi", "ayutthaya"]
HOST = "desk.example"
PREFIX = "/jobs/"
SERVICE = "order-desk"
CALLER_PORT, READY_PORT, BEAT_PORT, PEER_PORT = 8161, 8167, 8166, 7720
MAX_HOLD_MS = 1000
HEARTBEAT_S = 1.5


class CannotRun(Exception):
    """The case could not be run; it says nothing about the rule."""


class Record:
    """The list of what was sent, answered and run, with times since the start."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.events = []
        self.lock = threading.Lock()
        self.file = open(path, "w")

    def now(self):
        return time.monotonic() - self.started

    def add(self, kind, **fields):
        with self.lock:
            if self.file.closed:
                return self.now()
            event = dict(at=self.now(), kind=kind, **fields)
            self.events.append(event)
            text = " ".join(f"{key}={value}" for key, value in fields.items())
            self.file.write(f"{event['at']:9.3f} {kind} {text}\n")
            self.file.flush()
            return event["at"]

    def close(self):
        with self.lock:
            self.file.close()

    def of(self, kind, **fields):
        with self.lock:
            return [e for e in self.events
                    if e["kind"] == kind and all(e.get(k) == v for k, v in fields.items())]


class Minion:
    """A sound minion: it starts, stops and lists runs, and sends heartbeats to its agent."""

    def __init__(self, record, number, ip, zone, cpu=32000):
        self.record, self.ip, self.zone, self.cpu = record, ip, zone, cpu
        self.id = f"i-{number:04d}"
        self.born = int(time.time() * 1000)
        self.clock_started = time.monotonic()
        self.cond = threading.Condition()
        self.runs = {}  # task -> [run, end time, cpu, started]
        self.last_ended = {}  # task -> highest run that ended or was stopped
        self.ends = []
        self.end_number = 0
        self.token = 0
        self.lease_until = 0
        self.sequence = 0
        self.closed = False
        minion = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            wbufsize = 65536
            disable_nagle_algorithm = True

            def log_message(self, *args):
                pass

            def do_POST(self):
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                expected = self.headers.get("Expected-Instance")
                status, reply = minion.handle(self.path, expected, json.loads(body))
                data = json.dumps(reply).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)
                self.wfile.flush()

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 64

            def handle_error(self, request, client_address):
                """An agent that is killed resets its connections."""

        self.server = Server((ip, 0), Handler)
        self.address = f"{ip}:{self.server.server_address[1]}"
        for target in (self.server.serve_forever, self.advance, self.beat):
            threading.Thread(target=target, daemon=True).start()

    def clock_ms(self):
        return int((time.monotonic() - self.clock_started) * 1000)

    def handle(self, path, expected, body):
        with self.cond:
            if expected is not None and expected != self.id:
                return 421, {"clockMs": self.clock_ms(), "born": self.born}
            token = body.get("fencingToken", 0)
            if token < self.token:
                return 409, {"clockMs": self.clock_ms(), "reason": "fence", "born": self.born}
            self.token = token
            if path == "/run-start":
                return self.start(body)
            if path == "/run-stop":
                return self.stop(body)
            if path == "/hold":
                return self.hold(body)
            return 404, {"clockMs": self.clock_ms()}

    def extend(self, deadline_ms):
        self.lease_until = max(self.lease_until, min(deadline_ms, self.clock_ms() + MAX_HOLD_MS))

    def start(self, body):
        task, run = body["task"], body["runId"]
        if task in self.runs and self.runs[task][0] == run:
            return 200, self.reply()
        if run <= self.last_ended.get(task, 0) or (task in self.runs and run < self.runs[task][0]):
            self.extend(body["deadlineMs"])
            return 409, dict(self.reply(), reason="old")
        if body["deadlineMs"] < self.clock_ms():
            return 409, dict(self.reply(), reason="late")
        self.extend(body["deadlineMs"])
        words = dict(word.split("=") for word in body["taskSpec"].split() if "=" in word)
        now = time.monotonic()
        self.runs[task] = [run, now + int(words["ms"]) / 1000, int(words.get("cpu", 0)), now]
        self.record.add("start", minion=self.id, task=task, run=run, token=body["fencingToken"])
        return 200, self.reply()

    def stop(self, body):
        task, run = body["task"], body["runId"]
        self.last_ended[task] = max(run, self.last_ended.get(task, 0))
        if task in self.runs and self.runs[task][0] <= run:
            self.end(task, "stopped")
        return 200, self.reply()

    def hold(self, body):
        if "deadlineMs" in body:
            self.extend(body["deadlineMs"])
        acked = body.get("lastAcked", 0)
        self.ends = [end for end in self.ends if end[0] > acked]
        until = time.monotonic() + body.get("waitTimeoutMs", 0) / 1000
        while not self.ends and time.monotonic() < until:
            self.cond.wait(until - time.monotonic())
        now = time.monotonic()
        running = []
        for task, (run, ends_at, _, started) in self.runs.items():
            percent = int(100 * (now - started) / max(ends_at - started, 0.001))
            running.append([task, run, "", min(percent, 99), 0])
        return 200, dict(self.reply(), running=running, finished=self.ends[:500])

    def reply(self):
        return {"clockMs": self.clock_ms(), "born": self.born}

    def end(self, task, how):
        run = self.runs.pop(task)[0]
        self.last_ended[task] = max(run, self.last_ended.get(task, 0))
        self.end_number += 1
        self.ends.append([self.end_number, task, run, how, ""])
        self.record.add("end", minion=self.id, task=task, run=run, how=how)
        self.cond.notify_all()

    def advance(self):
        while not self.closed:
            time.sleep(0.003)
            with self.cond:
                now = time.monotonic()
                lapsed = self.clock_ms() > self.lease_until
                for task in list(self.runs):
                    if now >= self.runs[task][1]:
                        self.end(task, "done")
                    elif lapsed:
                        self.end(task, "lapsed")

    def heartbeat(self):
        return {"service": SERVICE, "address": self.address, "zone": self.zone, "version": "v1",
                "slots": 8, "state": "ready", "coldRemainingMs": 0, "labels": ["a", "r1"],
                "capacity": {"cpu": self.cpu, "memoryLimitMb": 65536, "gpus": 0},
                "clockMs": self.clock_ms(), "sequence": self.sequence, "born": self.born}

    def beat(self):
        while not self.closed:
            self.sequence += 1
            body = self.heartbeat()
            try:
                call((self.ip, BEAT_PORT), "PUT", f"/instances/{self.id}", body, timeout=1)
                time.sleep(HEARTBEAT_S)
            except OSError:
                time.sleep(0.2)


def call(address, method, path, body=None, headers=(), timeout=10):
    """Sends one request on a connection of its own; returns the status and the body."""
    connection = http.client.HTTPConnection(*address, timeout=timeout)
    try:
        data = json.dumps(body).encode() if body is not None else b""
        headers = dict(headers)
        if data:
            headers["Content-Type"] = "application/json"
        connection.request(method, path, data, headers)
        response = connection.getresponse()
        return response.status, response.read().decode()
    except http.client.HTTPException as error:
        raise OSError(f"broken: {error!r}") from error
    finally:
        connection.close()


def fill(template, fields):
    """Fills in the placeholders of a template of the settings."""

    def value(match):
        path, _, form = match.group(1).partition("|")
        found = fields
        for part in path.split("."):
            found = found[int(part)] if isinstance(found, list) else found.get(part, "")
        return json.dumps(found) if form == "json" else str(found)

    return re.sub(r"\{\{([^}]+)\}\}", value, template)


class Daemon:
    def __init__(self, role, ip, program, settings, log, descriptors=None):
        self.role, self.ip, self.program = role, ip, program
        self.settings, self.log, self.process = settings, log, None
        self.descriptors = descriptors

    def start(self):
        log = open(self.log, "a")
        self.process = subprocess.Popen(
            [self.program, "--settings", self.settings], cwd=ROOT, stdin=subprocess.DEVNULL,
            stdout=log, stderr=log, preexec_fn=self.limit_descriptors)

    def limit_descriptors(self):
        """Limits the descriptors of the started process, as the platform does."""
        resource.setrlimit(resource.RLIMIT_NOFILE, (self.descriptors, self.descriptors))

    def memory_mb(self):
        """Returns the memory of the process, or 0 if it has ended."""
        try:
            with open(f"/proc/{self.process.pid}/status") as status:
                lines = dict(line.split(":", 1) for line in status)
            return int(lines["VmRSS"].split()[0]) / 1024
        except (OSError, KeyError):
            return 0

    def signal(self, number):
        self.process.send_signal(number)


class Deployment:
    def __init__(self, record, entries=4, agents=6, entry_limits=((260, 4100),)):
        """Starts a deployment. `entry_limits` are the memory in MB and the descriptors of each entry; the
        last ones hold for all further entries."""
        self.record = record
        self.dir = tempfile.TemporaryDirectory(prefix="review-")
        self.net = self.free_network()
        self.children = []
        atexit.register(self.close)
        program = os.path.join(ROOT, "target/release/cowslipwingd")
        standin = os.path.join(ROOT, "target/release/cowslipwing-standin")
        for path in (program, standin):
            if not os.path.exists(path):
                raise CannotRun(f"{os.path.relpath(path, ROOT)} is not built")
        self.store = self.start_store(standin)
        self.version = 0
        self.publish()
        self.entries, self.agents, self.minions = [], [], []
        seeds = [f"{self.ip(n)}:{PEER_PORT}" for n in range(min(entries, 3))]
        for number in range(entries + agents):
            ip, is_entry = self.ip(number), number < entries
            role = "entry" if is_entry else "agent"
            zone = ZONES[number % len(ZONES)]
            memory, descriptors = (128, 4096)
            if is_entry:
                memory, descriptors = entry_limits[min(number, len(entry_limits) - 1)]
            fields = {
                "nodeName": f"{'frontend' if is_entry else 'side'}-{zone}-{number}", "zone": zone,
                "ip": ip, "seedNodes": seeds, "internalPortRange": [PEER_PORT, PEER_PORT + 15],
                "listenAddresses": {"frontend": f"{ip}:{CALLER_PORT}", "ready": f"{ip}:{READY_PORT}",
                                    "controlPlane": f"{ip}:{BEAT_PORT}"},
                "platform": {"address": f"{self.store[0]}:{self.store[1]}"},
                "limits": {"memoryMb": memory, "maxFileDescriptors": descriptors},
                "bounds": {"maxHoldMs": MAX_HOLD_MS, "gracePeriodS": 6, "remotePenalty": 1.5},
            }
            if not is_entry:
                minion = Minion(record, number, ip, zone)
                self.minions.append(minion)
                fields["app"] = minion.address
            with open(os.path.join(ROOT, f"platform/templates/{role}.yaml")) as template:
                text = fill(template.read(), fields)
            settings = os.path.join(self.dir.name, f"{role}-{number}.yaml")
            with open(settings, "w") as file:
                file.write(text)
            log = os.path.join(self.dir.name, f"{role}-{number}.log")
            daemon = Daemon(role, ip, program, settings, log, descriptors)
            (self.entries if is_entry else self.agents).append(daemon)
            self.children.append(daemon)
            daemon.start()
        self.wait_ready()

    def free_network(self):
        for _ in range(50):
            net = (random.randint(10, 250), random.randint(1, 250))
            try:
                for host, port in ((10, CALLER_PORT), (10, PEER_PORT), (14, BEAT_PORT)):
                    with socket.socket() as probe:
                        probe.bind((f"127.{net[0]}.{net[1]}.{host}", port))
                return net
            except OSError:
                continue
        raise CannotRun("no free loopback network")

    def ip(self, number):
        return f"127.{self.net[0]}.{self.net[1]}.{10 + number}"

    def start_store(self, standin):
        process = subprocess.Popen(
            [standin, "store", "--listen", f"{self.ip(190)}:0"], cwd=ROOT, text=True,
            stdin=subprocess.DEVNULL, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL)
        store = Daemon("store", self.ip(190), standin, None, None)
        store.process = process
        self.children.append(store)
        host, port = process.stdout.readline().split()[-1].rsplit(":", 1)
        return host, int(port)

    def publish(self, queues=(("slot-book", PREFIX),)):
        """Writes a configuration with these queues, as the operator does."""
        self.version += 7
        routes = [{"name": name, "host": HOST, "pathPrefix": prefix, "service": SERVICE,
                   "timeoutMs": 30000, "targetLatencyMs": 60, "priority": 1, "maxAttempts": 4,
                   "stretch": 1.6} for name, prefix in queues]
        config = {"version": self.version, "routes": routes, "services": [{"name": SERVICE}],
                  "limits": {"maxBodyBytes": 262144}}
        content = b"\x06config" + json.dumps(config).encode()
        body = struct.pack(">I", len(content)) + content
        connection = http.client.HTTPConnection(*self.store, timeout=5)
        connection.request("POST", "/log-append?topic=keyed.op&part=0", body)
        if connection.getresponse().status != 200:
            raise CannotRun("the store refused the configuration")
        self.record.add("config-acknowledged", version=self.version, queues=[n for n, _ in queues])

    def wait_ready(self):
        until = time.monotonic() + 20
        for entry in self.entries:
            while True:
                try:
                    if call((entry.ip, READY_PORT), "GET", "/readiness", timeout=1)[0] == 200:
                        break
                except OSError:
                    pass
                if time.monotonic() > until:
                    raise CannotRun(f"{entry.ip} is not ready")
                time.sleep(0.05)
        # All agents attach within a second.
        time.sleep(1.5)

    def address(self, entry):
        return self.entries[entry].ip, CALLER_PORT

    def post(self, entry, job, body, deadline_ms, address=None):
        """Submits a job; returns the status and the body, or `None` and the error."""
        self.record.add("post", job=job, entry=entry)
        headers = {"Host": HOST, "Deadline-Milliseconds": str(deadline_ms)}
        try:
            status, text = call(address or self.address(entry), "POST", PREFIX + job, body, headers,
                                timeout=deadline_ms / 1000)
        except OSError as error:
            status, text = None, repr(error)
        self.record.add("post-answer", job=job, entry=entry, status=status, body=text)
        return status, text

    def delete(self, entry, job):
        self.record.add("delete", job=job, entry=entry)
        try:
            status, text = call(self.address(entry), "DELETE", PREFIX + job, None, {"Host": HOST},
                                timeout=4)
        except OSError as error:
            status, text = None, repr(error)
        self.record.add("delete-answer", job=job, entry=entry, status=status, body=text)
        return status

    def kill_all(self, down_s):
        """Kills all processes of the system at once and starts them again; returns the time at which the
        machines were back."""
        daemons = self.entries + self.agents
        self.record.add("kill-all", processes=len(daemons))
        for daemon in daemons:
            daemon.signal(KILL)
        for daemon in daemons:
            daemon.process.wait()
        time.sleep(down_s)
        for daemon in daemons:
            daemon.start()
        return self.record.add("back", processes=len(daemons))

    def served(self, count, pause_s=0.2):
        """Sends short jobs to the entries in turn; returns how many of them are served."""
        answers = []
        body = {"taskSpec": "ms=200 cpu=3100", "bestEffort": True, "steps": [
            {"count": 2, "cpu": 3100, "memoryLimitMb": 64, "estimatedRuntimeMs": 200}]}
        posters = []
        for number in range(count):
            entry = number % len(self.entries)
            posters.append(in_thread(
                lambda entry=entry: answers.append(self.post(entry, new_id(), body, 1500)[0])))
            time.sleep(pause_s)
        for poster in posters:
            poster.join()
        return answers.count(200)

    def starts(self, job):
        return [e for e in self.record.of("start") if e["task"].startswith(job + ".")]

    def ends(self, job):
        return [e for e in self.record.of("end") if e["task"].startswith(job + ".")]

    def close(self):
        for minion in getattr(self, "minions", []):
            minion.closed = True
        for child in self.children:
            if child.process and child.process.poll() is None:
                child.process.kill()
                child.process.wait()
        self.children = []
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            subprocess.run(["cp", "-r", self.dir.name, keep], check=False)


def new_id():
    return f"{random.getrandbits(64):016x}"


def chain(steps, ms, cpu=3100):
    """Returns a best-effort job of steps that run one after the other."""
    step = {"count": 1, "cpu": cpu, "memoryLimitMb": 64, "estimatedRuntimeMs": ms}
    steps = [dict(step, **({"dependsOn": [n - 1]} if n else {})) for n in range(steps)]
    return {"taskSpec": f"ms={ms} cpu={cpu}", "bestEffort": True, "steps": steps}


def main(case, folder, trouble):
    """Runs a case: `case(record, trouble)` returns a description of the broken rule or `None`."""
    record = Record(os.path.join(folder, "record.txt"))
    try:
        broken = case(record, trouble)
    except Exception as error:  # A fault of the script says nothing about the rule.
        record.add("cannot-run", error=repr(error))
        record.close()
        print(f"cannot run: {error!r}")
        sys.exit(2)
    record.add("verdict", broken=broken)
    record.close()
    print(f"trouble={int(trouble)}: {'rule broken: ' + broken if broken else 'the rule held'}")
    sys.exit(1 if broken else 0)


def in_thread(target, *args):
    thread = threading.Thread(target=target, args=args, daemon=True)
    thread.start()
    return thread


STOP, CONTINUE, KILL, TERM = signal.SIGSTOP, signal.SIGCONT, signal.SIGKILL, signal.SIGTERM
