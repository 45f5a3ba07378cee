"""Stand-ins for the tests of the review: state service, cloud, workers and users on loopback.

They follow PROTOCOL-walnutlug.md. Everything runs in one asyncio loop on the real clock; the
controllers are separate processes, started with the command of deploy/service.toml. Only the
standard library is used.
"""
import asyncio
import bisect
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BIN = os.path.join(ROOT, "target", "release")


class CannotRun(Exception):
    """The case couldn't run; says nothing about the rule."""


def dumps(value):
    return json.dumps(value, separators=(",", ":"))


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()
        self.violations = []

    def now(self):
        return time.monotonic() - self.start

    def log(self, *parts):
        line = f"{self.now():8.3f} " + " ".join(str(p) for p in parts)
        self.file.write(line + "\n")
        self.file.flush()

    def violation(self, text):
        if len(self.violations) < 200:
            self.violations.append(text)
            self.log("RULE BROKEN:", text)


# ---- HTTP ------------------------------------------------------------------------------------

REASONS = {200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 409: "Conflict",
           410: "Gone", 413: "Content Too Large", 429: "Too Many Requests",
           503: "Service Unavailable"}
HANG = object()   # the request is read and never answered


async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    length, close = 0, False
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name.lower() == "content-length":
            length = int(value)
        elif name.lower() == "connection" and value.strip().lower() == "close":
            close = True
    body = await reader.readexactly(length) if length else b""
    return lines[0], body, close


async def serve(handler, port=0):
    """Serves HTTP on a loopback port. handler(method, path, body) returns (status, value)."""
    async def connection(reader, writer):
        try:
            while True:
                first, body, close = await read_message(reader)
                method, path, _ = first.split(" ", 2)
                answer = await handler(method, path, body)
                if answer is HANG:
                    await asyncio.sleep(3600)
                status, value = answer
                data = dumps(value).encode()
                head = (f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
                        f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n")
                writer.write(head.encode() + data)
                await writer.drain()
                if close:
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()
    server = await asyncio.start_server(connection, "127.0.0.1", port, limit=1 << 20)
    return server, server.sockets[0].getsockname()[1]


async def request(port, method, path, value=None, timeout=5.0):
    """One request over a connection of its own. Returns (status, value), or (None, error)."""
    async def exchange():
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 20)
        try:
            body = b"" if value is None else dumps(value).encode()
            writer.write((f"{method} {path} HTTP/1.1\r\nHost: 127.0.0.1:{port}\r\n"
                          f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
                          "Connection: close\r\n\r\n").encode() + body)
            await writer.drain()
            first, answer, _ = await read_message(reader)
            status = int(first.split(" ")[1])
            return status, json.loads(answer) if answer else None
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
        return None, type(error).__name__


class Bucket:
    """A rate with bursts of `seconds` worth."""

    def __init__(self, rate, seconds=1.0):
        self.seconds, self.at = seconds, time.monotonic()
        self.set(rate)
        self.left = rate * seconds

    def set(self, rate):
        self.rate = rate
        self.left = min(getattr(self, "left", rate * self.seconds), rate * self.seconds)

    def take(self, count=1):
        now = time.monotonic()
        self.left = min(self.rate * self.seconds, self.left + (now - self.at) * self.rate)
        self.at = now
        if self.left < count:
            return False
        self.left -= count
        return True


# ---- state service ----------------------------------------------------------------------------

class Store:
    """The state service, with one port for each controller, so that it knows who asks."""

    def __init__(self, record, rps, write_rps, value_kb, txn_ops):
        self.record = record
        self.data = {}            # key -> (value, mark, lease)
        self.growth = 1
        self.history = []         # (mark, event, key)
        self.leases = {}          # id -> [ttl_s, ends_at]
        self.next_lease = 1
        self.changed = asyncio.Event()
        self.requests, self.writes = Bucket(rps), Bucket(write_rps)
        self.value_bytes, self.txn_ops = value_kb * 1024, txn_ops
        # hook(node, method, path, value) may return an answer, HANG or None, and may take time.
        self.hook = None
        self.on_change = None     # called after each change
        self.answered = []        # (time, node, status) of every request
        # called after each transaction with (node, transaction, status, answer)
        self.after = None

    def lower(self, value_kb, txn_ops, write_rps):
        self.value_bytes, self.txn_ops = value_kb * 1024, txn_ops
        self.writes.set(write_rps)
        self.record.log("state service: limits are now", value_kb, "KiB a value,", txn_ops,
                        "operations,", write_rps, "changes/s")

    async def run(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [i for i, (_, ends) in self.leases.items() if now >= ends]:
                self.end_lease(lease, "expired")

    def end_lease(self, lease, why):
        self.leases.pop(lease, None)
        keys = [k for k, (_, _, held) in self.data.items() if held == lease]
        if keys:
            self.growth += 1
            for key in keys:
                del self.data[key]
                self.history.append((self.growth, {"drop": key, "mark": self.growth}, key))
            self.wake()
        self.record.log(f"state service: lease {lease} {why}", f"-> removed {keys}" if keys else "")

    def wake(self):
        if len(self.history) > 10_000:
            del self.history[:len(self.history) - 10_000]
        self.changed.set()
        self.changed = asyncio.Event()
        if self.on_change:
            self.on_change()

    def leader(self):
        found = self.data.get("leader")
        return found and found[0].get("node")

    async def listen(self, node):
        async def handler(method, path, body):
            value = None
            if body:
                try:
                    value = json.loads(body)
                except ValueError:
                    return 400, {"error": "malformed"}
            answer = await self.hook(node, method, path, value) if self.hook else None
            if answer is None:
                answer = await self.answer(node, method, path, value, len(body))
            if answer is not HANG:
                self.answered.append((time.monotonic(), node, answer[0]))
            return answer
        return await serve(handler)

    async def answer(self, node, method, path, value, size=0):
        if not self.requests.take():
            return 429, {"error": "requests"}
        await asyncio.sleep(random.uniform(0.001, 0.006))
        path, _, query = path.partition("?")
        args = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        if method == "GET" and path == "/keys":
            return self.list(args)
        if method == "GET" and path.startswith("/keys/"):
            found = self.data.get(path[len("/keys/"):])
            if not found:
                return 404, {"growth": self.growth}
            answer = {"key": path[len("/keys/"):], "value": found[0], "mark": found[1]}
            if found[2]:
                answer["hold"] = found[2]
            return 200, answer
        if method == "POST" and path == "/multi":
            status, answer = self.transaction(value, size)
            if self.after:
                self.after(node, value, status, answer)
            return status, answer
        if method == "POST" and path == "/leases":
            lease, ttl = self.next_lease, value["ttlMs"] / 1000
            self.next_lease += 1
            self.leases[lease] = [ttl, time.monotonic() + ttl]
            self.record.log(f"state service: lease {lease} of {ttl} s granted to {node}")
            return 200, {"hold": lease}
        if method == "POST" and path.endswith("/touch"):
            lease = self.leases.get(int(path.split("/")[2]))
            if not lease:
                return 404, {"error": "no such lease"}
            lease[1] = time.monotonic() + lease[0]
            return 200, {}
        if method == "DELETE" and path.startswith("/leases/"):
            lease = int(path.split("/")[2])
            if lease not in self.leases:
                return 404, {"error": "no such lease"}
            self.end_lease(lease, f"ended by {node}")
            return 200, {}
        if method == "GET" and path == "/watch":
            return await self.watch(args)
        return 400, {"error": "malformed"}

    def list(self, args):
        prefix, after = args.get("starts", ""), args.get("from", "")
        most = min(int(args.get("most", 1000)), 1000)
        keys = sorted(k for k in self.data if k.startswith(prefix) and k > after)
        pairs, size = [], 0
        for key in keys[:most]:
            pair = {"key": key, "value": self.data[key][0], "mark": self.data[key][1]}
            size += len(dumps(pair))
            if size > 512 * 1024 and pairs:
                break
            pairs.append(pair)
        return 200, {"pairs": pairs, "hasNext": len(pairs) < len(keys), "growth": self.growth}

    def transaction(self, value, size):
        guards, changes = value.get("guards") or [], value.get("apply") or []
        if not self.writes.take(len(changes)):
            return 429, {"error": "changes"}
        values = [len(dumps(c["value"]).encode()) for c in changes if "put" in c]
        if (size > 64 * 1024 or len(changes) > self.txn_ops or len(guards) > 4 * self.txn_ops
                or any(v > self.value_bytes for v in values)):
            return 400, {"error": f"too large: {len(changes)} operations, {len(guards)} conditions,"
                                  f" largest value {max(values, default=0)}"}
        if any(c.get("hold") and c["hold"] not in self.leases for c in changes):
            return 400, {"error": "no such lease"}
        failed = [g["key"] for g in guards
                  if (self.data[g["key"]][1] if g["key"] in self.data else 0) != g["mark"]]
        if failed:
            return 409, {"failed": failed, "growth": self.growth}
        if changes:
            self.growth += 1
            for change in changes:
                if "put" in change:
                    key = change["put"]
                    self.data[key] = (change["value"], self.growth, change.get("hold"))
                    event = {"put": key, "value": change["value"], "mark": self.growth}
                else:
                    key = change["drop"]
                    if self.data.pop(key, None) is None:
                        continue
                    event = {"drop": key, "mark": self.growth}
                self.history.append((self.growth, event, key))
            self.wake()
        return 200, {"growth": self.growth}

    async def watch(self, args):
        prefix, after = args.get("starts", ""), int(args.get("from", 0))
        ends = time.monotonic() + min(int(args.get("holdMs", 0)), 60_000) / 1000
        while True:
            if len(self.history) >= 10_000 and after < self.history[0][0] - 1:
                return 410, {"growth": self.growth}
            begin = bisect.bisect_right(self.history, after, key=lambda h: h[0])
            events = [e for _, e, key in self.history[begin:] if key.startswith(prefix)]
            left = ends - time.monotonic()
            if events or left <= 0:
                return 200, {"growth": self.growth, "events": events}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


# ---- cloud --------------------------------------------------------------------------------------

class Cloud:
    """The cloud, with one port for each controller. It rents nothing beyond its first machines."""

    def __init__(self, record, types, lag_s):
        self.record, self.types, self.lag_s = record, types, lag_s
        self.machines = {}       # name -> Machine
        self.requests = []       # (time, node, path, value, status)
        self.hook = None

    def add(self, machine):
        self.machines[machine.name] = machine
        machine.rented_at = time.monotonic()

    async def listen(self, node):
        async def handler(method, path, body):
            value = json.loads(body) if body else None
            if self.hook:
                answer = await self.hook(node, method, path, value)
                if answer is not None:
                    if method == "POST":
                        self.note(node, path, value, answer)
                    return answer
            await asyncio.sleep(0.05)
            answer = self.answer(method, path, value)
            if method == "POST":
                self.note(node, path, value, answer)
            return answer
        return await serve(handler)

    def note(self, node, path, value, answer):
        status = "none" if answer is HANG else answer[0]
        self.requests.append((time.monotonic(), node, path, value, status))
        self.record.log(f"cloud: {node} POST {path} {dumps(value)} ->", status)

    def answer(self, method, path, value):
        path, _, query = path.partition("?")
        args = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        if path == "/machine_types":
            return 200, {"breeds": self.types}
        if method == "POST" and path == "/machines":
            return 503, {"error": "no capacity"}
        if method == "POST" and path == "/machines/return":
            for name in value["trees"]:
                if name in self.machines:
                    self.machines[name].end("returned")
            return 200, {}
        if method == "GET" and path == "/machines":
            now = time.monotonic()
            after, most = args.get("from", ""), int(args.get("most", 500))
            listed = []
            for name in sorted(self.machines):
                m = self.machines[name]
                gone = m.ended_at and now - m.ended_at > self.lag_s
                if name <= after or gone:
                    continue
                # The list is `lag_s` old.
                up = m.up_at is not None and now - m.up_at >= self.lag_s
                listed.append({"ref": name, "address": m.address, "breed": m.breed,
                               "grove": m.zone, "windfall": m.spot,
                               "stage": "running" if up else "booting",
                               "ageS": round(now - self.lag_s - m.rented_at, 1)})
            return 200, {"trees": listed[:most], "hasNext": len(listed) > most}
        return 400, {"error": "malformed"}


# ---- workers ------------------------------------------------------------------------------------

class World:
    """The truth that users, workers and the cloud can see: jobs, and which task is where."""

    def __init__(self, record, report_s, lease_s):
        self.record, self.report_s, self.lease_s = record, report_s, lease_s
        self.jobs = {}           # ref -> submission
        self.run_s = {}          # task name or ref -> seconds
        self.on = {}             # task -> {machine name: (try, since)}
        self.finished = set()
        self.nodes = {}          # node name -> user port
        self.answers = []        # (time, node, machine, status, token) of answered reports

    def task_run_s(self, task):
        return self.run_s.get(task, self.run_s.get(task.rsplit("/", 1)[0], 60.0))

    def on_machine(self, task, machine, attempt):
        others = {m: a for m, a in self.on.get(task, {}).items() if m != machine}
        self.on.setdefault(task, {})[machine] = attempt
        self.record.log(f"task {task} try {attempt} starts on {machine}")
        if others:
            places = ", ".join(f"{m} (try {a})" for m, a in others.items())
            self.record.violation(f"ran_twice: task {task} try {attempt} starts on {machine} "
                                  f"while it is on {places}")

    def off_machine(self, task, machine, why):
        if self.on.get(task, {}).pop(machine, None) is not None:
            self.record.log(f"task {task} leaves {machine}: {why}")


class Machine:
    """A machine and its worker."""

    def __init__(self, world, name, breed, zone, pull_gb_per_s, size, spot=False):
        self.world, self.name, self.breed, self.zone = world, name, breed, zone
        self.pull, self.size, self.spot = pull_gb_per_s, size, spot
        self.season, self.ring, self.token = 1, 0, 0
        self.tasks = {}          # (task, try) -> {"stage", "cause", "timer"}
        self.images = set()
        self.address, self.up_at, self.ended_at = None, None, None
        self.taken_at = None     # when the cloud takes the machine, once it has given notice
        self.cut = False         # cut off: nothing arrives, nothing leaves
        self.wake = asyncio.Event()
        self.target = None
        self.handler = self.handle   # a case may put itself in between

    async def listen(self):
        self.server, self.port = await serve(lambda *args: self.handler(*args))
        self.address = f"127.0.0.1:{self.port}"

    def start(self):
        self.up_at = time.monotonic()
        self.lease_from = self.up_at
        self.world.record.log(f"machine {self.name} is up")
        self.loop = asyncio.create_task(self.report())
        self.leases = asyncio.create_task(self.watch_lease())

    def give_notice(self, seconds):
        """The cloud will take this spot machine in `seconds`."""
        self.taken_at = time.monotonic() + seconds
        self.world.record.log(f"machine {self.name}: notice, {seconds} s")
        asyncio.get_running_loop().call_later(seconds, self.end, "taken by the cloud")
        self.wake.set()

    def end(self, why):
        if self.ended_at:
            return
        self.ended_at = time.monotonic()
        self.world.record.log(f"machine {self.name} is gone: {why}")
        self.drop_all(why)
        if self.up_at:
            self.loop.cancel()
            self.leases.cancel()

    def drop_all(self, why):
        for (task, _), entry in self.tasks.items():
            if entry["timer"]:
                entry["timer"].cancel()
            self.world.off_machine(task, self.name, why)
        self.tasks.clear()

    async def watch_lease(self):
        while True:
            await asyncio.sleep(0.05)
            if time.monotonic() - self.lease_from > self.world.lease_s:
                self.world.record.log(f"machine {self.name}: lease expired,"
                                      f" session {self.season} ends")
                self.drop_all("lease expired")
                self.season += 1
                self.lease_from = time.monotonic()
                self.wake.set()

    def status(self):
        self.ring += 1
        nuts = []
        for (task, attempt), entry in self.tasks.items():
            nut = {"nut": task, "try": attempt, "stage": entry["stage"]}
            if entry["stage"] == "exited":
                nut["cause"] = entry["cause"]
                if entry.get("kept"):
                    nut["kept"] = True
            nuts.append(nut)
        shake = None
        if self.taken_at is not None:
            shake = round(max(0.0, self.taken_at - time.monotonic()), 1)
        return {"tree": self.name, "address": self.address, "breed": self.breed, "grove": self.zone,
                "windfall": self.spot, "season": self.season, "ring": self.ring,
                "staff": self.token, "shakeS": shake, "nuts": nuts}

    def see(self, token):
        if token > self.token:
            self.token = token
            self.wake.set()

    def execute(self, calls):
        for call in calls:
            task, attempt = call["nut"], call["try"]
            key, entry = (task, attempt), self.tasks.get((task, attempt))
            if call["call"] == "run":
                if entry is None:
                    self.run(task, attempt)
            elif call["call"] == "kill":
                if entry and entry["stage"] in ("fetching", "running", "flushing"):
                    self.exit(key, "stopped")
            elif call["call"] == "reap":
                if entry and entry["stage"] == "exited":
                    del self.tasks[key]
        self.wake.set()

    def run(self, task, attempt):
        entry = {"stage": "exited", "cause": None, "timer": None}
        ref, _, index = task.rpartition("/")
        job = self.world.jobs.get(ref)
        live = [t for t, e in self.tasks.items() if e["stage"] != "exited"]
        if job is None or not index.isdigit() or int(index) >= job["nuts"]:
            entry["cause"] = "unknown"
        elif any(t == task for t, _ in live):
            entry["cause"] = "in_use"
        else:
            used = [self.world.jobs[t.rpartition("/")[0]] for t, _ in live] + [job]
            if (sum(j["vcpus"] for j in used) > self.size[0] + 1e-6
                    or sum(j["memoryGb"] for j in used) > self.size[1] + 1e-6):
                entry["cause"] = "no_room"
            else:
                entry["stage"] = "fetching"
                wait = 0.0 if job["seed"] in self.images else job["imageGb"] / self.pull
                entry["timer"] = asyncio.get_running_loop().call_later(
                    wait, self.begin, (task, attempt), job["seed"])
        self.tasks[(task, attempt)] = entry

    def begin(self, key, image):
        entry = self.tasks.get(key)
        if not entry or entry["stage"] != "fetching":
            return
        self.images.add(image)
        task, attempt = key
        entry["stage"] = "running"
        self.world.on_machine(task, self.name, attempt)
        run_s = 0.0 if task in self.world.finished else self.world.task_run_s(task)
        entry["timer"] = asyncio.get_running_loop().call_later(run_s, self.done, key)
        self.wake.set()

    def done(self, key):
        entry = self.tasks.get(key)
        if entry and entry["stage"] == "running":
            self.world.finished.add(key[0])
            self.exit(key, "done")

    def exit(self, key, cause):
        entry = self.tasks[key]
        if entry["timer"]:
            entry["timer"].cancel()
        entry.update(stage="exited", cause=cause, timer=None)
        self.world.off_machine(key[0], self.name, cause)
        self.wake.set()

    async def handle(self, method, path, body):
        if self.cut or self.up_at is None or self.ended_at:
            return HANG
        if path == "/show":
            return 200, self.status()
        if len(body) > 64 * 1024:
            return 413, {"error": "a request body may be at most 64 KiB"}
        value = json.loads(body)
        if "staff" not in value or "season" not in value:
            return 400, {"error": "malformed"}
        if value["staff"] < self.token or value["season"] != self.season:
            return 409, self.status()
        self.see(value["staff"])
        self.execute(value["calls"])
        return 200, self.status()

    async def report(self):
        """Reports to one controller at a time, as the page on workers says."""
        names = list(self.world.nodes)
        self.target = self.target or random.choice(names)
        while True:
            if self.cut:
                await asyncio.sleep(0.1)
                continue
            self.wake.clear()
            season, sent = self.season, time.monotonic()
            status, answer = await request(self.world.nodes[self.target], "POST", "/hello",
                                           self.status(), timeout=4.0)
            if self.cut:
                status = None
            if status is not None:
                token = answer.get("staff") if status == 200 else None
                self.world.answers.append((time.monotonic(), self.target, self.name, status, token))
            self.answered(status, answer, season, sent)
            if status == 200:
                await self.pause(self.world.report_s * random.uniform(0.75, 1.25))
            elif (status == 421 and answer.get("keeper") in names
                    and answer["keeper"] != self.target):
                self.target = answer["keeper"]
                await asyncio.sleep(random.uniform(0.0, 0.3))
            else:
                self.target = names[(names.index(self.target) + 1) % len(names)]
                await asyncio.sleep(1.0)

    def answered(self, status, answer, season, sent):
        if status != 200 or season != self.season:
            return
        token = answer.get("staff")
        if token is None or token < self.token:
            self.world.record.log(f"machine {self.name} drops an answer of {self.target} with token"
                                  f" {token}")
            return
        self.lease_from = max(self.lease_from, sent)
        self.see(token)
        if answer["calls"]:
            self.execute(answer["calls"])

    async def pause(self, seconds):
        """Until the next report is due: at once on a change, but not within half a second."""
        await asyncio.sleep(0.5)
        try:
            await asyncio.wait_for(self.wake.wait(), max(0.0, seconds - 0.5))
        except asyncio.TimeoutError:
            pass


# ---- controllers --------------------------------------------------------------------------------

def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


class Controller:
    def __init__(self, record, name, folder):
        self.record, self.name, self.folder = record, name, folder
        self.process = None
        self.port, self.peer_port = free_port(), free_port()

    def write_settings(self, settings):
        self.path = os.path.join(self.folder, f"{self.name}.json")
        with open(self.path, "w", encoding="utf-8") as f:
            json.dump(settings, f, indent=1)

    async def start(self):
        with open(os.path.join(ROOT, "deploy", "service.toml"), encoding="utf-8") as f:
            command = re.search(r'^run = "(.*)"$', f.read(), re.MULTILINE).group(1).split()
        command[0] = os.path.join(ROOT, command[0])
        if not os.access(command[0], os.X_OK):
            raise CannotRun(f"{command[0]} isn't built")
        log = open(os.path.join(self.folder, f"{self.name}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            *command, self.path, cwd=ROOT, stdout=log, stderr=log,
            env={**os.environ, "LOG_LEVEL": "debug"})
        self.record.log(f"controller {self.name} started, process {self.process.pid}")

    def send(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        self.send(signal.SIGKILL)
        if self.process:
            await self.process.wait()
            self.record.log(f"controller {self.name} killed")

    async def ready(self):
        return (await request(self.port, "GET", "/ready", timeout=1.0))[0] == 200


class Site:
    """A whole small deployment on loopback."""

    def __init__(self, folder, types, facts, cloud_lag_s):
        self.out = folder
        self.record = Record(os.path.join(folder, "record.txt"))
        self.temp = tempfile.mkdtemp(prefix="review-")
        self.facts, self.types = facts, types
        state = facts["state"]
        self.store = Store(self.record, state["rps"], state["write_rps"], state["value_kb"],
                           state["txn_ops"])
        self.cloud = Cloud(self.record, types, cloud_lag_s)
        workers = facts["workers"]
        self.world = World(self.record, workers["report_s"], workers["lease_s"])
        self.controllers = {}
        self.background = []

    async def set_up(self, count=3):
        self.background.append(asyncio.create_task(self.store.run()))
        for i in range(count):
            name = f"kernel-{i}"
            self.controllers[name] = Controller(self.record, name, self.temp)
            self.world.nodes[name] = self.controllers[name].port
        self.ports = {}
        for name in self.controllers:
            _, state = await self.store.listen(name)
            _, cloud = await self.cloud.listen(name)
            self.ports[name] = (state, cloud)
        self.write_settings(self.facts)

    def write_settings(self, facts, peer_ports=None):
        """Writes every controller's settings. peer_ports: (from, to) -> port, where not direct."""
        zones = facts["zones"]
        for i, (name, c) in enumerate(self.controllers.items()):
            ports = {other: (peer_ports or {}).get((name, other), o.peer_port)
                     for other, o in self.controllers.items() if other != name}
            peers = [{"node_name": other, "zone": zones[j % len(zones)],
                      "peer_addr": f"127.0.0.1:{ports[other]}"}
                     for j, other in enumerate(self.controllers) if other != name]
            state, cloud = self.ports[name]
            c.write_settings({"node_name": name, "zone": zones[i % len(zones)],
                              "listen": f"127.0.0.1:{c.port}",
                              "internal_addr": f"127.0.0.1:{c.peer_port}", "peers": peers,
                              "external": {"cloud": f"127.0.0.1:{cloud}",
                                           "state": f"127.0.0.1:{state}"},
                              "facts": facts})

    async def add_machine(self, name, breed, zone, spot=False):
        kind = next(t for t in self.types if t["sku"] == breed)
        machine = Machine(self.world, name, breed, zone, kind["pullGbPerS"],
                          (kind["vcpus"], kind["memoryGb"]), spot)
        await machine.listen()
        self.cloud.add(machine)
        return machine

    async def wait(self, condition, timeout, what):
        ends = time.monotonic() + timeout
        while time.monotonic() < ends:
            found = condition()
            if asyncio.iscoroutine(found):
                found = await found
            if found:
                return found
            await asyncio.sleep(0.02)
        raise CannotRun(f"not within {timeout} s: {what}")

    async def wait_ready(self, timeout=20):
        async def all_ready():
            return all([await c.ready() for c in self.controllers.values()])
        await self.wait(all_ready, timeout, "all controllers ready")
        await self.wait(self.store.leader, timeout, "a leader")

    async def submit(self, node, job, label=""):
        """One attempt to submit. Returns (status, answer)."""
        self.world.jobs.setdefault(job["ref"], job)   # users upload the description as well
        status, answer = await request(self.world.nodes[node], "POST", "/submissions", job)
        self.record.log(f"user: POST /submissions {job['ref']} at {node}{label} -> {status}",
                        dumps(answer))
        return status, answer

    async def submit_until_accepted(self, node, job, timeout=30):
        """Repeats a submission as users do."""
        ends = time.monotonic() + timeout
        while time.monotonic() < ends:
            status, answer = await self.submit(node, job)
            if status in (200, 201):
                return status, answer
            if status in (400, 422):
                raise CannotRun(f"first submission of {job['ref']} refused: {answer}")
            await asyncio.sleep(1.0)
        raise CannotRun(f"{job['ref']} not accepted")

    async def poll(self, node, ref):
        status, answer = await request(self.world.nodes[node], "GET", f"/submissions/{ref}",
                                       timeout=2.0)
        self.record.log(f"user: GET /submissions/{ref} at {node} -> {status}", dumps(answer))
        return status, answer

    async def tear_down(self):
        for c in self.controllers.values():
            try:
                await c.kill()
            except ProcessLookupError:
                pass
        for m in self.cloud.machines.values():
            if m.up_at and not m.ended_at:
                m.loop.cancel()
                m.leases.cancel()
        for task in self.background:
            task.cancel()
        for c in self.controllers.values():
            log = os.path.join(self.temp, f"{c.name}.log")
            if os.environ.get("KEEP_LOGS") and os.path.exists(log):
                shutil.copy(log, self.out)
        shutil.rmtree(self.temp, ignore_errors=True)


def job(ref, shell, nuts, vcpus, memory_gb, rank="normal", **more):
    return {"ref": ref, "shell": shell, "crew": "veokid", "husk": "batch", "rank": rank,
            "nuts": nuts, "vcpus": vcpus, "gpus": 0.0, "memoryGb": memory_gb, "seed": "img-07",
            "imageGb": 0.2, "breeds": None, "grove": None, "together": False, "spread": False,
            "windfall": True, "ripenS": 60.0, "stashS": 0.0, "buryS": 0.0, "harvestS": None, **more}


HALL16 = {"sku": "hall16", "vcpus": 16.0, "gpus": 0.0, "memoryGb": 64.0, "localGb": 60.0,
          "pullGbPerS": 0.8, "price": 1.07, "lowPrice": 0.24, "bootS": 35.0,
          "groves": ["parnu", "tartu"]}


def piimaring(**state):
    """The settings of Piimaring's small deployment, as `fleetbench wire` prints them."""
    return {"size": 3, "zones": ["tartu", "parnu"],
            "teams": [{"name": "veokid", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0,
                       "gpus_max": 0.0}],
            "objectives": [
                {"kind": "deadline", "class": "route-sheets", "share": 0.85, "times": 1.0},
                {"kind": "deadline", "class": "tank-alarms", "share": 0.94, "times": 1.0},
                {"kind": "wait", "class": "tank-alarms", "within_s": 2.0, "share": 0.9}],
            "workers": {"report_s": 3.0, "lease_s": 24.0, "gang_wait_s": 50.0, "gang_peer_s": 8.0,
                        "cancel_s": 44.0},
            "state": {"rps": 100.0, "write_rps": 40.0, "value_kb": 8.0, "txn_ops": 32, **state},
            "cloud": {"rps": 4.0, "list_lag_s": 10.0},
            "resources": {"cpu_share": 0.04, "mem_mb": 72.0, "fd_limit": 1200},
            "clock_error_ms": 1000.0}


def trouble():
    return os.environ.get("TROUBLE", "1")


def main(case, site_factory):
    """Runs a case. Exit codes: 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    async def run():
        site = site_factory()
        loop, this = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, this.cancel)
        code = 2
        try:
            site.record.log("TROUBLE =", trouble())
            await asyncio.wait_for(case(site), 112)
            code = 1 if site.record.violations else 0
        except CannotRun as error:
            site.record.log("couldn't run:", error)
            print("couldn't run:", error)
        except (asyncio.TimeoutError, asyncio.CancelledError):
            site.record.log("couldn't run: out of time or ended from outside")
        except Exception:                      # a fault of the test, not of the controllers
            site.record.log("couldn't run:", traceback.format_exc())
            traceback.print_exc()
        finally:
            await site.tear_down()
        site.record.log({0: "RESULT: the rule held", 1: f"RESULT: the rule was broken, "
                         f"{len(site.record.violations)} times",
                         2: "RESULT: the case couldn't run"}[code])
        print(*site.record.violations[:3], sep="\n")
        print("exit", code)
        return code
    sys.exit(asyncio.run(run()))
