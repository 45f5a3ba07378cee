"""Stand-ins of the second review: key-value store, cloud, workers and users on loopback, and the real controllers.

Written from PROTOCOL-walnutlug.md and DEPLOY-walnutlug.md with Python's standard library alone. Each controller has
its own sockets to the store and to the cloud, so a case can treat controllers differently.
"""

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
REASONS = {200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
           413: "Content Too Large", 429: "Too Many Requests", 503: "Service Unavailable"}
MAX_REQUEST_BODY = 64 * 1024


class CannotRun(Exception):
    """The case could not be carried out, so it shows nothing."""


def now():
    return time.monotonic()


class Record:
    """What was sent, answered and run, one line an event, with seconds since the start of the case."""

    def __init__(self, folder):
        self.began = now()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def write(self, text):
        self.file.write(f"{now() - self.began:8.3f} {text}\n")
        self.file.flush()


# ---- HTTP ------------------------------------------------------------------------------------------------------------


async def read_message(reader):
    """Reads a head and its body; returns the first line, the headers and the body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers, await reader.readexactly(int(headers.get("content-length", "0")))


class Server:
    """HTTP server for one handler: `async handler(method, path, query, body) -> (status, value)`.

    The handler may return None: the request stays without an answer and the connection is closed.
    """

    def __init__(self, handler):
        self.handler = handler
        self.writers = set()
        self.server = None
        self.address = None

    async def start(self, port=0):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                parts = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
                try:
                    value = json.loads(body) if body else None
                except ValueError:
                    value = None
                answer = await self.handler(method, parts.path, query, value)
                if answer is None:
                    return
                status, value = answer
                data = json.dumps(value, separators=(",", ":")).encode()
                head = f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}\r\nContent-Type: application/json\r\n"
                writer.write(f"{head}Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    return
        except (OSError, EOFError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self):
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.close()


class Connection:
    """A client's connection, kept open between requests."""

    def __init__(self, address):
        self.host, port = address.rsplit(":", 1)
        self.port = int(port)
        self.streams = None

    async def request(self, method, path, value=None, timeout=2.0):
        """Returns (status, body, headers); raises OSError or TimeoutError if there is no answer."""
        data = b"" if value is None else json.dumps(value, separators=(",", ":")).encode()
        try:
            async with asyncio.timeout(timeout):
                if self.streams is None:
                    self.streams = await asyncio.open_connection(self.host, self.port)
                reader, writer = self.streams
                head = f"{method} {path} HTTP/1.1\r\nHost: {self.host}\r\nContent-Type: application/json\r\n"
                writer.write(f"{head}Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
                first, headers, body = await read_message(reader)
        except (OSError, EOFError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError) as error:
            self.close()
            raise OSError(f"no answer: {type(error).__name__}") from error
        except asyncio.CancelledError:
            self.close()
            raise
        if headers.get("connection", "").lower() == "close":
            self.close()
        try:
            parsed = json.loads(body) if body else None
        except ValueError:
            parsed = None
        return int(first.split(" ")[1]), parsed, headers

    def close(self):
        if self.streams:
            self.streams[1].close()
            self.streams = None


async def request_once(address, method, path, value=None, timeout=2.0):
    connection = Connection(address)
    try:
        return await connection.request(method, path, value, timeout)
    finally:
        connection.close()


class Proxy:
    """Passes TCP connections on. While `cut` is set it passes nothing on: connections hang, as behind a cut."""

    def __init__(self, target):
        self.target = target
        self.cut = False
        self.open = set()
        self.address = None
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    def refuse(self):
        """Refuses connections from now on, and ends those that are open."""
        self.server.close()
        self.reset()

    def reset(self):
        """Ends all connections."""
        for writer in list(self.open):
            if not writer.transport.is_closing():
                writer.transport.abort()

    async def _accept(self, reader, writer):
        self.open.add(writer)
        other = None
        try:
            while self.cut:
                await asyncio.sleep(0.05)
                if writer.transport.is_closing() or reader.at_eof():
                    return
            host, port = self.target.rsplit(":", 1)
            other_reader, other = await asyncio.open_connection(host, int(port))
            self.open.add(other)
            await asyncio.gather(self._pump(reader, other), self._pump(other_reader, writer))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for end in (writer, other):
                if end is not None:
                    self.open.discard(end)
                    end.close()

    async def _pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                while self.cut:
                    await asyncio.sleep(0.05)
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def close(self):
        self.server.close()
        self.reset()


# ---- key-value store -------------------------------------------------------------------------------------------------


class Store:
    """The state service. `refused` holds the nodes that get 503; their open watches wait meanwhile."""

    def __init__(self, limits):
        self.value_bytes = int(limits["value_kb"] * 1024)
        self.txn_ops = int(limits["txn_ops"])
        self.rates = {"rps": float(limits["rps"]), "write_rps": float(limits["write_rps"])}
        self.tokens = {name: (rate, now()) for name, rate in self.rates.items()}
        self.keys = {}
        self.growth = 0
        self.history = []
        self.leases = {}
        self.changed = asyncio.Event()   # set, and replaced, at each change
        self.refused = set()
        self.before_commit = None
        self.hook = None     # may answer any request instead: `async hook(node, method, path, body)`
        self.elections = []  # (time, node that the leader key names, or None)
        self.refusals = 0
        self.delay = 0.004   # seconds that an answer takes

    def _take(self, name, amount):
        tokens, at = self.tokens[name]
        tokens = min(self.rates[name], tokens + (now() - at) * self.rates[name])
        if tokens < amount:
            self.tokens[name] = (tokens, now())
            return False
        self.tokens[name] = (tokens - amount, now())
        return True

    def _expire(self):
        for lease, (ttl, until, keys) in list(self.leases.items()):
            if now() >= until:
                self._end_lease(lease)

    def _end_lease(self, lease):
        _, _, keys = self.leases.pop(lease)
        for key in [key for key in keys if key in self.keys and self.keys[key][2] == lease]:
            self.growth += 1
            del self.keys[key]
            self.history.append((self.growth, key, None))

    def refill_leases(self):
        """Gives every lease its full time, as after an outage."""
        for lease, (ttl, _, keys) in list(self.leases.items()):
            self.leases[lease] = (ttl, now() + ttl, keys)

    async def run(self):
        while True:
            await asyncio.sleep(0.05)
            before = self.growth
            if "all" not in self.refused:
                self._expire()
            if self.growth != before:
                self.notify()

    def notify(self):
        holder = self.keys["leader"][0]["node"] if "leader" in self.keys else None
        if not self.elections or self.elections[-1][1] != holder:
            self.elections.append((now(), holder))
        self.changed.set()
        self.changed = asyncio.Event()

    def is_refused(self, node):
        return node in self.refused or "all" in self.refused

    def handler(self, node):
        async def handle(method, path, query, body):
            if self.is_refused(node):
                return 503, {"error": "trouble"}
            if not self._take("rps", 1):
                self.refusals += 1
                return 429, {"error": "too many requests"}
            await asyncio.sleep(self.delay)
            if self.hook:
                verdict = await self.hook(node, method, path, body)
                if verdict is not None:
                    return verdict if verdict != "lost" else None
            if path == "/multi" and method == "POST":
                if self.before_commit:
                    verdict = await self.before_commit(node, body)
                    if verdict is not None:
                        return verdict if verdict != "lost" else None
                status, answer = self.commit(body)
                self.notify()
                return status, answer
            if path == "/keys":
                return self.list(query)
            if path.startswith("/keys/"):
                found = self.keys.get(path[len("/keys/"):])
                if not found:
                    return 404, {"growth": self.growth}
                value, mark, lease = found
                return 200, {"key": path[6:], "value": value, "mark": mark, **({"hold": lease} if lease else {})}
            if path == "/watch":
                return await self.watch(node, query)
            return self.lease_request(method, path, body)
        return handle

    def lease_request(self, method, path, body):
        if path == "/leases" and method == "POST":
            lease = len(self.history) + self.growth * 1000 + len(self.leases) + 1
            while lease in self.leases:
                lease += 1
            ttl = body["ttlMs"] / 1000
            self.leases[lease] = (ttl, now() + ttl, set())
            return 200, {"hold": lease}
        parts = path.split("/")
        lease = int(parts[2]) if len(parts) > 2 and parts[2].isdigit() else None
        if lease not in self.leases:
            return 404, {"error": "no such lease"}
        if method == "DELETE":
            self._end_lease(lease)
            self.notify()
            return 200, {}
        ttl, _, keys = self.leases[lease]
        self.leases[lease] = (ttl, now() + ttl, keys)
        return 200, {"hold": lease}

    def commit(self, body):
        guards, apply = body.get("guards", []), body.get("apply", [])
        sizes = [len(json.dumps(change["value"], separators=(",", ":"))) for change in apply if "put" in change]
        total = len(json.dumps(body, separators=(",", ":")))
        if (len(apply) > self.txn_ops or len(guards) > 4 * self.txn_ops or total > 64 * 1024
                or any(size > self.value_bytes for size in sizes)):
            return 400, {"error": "too large"}
        if apply and not self._take("write_rps", len(apply)):
            self.refusals += 1
            return 429, {"error": "too many changes"}
        self._expire()
        if any(change.get("hold") is not None and change["hold"] not in self.leases for change in apply if "put" in change):
            return 400, {"error": "no such lease"}
        failed = [guard["key"] for guard in guards
                  if (self.keys[guard["key"]][1] if guard["key"] in self.keys else 0) != guard["mark"]]
        if failed:
            return 409, {"failed": failed, "growth": self.growth}
        if apply:
            self.growth += 1
        for change in apply:
            if "put" in change:
                lease = change.get("hold")
                self.keys[change["put"]] = (change["value"], self.growth, lease)
                self.history.append((self.growth, change["put"], change["value"]))
                if lease is not None:
                    self.leases[lease][2].add(change["put"])
            elif change["drop"] in self.keys:
                del self.keys[change["drop"]]
                self.history.append((self.growth, change["drop"], None))
        return 200, {"growth": self.growth}

    def list(self, query):
        prefix, after = query.get("starts", ""), query.get("from", "")
        most = min(int(query.get("most", "1000")), 1000)
        names = sorted(key for key in self.keys if key.startswith(prefix) and key > after)
        pairs, size = [], 0
        for key in names[:most]:
            size += len(json.dumps(self.keys[key][0])) + 100
            if pairs and size > 500 * 1024:
                break
            pairs.append({"key": key, "value": self.keys[key][0], "mark": self.keys[key][1]})
        return 200, {"pairs": pairs, "hasNext": len(pairs) < len(names), "growth": self.growth}

    async def watch(self, node, query):
        prefix, after = query.get("starts", ""), int(query.get("from", "0"))
        until = now() + min(int(query.get("holdMs", "0")), 60_000) / 1000
        while True:
            if not self.is_refused(node):
                if len(self.history) > 10_000 and after < self.history[-10_000][0] - 1:
                    return 410, {"error": "too old"}
                events = []
                for mark, key, value in reversed(self.history):
                    if mark <= after:
                        break
                    if key.startswith(prefix):
                        events.append({"drop": key, "mark": mark} if value is None
                                      else {"put": key, "value": value, "mark": mark})
                if events or now() >= until:
                    return 200, {"growth": self.growth, "events": events[::-1]}
            wait = 0.1 if self.is_refused(node) else max(0.01, min(1.0, until - now()))
            try:
                await asyncio.wait_for(self.changed.wait(), wait)
            except asyncio.TimeoutError:
                pass


# ---- cloud -----------------------------------------------------------------------------------------------------------


class Cloud:
    """The cloud. `boot_s` is the boot time; `down` makes it answer 503."""

    def __init__(self, site, workers, boot_s=2.0):
        self.types = site["types"]
        self.rps = float(site["cloud"]["rps"])
        self.tokens = (2 * self.rps, now())
        self.capacity = dict(site["capacity"])
        self.workers = workers
        self.boot_s = boot_s
        self.machines = {}
        self.asks = {}
        self.number = 0
        self.down = False
        self.log = []
        self.refused = []
        self.requests = []

    async def rent(self, breed, grove, windfall, boot_s=None):
        self.number += 1
        name = f"n-{self.number:06d}"
        worker = await self.workers.create(name, breed, grove, windfall)
        self.machines[name] = {"ref": name, "address": worker.server.address, "breed": breed, "grove": grove,
                               "windfall": windfall, "began": now(), "stage": "booting"}
        asyncio.ensure_future(self._boot(name, worker, self.boot_s if boot_s is None else boot_s))
        return name

    async def _boot(self, name, worker, boot_s):
        await asyncio.sleep(boot_s)
        if name in self.machines:
            self.machines[name]["stage"] = "running"
            worker.boot()

    def handler(self, node):
        async def handle(method, path, query, body):
            self.requests.append((now(), node, method, path, body))
            if self.down:
                return 503, {"error": "trouble"}
            tokens, at = self.tokens
            tokens = min(2 * self.rps, tokens + (now() - at) * self.rps)
            if tokens < 1:
                self.tokens = (tokens, now())
                return 429, {"error": "too many requests"}
            self.tokens = (tokens - 1, now())
            await asyncio.sleep(0.05)
            if path == "/machine_types":
                return 200, {"breeds": self.types}
            if path == "/machines/return" and method == "POST":
                for name in body["trees"]:
                    if self.machines.pop(name, None):
                        self.log.append(("return", node, name))
                        self.workers.end(name, "returned")
                return 200, {}
            if path == "/machines" and method == "POST":
                return await self._ask(node, body)
            if path == "/machines":
                names = sorted(name for name in self.machines if name > query.get("from", ""))
                most = min(int(query.get("most", "500")), 500)
                trees = []
                for name in names[:most]:
                    entry = {key: value for key, value in self.machines[name].items() if key != "began"}
                    trees.append({**entry, "ageS": now() - self.machines[name]["began"]})
                return 200, {"trees": trees, "hasNext": len(names) > most}
            return 404, {}
        return handle

    async def _ask(self, node, body):
        if body["ask"] in self.asks:
            return 200, {"trees": self.asks[body["ask"]]}
        kind = (body["breed"], body["grove"], body["windfall"])
        used = sum((m["breed"], m["grove"], m["windfall"]) == kind for m in self.machines.values())
        count = min(body["count"], 50, self.capacity.get(kind, 0) - used)
        if count <= 0:
            self.refused.append((kind, node))
            return 503, {"error": "no capacity"}
        names = [await self.rent(*kind) for _ in range(count)]
        self.asks[body["ask"]] = names
        self.log.append(("rent", node, names))
        return 200, {"trees": names}


# ---- workers ---------------------------------------------------------------------------------------------------------


class Worker:
    def __init__(self, fleet, name, breed, grove, windfall):
        self.fleet, self.name, self.breed, self.grove, self.windfall = fleet, name, breed, grove, windfall
        self.season, self.ring, self.staff = 1, 0, 0
        self.tasks = {}      # (task, attempt) -> {"stage", "cause", "until", "begin"}
        self.images = set()
        self.changed = asyncio.Event()
        self.keeper = None
        self.alive = False
        self.hung = False
        self.held = False    # commands wait on the way, and arrive late
        self.sick = False    # each task fails soon after its start
        self.lease_from = None
        self.deaf = set()    # names of controllers that this worker does not reach
        self.told = 0.0
        self.jobs = []
        self.shake_at = None
        self.statuses = {}
        self.server = Server(self.handle)

    def boot(self):
        self.alive = True
        self.lease_from = now()
        self.jobs = [asyncio.ensure_future(self.reporting()), asyncio.ensure_future(self.ticking())]

    def report(self):
        self.ring += 1
        nuts = [{"nut": task, "try": attempt, "stage": state["stage"],
                 **({"cause": state["cause"]} if state["cause"] else {})}
                for (task, attempt), state in self.tasks.items()]
        shake = None if self.shake_at is None else max(0.0, self.shake_at - now())
        return {"tree": self.name, "address": self.server.address, "breed": self.breed, "grove": self.grove,
                "windfall": self.windfall, "season": self.season, "ring": self.ring, "staff": self.staff,
                "shakeS": shake, "nuts": nuts}

    async def handle(self, method, path, query, body):
        if not self.alive:
            return None
        while self.hung or self.held:
            await asyncio.sleep(0.05)
        if path == "/show":
            return 200, self.report()
        if body is None or "staff" not in body or "season" not in body:
            return 400, {"error": "staff or season is missing"}
        if len(json.dumps(body, separators=(",", ":"))) > MAX_REQUEST_BODY:
            return 413, {"error": "a body may have at most 64 KiB"}
        if body["staff"] < self.staff or body["season"] != self.season:
            return 409, self.report()
        self.see(body["staff"])
        self.execute(body.get("calls", []))
        return 200, self.report()

    def see(self, staff):
        if staff > self.staff:
            self.staff = staff
            if now() - self.told > self.fleet.lease_s / 2:
                self.told = now()
                self.changed.set()

    def used(self):
        live = [self.fleet.specs[task.split("/")[0]] for (task, _), state in self.tasks.items() if state["stage"] != "exited"]
        return {name: sum(spec[name] for spec in live) for name in ("vcpus", "gpus", "memoryGb")}

    def execute(self, calls):
        for call in calls:
            key = (call["nut"], call["try"])
            if call["call"] == "run":
                self.start(key)
            elif call["call"] == "kill" and key in self.tasks and self.tasks[key]["stage"] != "exited":
                self.exit(key, "stopped")
            elif call["call"] == "reap" and key in self.tasks and self.tasks[key]["stage"] == "exited":
                del self.tasks[key]
                self.changed.set()

    def start(self, key):
        if key in self.tasks:
            return
        task = key[0]
        spec = self.fleet.specs.get(task.split("/")[0])
        self.changed.set()
        state = self.tasks[key] = {"stage": "exited", "cause": None, "until": None}
        if spec is None or int(task.split("/")[1]) >= spec["nuts"]:
            state["cause"] = "unknown"
        elif any(other[0] == task and other != key and s["stage"] != "exited" for other, s in self.tasks.items()):
            state["cause"] = "in_use"
        else:
            used, size = self.used(), self.fleet.sizes[self.breed]
            if any(used[name] + spec[name] > size[name] + 1e-6 for name in used):
                state["cause"] = "no_room"
            else:
                state["stage"] = "fetching"
                state["until"] = now() + (0 if spec["seed"] in self.images else self.fleet.fetch_s)

    def exit(self, key, cause):
        state = self.tasks[key]
        if state["stage"] in ("running", "flushing"):
            self.fleet.left(self, key, cause)
        state.update(stage="exited", cause=cause, until=None)
        self.changed.set()

    async def ticking(self):
        while self.alive:
            await asyncio.sleep(0.05)
            if self.hung:
                continue
            if now() - self.lease_from > self.fleet.lease_s:
                self.fleet.record.write(f"worker {self.name} lease of season {self.season} ran out, "
                                        f"{sum(s['stage'] != 'exited' for s in self.tasks.values())} tasks killed")
                self.drop_tasks("lease")
                self.season += 1
                self.fleet.expiries.append((now(), self.name))
                self.lease_from = now()
                self.changed.set()
            for key, state in list(self.tasks.items()):
                if state["until"] is None or now() < state["until"]:
                    continue
                spec = self.fleet.specs[key[0].split("/")[0]]
                if state["stage"] == "fetching":
                    self.images.add(spec["seed"])
                    if key[0] in self.fleet.done:
                        state.update(stage="exited", cause="done", until=None)
                    else:
                        state.update(stage="running", until=now() + (0.5 if self.sick else spec["runS"]))
                        self.fleet.entered(self, key)
                    self.changed.set()
                elif state["stage"] == "running" and self.sick:
                    self.exit(key, "error")
                elif state["stage"] == "running":
                    self.fleet.done.add(key[0])
                    self.exit(key, "done")

    def drop_tasks(self, why):
        for key, state in self.tasks.items():
            if state["stage"] in ("running", "flushing"):
                self.fleet.left(self, key, why)
        self.tasks = {}

    async def reporting(self):
        connection, index = None, hash(self.name) % len(self.fleet.controllers)
        names = [name for name, _ in self.fleet.controllers]
        next_at = now()
        while self.alive:
            wait = max(0.0, next_at - now())
            try:
                await asyncio.wait_for(self.changed.wait(), wait if wait else 0.001)
                await asyncio.sleep(max(0.0, min(0.5, self.fleet.last_report.get(self.name, 0) + 0.5 - now())))
            except asyncio.TimeoutError:
                pass
            while self.hung:
                await asyncio.sleep(0.05)
            self.changed.clear()
            name, address = self.fleet.controllers[index]
            sent, season = now(), self.season
            self.fleet.last_report[self.name] = sent
            next_at = sent + self.fleet.report_s * (0.75 + 0.5 * ((self.ring * 7919 + len(self.name)) % 100) / 100)
            try:
                if name in self.deaf:
                    raise OSError("not reached")
                if connection is None:
                    connection = Connection(address)
                status, answer, _ = await connection.request("POST", "/hello", self.report(), 4.0)
            except OSError:
                status, answer = None, None
            while self.hung:
                await asyncio.sleep(0.05)
            self.statuses[status] = self.statuses.get(status, 0) + 1
            self.fleet.on_answer(self, name, status, answer, sent)
            if status == 200:
                self.keeper = name
                if season == self.season and answer.get("staff", -1) >= self.staff:
                    self.lease_from = max(self.lease_from, sent)
                    self.see(answer["staff"])
                    self.execute(answer.get("calls", []))
                continue
            if connection:
                connection.close()
            connection = None
            keeper = (answer or {}).get("keeper") if status == 421 else None
            if keeper in names and keeper != name:
                index, next_at = names.index(keeper), now() + 0.2
            else:
                index, next_at = (index + 1) % len(names), now() + 1.0
        if connection:
            connection.close()


class Fleet:
    """All workers, and what users, workers and the platform can see of the tasks."""

    def __init__(self, site, record, fetch_s=0.3):
        self.record = record
        self.report_s, self.lease_s = site["workers"]["report_s"], site["workers"]["lease_s"]
        self.sizes = {kind["sku"]: kind for kind in site["types"]}
        self.fetch_s = fetch_s
        self.controllers = []
        self.workers = {}
        self.specs = {}
        self.done = set()
        self.on = {}          # task -> {(machine, attempt)}
        self.starts = []      # (time, task, attempt, machine, grove)
        self.ends = []        # (time, task, attempt, machine, why)
        self.twice = []
        self.expiries = []
        self.last_report = {}
        self.answers = []     # (time, machine, controller, status, staff)
        self.keep_answers = False

    async def create(self, name, breed, grove, windfall):
        worker = Worker(self, name, breed, grove, windfall)
        await worker.server.start()
        self.workers[name] = worker
        return worker

    def on_answer(self, worker, controller, status, answer, sent):
        if self.keep_answers:
            self.answers.append((now(), worker.name, controller, status, (answer or {}).get("staff")))

    def entered(self, worker, key):
        task, attempt = key
        others = self.on.setdefault(task, set())
        if others:
            self.twice.append((task, attempt, worker.name, sorted(others)))
            self.record.write(f"RAN TWICE {task} try {attempt} on {worker.name} while on {sorted(others)}")
        others.add((worker.name, attempt))
        self.starts.append((now(), task, attempt, worker.name, worker.grove))
        self.record.write(f"run {task} try {attempt} on {worker.name}")

    def left(self, worker, key, why):
        self.on.get(key[0], set()).discard((worker.name, key[1]))
        self.ends.append((now(), key[0], key[1], worker.name, why))
        self.record.write(f"end {key[0]} try {key[1]} on {worker.name} {why}")

    def end(self, name, why):
        worker = self.workers.get(name)
        if worker and worker.server:
            worker.alive = False
            worker.drop_tasks(why)
            worker.server.close()
            for job in worker.jobs:
                job.cancel()
            self.record.write(f"machine {name} {why}")

    def running(self, job):
        return sorted((task, machine) for task, places in self.on.items() if task.startswith(job + "/")
                      for machine, _ in places)


# ---- controllers -----------------------------------------------------------------------------------------------------


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    try:
        for each in sockets:
            each.bind(("127.0.0.1", 0))
        return [each.getsockname()[1] for each in sockets]
    finally:
        for each in sockets:
            each.close()


class Controllers:
    """The project's own program, one process a controller, with the command of the deploy file."""

    def __init__(self, record, site, store, cloud, log_level="info"):
        self.record, self.site, self.store, self.cloud = record, site, store, cloud
        self.size = site.get("size", 3)
        self.names = [f"kernel-{index}" for index in range(self.size)]
        self.folder = tempfile.mkdtemp(prefix="walnutlug-review-")
        self.processes = {}
        self.log_level = log_level
        self.peer_proxies = {}
        self.servers = []
        with open(os.path.join(ROOT, "deploy", "service.toml"), "rb") as file:
            self.command = tomllib.load(file)["run"].split()
        if not os.path.exists(os.path.join(ROOT, self.command[0])):
            raise CannotRun(f"{self.command[0]} is not built")

    async def start(self):
        ports = free_ports(2 * self.size)
        self.addresses = [f"127.0.0.1:{port}" for port in ports[:self.size]]
        internal = [f"127.0.0.1:{port}" for port in ports[self.size:]]
        zones = self.site["zones"]
        for index, name in enumerate(self.names):
            state = await Server(self.store.handler(name)).start()
            cloud = await Server(self.cloud.handler(name)).start()
            self.servers += [state, cloud]
            peers = []
            for other, peer in enumerate(self.names):
                if other != index:
                    proxy = await Proxy(internal[other]).start()
                    self.peer_proxies[name, peer] = proxy
                    peers.append({"node_name": peer, "zone": zones[other % len(zones)], "peer_addr": proxy.address})
            settings = {
                "node_name": name, "zone": zones[index % len(zones)], "listen": self.addresses[index],
                "internal_addr": internal[index], "peers": peers,
                "external": {"cloud": cloud.address, "state": state.address},
                "facts": {"size": self.size, "zones": zones, "teams": self.site["teams"],
                          "objectives": self.site.get("objectives", []), "workers": self.site["workers"],
                          "state": self.site["state"], "cloud": self.site["cloud"],
                          "resources": self.site["resources"], "clock_error_ms": 1000.0}}
            with open(os.path.join(self.folder, f"{name}.json"), "w", encoding="utf-8") as file:
                json.dump(settings, file)
            self.spawn(name)
        self.cloud.workers.controllers = list(zip(self.names, self.addresses))

    def spawn(self, name):
        log = open(os.path.join(self.folder, f"{name}.log"), "ab")
        command = [os.path.join(ROOT, self.command[0])] + self.command[1:] + [os.path.join(self.folder, f"{name}.json")]
        self.processes[name] = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                                                env={**os.environ, "LOG_LEVEL": self.log_level})
        log.close()
        self.record.write(f"controller {name} started")

    def signal(self, name, number):
        self.record.write(f"controller {name} gets {signal.Signals(number).name}")
        self.processes[name].send_signal(number)
        if number == signal.SIGKILL:
            self.processes[name].wait()

    def cut_peers(self, name, cut=True):
        for (one, other), proxy in self.peer_proxies.items():
            if name in (one, other):
                proxy.cut = cut

    def leader(self):
        found = self.store.keys.get("leader")
        return found[0]["node"] if found else None

    async def ready(self, seconds=15):
        until = now() + seconds
        while now() < until:
            try:
                answers = [await request_once(address, "GET", "/ready", timeout=1.0) for address in self.addresses]
                if all(status == 200 for status, _, _ in answers) and self.leader():
                    return
            except OSError:
                pass
            await asyncio.sleep(0.2)
        raise CannotRun("the controllers did not become ready")

    def dead(self):
        return [name for name, process in self.processes.items() if process.poll() is not None]

    def memory_mb(self, name):
        with open(f"/proc/{self.processes[name].pid}/status", encoding="ascii") as file:
            for line in file:
                if line.startswith("RssAnon"):
                    return int(line.split()[1]) / 1024
        return 0.0

    def logs(self):
        text = {}
        for name in self.names:
            with open(os.path.join(self.folder, f"{name}.log"), encoding="utf-8", errors="replace") as file:
                text[name] = file.read()
        return text

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        for proxy in self.peer_proxies.values():
            proxy.close()
        for server in self.servers:
            server.close()
        shutil.rmtree(self.folder, ignore_errors=True)


# ---- users -----------------------------------------------------------------------------------------------------------


class Users:
    """Users as the pages describe them: they retry what was not answered, at the next controller."""

    def __init__(self, record, fleet, controllers):
        self.record, self.fleet, self.controllers = record, fleet, controllers
        self.turn = 0

    def job(self, ref, run_s=5.0, **fields):
        spec = {"ref": ref, "shell": "work", "crew": "team", "husk": "batch", "rank": "normal", "nuts": 1,
                "vcpus": 1.0, "gpus": 0.0, "memoryGb": 1.0, "seed": "img-01", "imageGb": 0.5, "breeds": None,
                "grove": None, "together": False, "spread": False, "windfall": True, "ripenS": run_s, "stashS": 0.0,
                "buryS": 0.0, "harvestS": None, **fields}
        self.fleet.specs[ref] = {**spec, "runS": run_s}
        return spec

    async def ask(self, method, path, value=None, node=None, tries=60, timeout=5.0, ok=(200, 201), final=(400, 404, 422)):
        for attempt in range(tries):
            if node is None:
                self.turn += 1
            at = self.controllers.names[self.turn % self.controllers.size] if node is None else node
            address = self.controllers.addresses[self.controllers.names.index(at)]
            try:
                status, answer, headers = await request_once(address, method, path, value, timeout)
            except OSError:
                status, answer, headers = None, None, {}
            shown = json.dumps(answer) if answer is not None else ""
            self.record.write(f"user {method} {path} {(value or {}).get('ref', '')} at {at}: {status} {shown[:160]}")
            if status in ok or status in final:
                return status, answer
            await asyncio.sleep(max(1.0, float(headers.get("retry-after", "1"))))
        return None, None

    async def submit(self, spec, node=None, **more):
        return await self.ask("POST", "/submissions", spec, node, **more)

    async def cancel(self, ref, node=None, **more):
        return await self.ask("POST", f"/submissions/{ref}/withdraw", None, node, **more)

    async def poll(self, ref, node=None, tries=1):
        status, answer = await self.ask("GET", f"/submissions/{ref}", None, node, tries=tries, timeout=2.0)
        return status, (answer or {}).get("stage")

    async def until(self, ref, stages, seconds, pause=1.0):
        """Polls until the job has one of the stages; returns the last stage."""
        end, stage = now() + seconds, None
        while now() < end:
            status, stage = await self.poll(ref)
            if stage in stages:
                break
            await asyncio.sleep(pause)
        return stage


class World:
    """Everything of one case, started and ended together."""

    def __init__(self, folder, site, boot_s=2.0, fetch_s=0.3, log_level="info"):
        self.record = Record(folder)
        self.site = site
        self.store = Store(site["state"])
        self.fleet = Fleet(site, self.record, fetch_s)
        self.cloud = Cloud(site, self.fleet, boot_s)
        self.controllers = Controllers(self.record, site, self.store, self.cloud, log_level)
        self.users = Users(self.record, self.fleet, self.controllers)

    async def __aenter__(self):
        self.store_task = asyncio.ensure_future(self.store.run())
        try:
            await self.controllers.start()
            await self.controllers.ready()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def machines(self, count, breed, groves, windfall=False, seconds=15):
        names = [await self.cloud.rent(breed, groves[index % len(groves)], windfall, 0.0) for index in range(count)]
        until = now() + seconds
        while now() < until:
            if all(self.fleet.workers[name].staff > 0 for name in names):
                return names
            await asyncio.sleep(0.1)
        raise CannotRun("the workers were not taken on")

    async def __aexit__(self, *_):
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            os.makedirs(keep, exist_ok=True)
            for name, text in self.controllers.logs().items():
                with open(os.path.join(keep, f"{name}.log"), "w", encoding="utf-8") as file:
                    file.write(text)
        self.store_task.cancel()
        for name in list(self.fleet.workers):
            self.fleet.end(name, "end of the case")
        self.controllers.close()


def run_case(case):
    """Runs `async case(trouble) -> list of broken rules`, and exits with 0, 1 or 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        broken = asyncio.run(asyncio.wait_for(case(trouble), 115))
    except (CannotRun, asyncio.TimeoutError) as error:
        print(f"could not run: {error or 'took too long'}")
        raise SystemExit(2) from error
    for line in broken:
        print(f"broken: {line}")
    print("rule broken" if broken else "rule held")
    raise SystemExit(1 if broken else 0)
