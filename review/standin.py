"""Small stand-ins for the review scripts: the platform's store, its list of machines, minions and clients.

They speak what PROTOCOL.md of the users' pages says, on loopback addresses and the real clock. Only what the scripts
need is here: rows, no objects; orders of kind `rpc`; no advice and no pacing. A script asks for every irregularity by
name (for example `Store.lose_puts`), and nothing irregular happens otherwise.
"""

import asyncio
import base64
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))

# The bounds and figures of a small deployment, as the settings of the first two sites state them.
BOUNDS = {
    "contact_ms": 3000, "ack_ms": 4000, "config_ms": 2000, "max_skew_ms": 5000, "hold_max_ms": 10000, "stop_ms": 400,
    "cancel_ms": 3000, "visible_ms": 3000, "finish_s": 14, "far_x": 2, "save_s": 0.5, "grace_s": 6,
}
PLATFORM = {"tx_ms": 5.0, "row_bytes": 65536, "tx_bytes": 1_000_000, "tx_entries": 100, "answer_ms": 4.0}


class CannotRun(Exception):
    """The case could not run, which says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f}  {text}\n")
        self.file.flush()


# ---- HTTP ------------------------------------------------------------------------------------------------------------

async def read_message(reader):
    """Reads one HTTP/1.1 message; returns its first line, headers and body, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


class HttpServer:
    """Serves HTTP on a free loopback port; `handle(method, path, query, headers, body)` returns (status, object)."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.address = None
        self.writers = set()

    def crash(self):
        """Resets all connections and refuses new ones."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=4 << 20)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                first, headers, body = message
                method, target, _ = first.split(" ", 2)
                url = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
                answer = await self.handle(method, url.path, query, headers, body)
                if answer is None:
                    # No answer: the connection says nothing further.
                    await asyncio.sleep(3600)
                status, value = answer
                data = json.dumps(value, separators=(",", ":")).encode()
                head = f"HTTP/1.1 {status} x\r\ncontent-type: application/json\r\ncontent-length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def call(address, method, path, host="", body=None, deadline_ms=3000, headers=None):
    """Sends one call on a new connection; returns (status, object), or (None, reason) without an answer."""
    name, port = address.split(":")
    data = b"" if body is None else json.dumps(body).encode()
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"Rockwick-Deadline: {deadline_ms}",
             "Content-Type: application/json", f"Content-Length: {len(data)}"]
    lines += [f"{k}: {v}" for k, v in (headers or {}).items()]

    async def exchange():
        reader, writer = await asyncio.open_connection(name, int(port), limit=4 << 20)
        try:
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                return None, "the connection broke"
            first, _, answer = message
            return int(first.split(" ")[1]), json.loads(answer) if answer else None
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), deadline_ms / 1000)
    except asyncio.TimeoutError:
        return None, "no answer in time"
    except OSError as e:
        return None, f"no connection ({type(e).__name__})"
    except ValueError:
        return None, "a malformed answer"


# ---- The platform's store --------------------------------------------------------------------------------------------

class Store:
    """Rows with versions, conditional transactions, reads and a feed of changes."""

    def __init__(self, record):
        self.record = record
        self.rows = {}  # (table, part, key) -> (base64 text or None, ver)
        self.ver = 0
        self.began = time.monotonic()
        self.changed = asyncio.Event()
        self.busy_until = {}
        self.is_down = False
        self.refused_as_too_large = 0
        self.largest_value = 0
        self.last_late = 0.0
        # A function of a transaction that returns after how many seconds it is done without an answer, or None.
        self.lose_puts = lambda tx: None
        self.server = HttpServer(self.handle)

    def now_ms(self):
        return int((time.monotonic() - self.began) * 1000) + 1

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(PLATFORM["answer_ms"] / 1000)
        if self.is_down:
            return 503, {}
        if path == "/rows-tx":
            return await self.transact(json.loads(body))
        if path == "/rows-get":
            return self.get(query)
        if path == "/rows-feed":
            return await self.feed(query)
        if path == "/rows-parts":
            return self.parts(query)
        return 404, {}

    async def transact(self, tx):
        after_s = self.lose_puts(tx)
        if after_s is not None:
            await asyncio.sleep(after_s)
            status, _ = self.commit(tx)
            self.last_late = self.record.now()
            keys = [put["key"] for put in tx.get("put", [])]
            self.record(f"store: a write of {keys} is done {after_s} s late ({status}) and not answered")
            return None
        part = next((row.get("part", "") for name in ("put", "remove", "expected_revision")
                     for row in tx.get(name, [])), "")
        # One part takes its writes in turn.
        now = time.monotonic()
        at = max(now, self.busy_until.get(part, now)) + PLATFORM["tx_ms"] / 1000
        if at > now + 1:
            return 429, {}
        self.busy_until[part] = at
        await asyncio.sleep(at - now)
        if self.is_down:
            return 503, {}
        return self.commit(tx)

    def commit(self, tx):
        guards, puts, removes = tx.get("expected_revision", []), tx.get("put", []), tx.get("remove", [])
        values = [len(base64.b64decode(put["value"])) for put in puts]
        size = sum(len(put["value"]) + len(put["key"]) for put in puts)
        entries = len(guards) + len(puts) + len(removes)
        too_large = (max(values, default=0) > PLATFORM["row_bytes"] or size > PLATFORM["tx_bytes"]
                     or entries > PLATFORM["tx_entries"])
        if too_large:
            self.refused_as_too_large += 1
            if self.refused_as_too_large <= 5 or self.refused_as_too_large % 100 == 0:
                self.record(f"store: transaction refused as too large, number {self.refused_as_too_large}: "
                            f"{entries} entries, largest value {max(values, default=0)} bytes, {size} bytes in all")
            return 413, {}
        key = lambda row: (row["table"], row.get("part", ""), row["key"])
        ver_of = lambda row: self.rows.get(key(row), (None, 0))
        if any((ver_of(g)[1] if ver_of(g)[0] is not None else 0) != g["ver"] for g in guards):
            return 412, {"rows": [self.row(key(g)) for g in guards], "ver": self.ver, "now_ms": self.now_ms()}
        self.largest_value = max(self.largest_value, *values, 0) if values else self.largest_value
        self.ver += 1
        for put in puts:
            self.rows[key(put)] = (put["value"], self.ver)
        for gone in removes:
            self.rows[key(gone)] = (None, self.ver)
        self.wake()
        return 200, {"ver": self.ver, "now_ms": self.now_ms()}

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def row(self, key):
        value, ver = self.rows.get(key, (None, 0))
        row = {"table": key[0], "part": key[1], "key": key[2], "ver": ver if value is not None else 0}
        if value is not None:
            row["value"] = value
        return row

    def put(self, table, key, value):
        """Writes a row without a part, as the operator or a minion would."""
        self.ver += 1
        text = None if value is None else base64.b64encode(json.dumps(value).encode()).decode()
        self.rows[(table, "", key)] = (text, self.ver)
        self.wake()

    def get(self, query):
        table, part = query.get("table", ""), query.get("part", "")
        low, high = query.get("from", ""), query.get("target_version", "")
        limit = min(int(query.get("limit", "500")), 500)
        keys = sorted(k for k, (value, _) in self.rows.items()
                      if k[0] == table and k[1] == part and value is not None and k[2] >= low
                      and (not high or k[2] < high))
        rows, size = [], 0
        for key in keys:
            row = self.row(key)
            size += len(row["value"])
            if rows and (len(rows) >= limit or size > 1_000_000):
                break
            rows.append(row)
        return 200, {"rows": rows, "more": len(rows) < len(keys), "ver": self.ver, "now_ms": self.now_ms()}

    async def feed(self, query):
        table, since = query.get("table", ""), int(query.get("depends_on", "0"))
        until = time.monotonic() + min(int(query.get("wait_ms", "0")), 30000) / 1000
        while True:
            if self.is_down:
                return 503, {}
            event = self.changed
            new = sorted((ver, k) for k, (_, ver) in self.rows.items() if k[0] == table and ver > since)
            left = until - time.monotonic()
            if new or left <= 0:
                rows = []
                for ver, key in new:
                    value, _ = self.rows[key]
                    row = {"table": key[0], "part": key[1], "key": key[2], "ver": ver}
                    row.update({"gone": True} if value is None else {"value": value})
                    rows.append(row)
                return 200, {"rows": rows, "ver": self.ver, "now_ms": self.now_ms()}
            try:
                await asyncio.wait_for(event.wait(), left)
            except asyncio.TimeoutError:
                pass

    def parts(self, query):
        names = sorted({k[1] for k, (value, _) in self.rows.items()
                        if k[0] == query.get("table", "") and value is not None})
        names = [n for n in names if n > query.get("depends_on", "")]
        return 200, {"parts": names[:1000], "now_ms": self.now_ms()}


# ---- Minions ---------------------------------------------------------------------------------------------------------

class Run:
    def __init__(self, task, run, ends, began):
        self.task, self.run, self.ends, self.began = task, run, ends, began


class Minion:
    """A sound minion that guards its capacity. The spec of a job states how long its tasks work: `work_ms=N`."""

    def __init__(self, fleet, number, service, cpu=16000, life=0):
        self.fleet, self.record, self.number, self.life = fleet, fleet.record, number, life
        self.id, self.machine, self.service = f"i-{life:02x}{number:04x}", f"m-{number:04x}", service
        self.is_up = True
        self.rack = f"r1-{number // 4}"
        self.capacity = {"cpu": cpu, "mem_mb": 32768, "gpu": 0}
        self.clock0 = time.monotonic() - 100
        self.token, self.lease_until_ms = 0, 0
        self.running, self.ended, self.barred, self.last_end = {}, [], {}, 0
        self.changed = asyncio.Event()
        self.server = HttpServer(self.handle)

    def clock_ms(self):
        return int((time.monotonic() - self.clock0) * 1000)

    async def start(self):
        await self.server.start()
        self.fleet.store.put("servers", self.id, {
            "service": self.service, "address": self.server.address, "zone": "hall-a", "version": "v1", "slots": 8,
            "state": "ready", "cold_remaining_ms": 0, "capacity": self.capacity, "labels": ["a", self.rack],
            "machine": self.machine, "clock_ms": self.clock_ms(), "sequence": 1})
        asyncio.ensure_future(self.work())

    async def crash(self, down_s, listed_s=4.5):
        """Crashes without a word. Its entry lapses after three heartbeats; a new life of the machine comes later."""
        self.is_up = False
        self.record(f"minion {self.id} of {self.service} crashes with {len(self.running)} runs")
        self.running.clear()
        self.server.crash()
        life = Minion(self.fleet, self.number, self.service, self.capacity["cpu"], self.life + 1)

        async def unlist():
            await asyncio.sleep(listed_s)
            self.fleet.store.put("servers", self.id, None)

        async def come_back():
            await asyncio.sleep(down_s)
            self.fleet.minions[self.fleet.minions.index(self)] = life
            await life.start()
            self.record(f"minion {life.id} comes up on {life.machine}")

        asyncio.ensure_future(unlist())
        asyncio.ensure_future(come_back())

    async def work(self):
        while self.is_up:
            now = time.monotonic()
            for run in [r for r in self.running.values() if r.ends <= now]:
                self.end(run, "done")
            if self.running and self.clock_ms() >= self.lease_until_ms:
                for run in list(self.running.values()):
                    self.end(run, "lapsed")
            await asyncio.sleep(0.005)

    def end(self, run, how):
        del self.running[run.task]
        self.last_end += 1
        self.barred[run.task] = max(self.barred.get(run.task, 0), run.run)
        self.ended.append([self.last_end, run.task, run.run, how, ""])
        self.fleet.note_end(self, run, how)
        self.changed.set()
        self.changed = asyncio.Event()

    def used(self):
        return sum(self.fleet.cpu_of(run.task) for run in self.running.values())

    def answer(self, status, **more):
        return status, {"clock_ms": self.clock_ms(), **more}

    def extend(self, deadline_ms):
        most = self.clock_ms() + BOUNDS["hold_max_ms"]
        self.lease_until_ms = max(self.lease_until_ms, min(deadline_ms, most))

    async def handle(self, method, path, query, headers, body):
        if path == "/health":
            return 200, {}
        if headers.get("rockwick-expected-instance", self.id) != self.id:
            return self.answer(421)
        order = json.loads(body)
        token = order.get("fencing_token", 0)
        if token < self.token:
            return self.answer(409, reason="fence")
        self.token = token
        if path == "/run-start":
            return self.start_run(order)
        if path == "/run-stop":
            return self.stop_run(order)
        if path == "/hold":
            return await self.hold(order)
        return self.answer(400)

    def start_run(self, order):
        task, run = order["task"], order["run"]
        here = self.running.get(task)
        if here and here.run == run:
            self.extend(order["deadline_ms"])
            return self.answer(200)
        if run <= self.barred.get(task, 0) or here:
            self.extend(order["deadline_ms"])
            return self.answer(409, reason="old")
        if order["deadline_ms"] <= self.clock_ms():
            return self.answer(409, reason="late")
        if self.used() + self.fleet.cpu_of(task) > self.capacity["cpu"]:
            self.extend(order["deadline_ms"])
            return self.answer(409, reason="room")
        self.extend(order["deadline_ms"])
        work_s = float(order["spec"].split("work_ms=")[1].split()[0]) / 1000
        now = time.monotonic()
        self.running[task] = Run(task, run, now + work_s, now)
        self.fleet.note_start(self, self.running[task])
        return self.answer(200)

    def stop_run(self, order):
        task, run = order["task"], order["run"]
        self.barred[task] = max(self.barred.get(task, 0), run)
        here = self.running.get(task)
        if here and here.run <= run:
            self.end(here, "stopped")
        return self.answer(200)

    async def hold(self, order):
        if "deadline_ms" in order:
            self.extend(order["deadline_ms"])
        self.ended = [end for end in self.ended if end[0] > order.get("last_seen", 0)]
        until = time.monotonic() + min(order.get("wait_ms", 0), 2000) / 1000
        while not self.ended and time.monotonic() < until:
            event = self.changed
            try:
                await asyncio.wait_for(event.wait(), max(until - time.monotonic(), 0))
            except asyncio.TimeoutError:
                break
        now = time.monotonic()
        running = [[r.task, r.run, "", min(99, int(100 * (now - r.began) / max(r.ends - r.began, 0.001))), 0]
                   for r in self.running.values()]
        return self.answer(200, running=running, ended=self.ended[:500])


# ---- The whole stage -------------------------------------------------------------------------------------------------

class Fleet:
    """The store, the list of machines, minions, and entries as processes of the program under review."""

    def __init__(self, record):
        self.record = record
        self.store = Store(record)
        self.minions, self.entries = [], []
        self.starts, self.ends = [], []  # (time, minion, task, run) and (time, minion, task, run, how)
        self.cpu_by_job = {}
        self.quiet = False
        self.cloud = HttpServer(self.handle_cloud)
        self.folder = tempfile.TemporaryDirectory(prefix="rockwick-review-")
        self.taken_ports = []

    async def begin(self):
        await self.store.server.start()
        await self.cloud.start()

    async def handle_cloud(self, method, path, query, headers, body):
        if path == "/machines":
            machines = [{"machine": m.machine, "pool": m.service, "state": "up" if m.is_up else "down",
                         "zone": "hall-a", "labels": ["a", m.rack], "capacity": m.capacity, "id": m.id} for m in self.minions]
            return 200, {"machines": machines, "next_token": None}
        self.record(f"cloud: {path} {body.decode()}")
        return 409, {"reason": "busy"}

    async def add_minions(self, service, count, cpu=16000):
        for _ in range(count):
            minion = Minion(self, len(self.minions) + 1, service, cpu)
            self.minions.append(minion)
            await minion.start()

    def configure(self, version, routes):
        """Writes the configuration; `routes` maps a path prefix to a service. Returns when it was acknowledged."""
        names = sorted({m.service for m in self.minions})
        value = {"version": version, "limits": {"max_body_bytes": 262144},
                 "services": [{"name": name, "headroom": False} for name in names],
                 "routes": [{"name": "r-" + prefix.strip("/"), "host": "queue.example", "path_prefix": prefix,
                             "kind": "unsafe", "timeout_ms": 3000, "target_latency_ms": 2500, "priority": 0,
                             "service": service, "max_attempts": 4, "stretch": 2.2}
                            for prefix, service in routes.items()]}
        self.store.put("op", "config", value)
        self.record(f"operator: configuration {version} acknowledged, {routes}")
        return self.record.now()

    def cpu_of(self, task):
        return self.cpu_by_job.get(task.split(".")[0], 0)

    def note_start(self, minion, run):
        self.starts.append((self.record.now(), minion, run.task, run.run))
        if not self.quiet:
            self.record(f"minion {minion.id} of {minion.service}: starts {run.task}, run {run.run}")

    def note_end(self, minion, run, how):
        self.ends.append((self.record.now(), minion, run.task, run.run, how))
        if not self.quiet:
            self.record(f"minion {minion.id} of {minion.service}: {run.task}, run {run.run} ends: {how}")

    def free_port(self):
        import socket
        s = socket.socket()
        s.bind(("127.0.0.1", 0))
        self.taken_ports.append(s)
        return s.getsockname()[1]

    def add_entry(self):
        number = len(self.entries) + 1
        entry = Entry(self, f"edge-hall-a-{number}", [self.free_port() for _ in range(3)])
        self.entries.append(entry)
        return entry

    async def start_entries(self, count):
        for _ in range(count):
            self.add_entry()
        for s in self.taken_ports:
            s.close()
        for entry in self.entries:
            entry.start()
        await self.until_ready()

    async def until_ready(self, within_s=15):
        until = time.monotonic() + within_s
        for entry in self.entries:
            while (await call(entry.ready, "GET", "/readiness", deadline_ms=1000))[0] != 200:
                if time.monotonic() > until:
                    raise CannotRun(f"{entry.name} does not become ready")
                await asyncio.sleep(0.1)
        self.record("all entries are ready")

    async def submit(self, entry, prefix, job, body, deadline_ms=3000):
        self.cpu_by_job[job] = max(step.get("cpu", 0) for step in body["steps"])
        status, answer = await call(entry.front, "POST", prefix + job, "queue.example", body, deadline_ms)
        self.record(f"client: POST {prefix}{job} at {entry.name} -> {status} {answer if status != 200 else ''}")
        return status

    async def state(self, entry, prefix, job):
        status, answer = await call(entry.front, "GET", prefix + job, "queue.example")
        self.record(f"client: GET {prefix}{job} at {entry.name} -> {status} {answer}")
        return status, (answer or {}).get("state") if isinstance(answer, dict) else None

    async def cancel(self, entry, prefix, job):
        status, answer = await call(entry.front, "DELETE", prefix + job, "queue.example")
        self.record(f"client: DELETE {prefix}{job} at {entry.name} -> {status} {answer}")
        return status

    def close(self):
        for entry in self.entries:
            entry.kill("SIGKILL", quiet=True)
        self.folder.cleanup()


class Entry:
    """One machine with the role of the deploy file."""

    def __init__(self, fleet, name, ports):
        self.fleet, self.name = fleet, name
        self.front, self.ready, self.metrics = [f"127.0.0.1:{port}" for port in ports]
        self.child = None

    def start(self):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as f:
            role = tomllib.load(f)["roles"]["entry"]
        values = {"node_name": self.name, "zone": "hall-a", "ip": "127.0.0.1", "listen.front": self.front,
                  "listen.ready": self.ready, "internal_ports.0": self.metrics.split(":")[1],
                  "limits.cpu_share": "0.25", "platform.address": self.fleet.store.server.address,
                  "cloud.address": self.fleet.cloud.address, "cloud.duty_per_s": "64.0", "advice": ""}
        values.update({f"bounds.{name}": str(value) for name, value in BOUNDS.items()})

        def fill(text):
            for name, value in values.items():
                text = text.replace("{{" + name + "}}", value)
            return text

        env = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        env.update({name: fill(text) for name, text in role["env"].items()})
        command = role["run"].split()
        if not os.path.exists(os.path.join(ROOT, command[0])):
            raise CannotRun(f"{command[0]} is not built")
        log = open(os.path.join(self.fleet.folder.name, self.name + ".log"), "ab")
        self.child = subprocess.Popen(command, cwd=ROOT, env=env, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        self.fleet.record(f"{self.name}: process started")

    def kill(self, name, quiet=False):
        if self.child is None:
            return
        try:
            self.child.send_signal(getattr(signal, name))
        except ProcessLookupError:
            pass
        if not quiet:
            self.fleet.record(f"{self.name}: {name}")
        if name == "SIGKILL":
            self.child.wait()
            self.child = None


def main(record_path, case):
    """Runs `case(fleet, record, trouble)`, which returns a list of broken rules; exits with 1, 0 or 2.

    What was sent, answered and run is written to `record_path`.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(record_path)
    record(f"TROUBLE={int(trouble)}")
    status = 2

    async def play():
        fleet = Fleet(record)
        try:
            await fleet.begin()
            return await case(fleet, record, trouble)
        finally:
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                import shutil
                shutil.copytree(fleet.folder.name, keep, dirs_exist_ok=True)
            fleet.close()

    try:
        broken = asyncio.run(asyncio.wait_for(play(), 115))
        for text in broken:
            record(f"BROKEN: {text}")
        status = 1 if broken else 0
    except CannotRun as e:
        record(f"the case could not run: {e}")
    except asyncio.TimeoutError:
        record("the case could not run: it took longer than 115 s")
    except Exception as e:  # a fault of the case itself says nothing about the rule
        record(f"the case could not run: {type(e).__name__}: {e}")
    record({0: "the rule held", 1: "the rule was broken", 2: "no result"}[status])
    print({0: "held", 1: "broken", 2: "could not run"}[status])
    sys.exit(status)
