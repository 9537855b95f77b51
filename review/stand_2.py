"""Small stand-ins for the scripts of the second review: the platform's store and machines, minions, clients.

They follow the users' pages: PROTOCOL.md for what is spoken, DEPLOY.md for the settings. Everything runs on loopback
addresses and the real clock. One event loop holds all stand-ins; the entries are separate processes.
"""
import asyncio
import base64
import json
import logging
import os
import random
import socket
import subprocess
import sys
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
ROCKWICK = os.path.join(ROOT, "target", "release", "rockwick")
T0 = time.monotonic()


def now_ms():
    return (time.monotonic() - T0) * 1000.0


def free_port():
    """A free port below those that the system gives to outgoing connections."""
    while True:
        port = random.SystemRandom().randint(18000, 31000)
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue


class Record:
    """Writes what was sent, answered and run to a case's `record.txt`."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def say(self, text):
        self.file.write(f"{now_ms() / 1000.0:9.3f} {text}\n")
        self.file.flush()


SILENT = object()


class HttpServer:
    """An HTTP/1.1 server. `handle` returns (status, object), or SILENT: the connection then says nothing further."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.writers = set()
        self.port = None

    async def start(self, port=0):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]
        return f"127.0.0.1:{self.port}"

    def crash(self):
        """Closes the listener and resets all connections."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                if "chunked" in headers.get("transfer-encoding", ""):
                    body = b""
                    while True:
                        size = int((await reader.readline()).split(b";")[0], 16)
                        body += await reader.readexactly(size)
                        await reader.readline()
                        if size == 0:
                            break
                else:
                    body = await reader.readexactly(int(headers.get("content-length", "0")))
                answer = await self.handle(method, target, headers, body)
                if answer is SILENT:
                    await asyncio.sleep(3600)
                status, value = answer
                data = json.dumps(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            try:
                writer.close()
            except Exception:
                pass


class Store:
    """The platform's store: rows in tables, transactions, feeds. A transaction takes `tx_ms`."""

    def __init__(self, tx_ms=5.0, read_ms=4.0):
        self.rows = {}
        self.log = []
        self.ver = 0
        self.tx_ms, self.read_ms = tx_ms, read_ms
        self.changed = asyncio.Event()
        # Decides what happens to a writing call: None, or the delay in seconds after which it is done, unanswered.
        self.fate = lambda body: None
        self.http = HttpServer(self.handle)

    def put_rows(self, puts, removes):
        self.ver += 1
        for table, part, key, value in puts:
            self.rows[(table, part, key)] = (value, self.ver)
            self.log.append((self.ver, table, part, key, value))
        for table, part, key in removes:
            if self.rows.pop((table, part, key), None):
                self.log.append((self.ver, table, part, key, None))
        event, self.changed = self.changed, asyncio.Event()
        event.set()
        return self.ver

    def put(self, table, key, value):
        """A write by the operator, or by a minion of its own entry."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        return self.put_rows([(table, "", key, text)], [])

    def drop(self, table, key):
        self.put_rows([], [(table, "", key)])

    def transact(self, body):
        found, holds = [], True
        for g in body.get("expected_revision", []):
            at = (g["table"], g.get("part", ""), g["key"])
            value, ver = self.rows.get(at, (None, 0))
            holds &= ver == g.get("ver", 0)
            row = {"table": at[0], "part": at[1], "key": at[2], "ver": ver}
            if value is not None:
                row["value"] = value
            found.append(row)
        if not holds:
            return 412, {"rows": found, "ver": self.ver, "now_ms": now_ms()}
        puts = [(p["table"], p.get("part", ""), p["key"], p["value"]) for p in body.get("put", [])]
        removes = [(p["table"], p.get("part", ""), p["key"]) for p in body.get("remove", [])]
        return 200, {"ver": self.put_rows(puts, removes), "now_ms": now_ms()}

    async def handle(self, method, target, headers, body):
        url = urlsplit(target)
        q = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
        if url.path == "/rows-tx":
            body = json.loads(body)
            delay_s = self.fate(body)
            if delay_s is not None:
                asyncio.get_running_loop().call_later(delay_s, self.transact, body)
                return SILENT
            await asyncio.sleep(self.tx_ms / 1000.0)
            return self.transact(body)
        if url.path == "/rows-feed":
            return await self.feed(q)
        await asyncio.sleep(self.read_ms / 1000.0)
        if url.path == "/rows-get":
            return self.get(q)
        if url.path == "/rows-parts":
            parts = sorted({p for (t, p, _) in self.rows if t == q["table"] and p > q.get("depends_on", "")})
            return 200, {"parts": parts[:1000], "ver": self.ver, "now_ms": now_ms()}
        return 400, {}

    def get(self, q):
        table, part = q["table"], q.get("part", "")
        start, end, limit = q.get("from", ""), q.get("target_version", ""), min(int(q.get("limit", "500")), 500)
        keys = sorted(k for (t, p, k) in self.rows if t == table and p == part and k >= start and (not end or k < end))
        rows = []
        for key in keys[:limit]:
            value, ver = self.rows[(table, part, key)]
            rows.append({"table": table, "part": part, "key": key, "value": value, "ver": ver})
        return 200, {"rows": rows, "more": len(keys) > limit, "ver": self.ver, "now_ms": now_ms()}

    async def feed(self, q):
        table, since, until = q["table"], int(q["depends_on"]), now_ms() + min(float(q.get("wait_ms", "0")), 30000)
        await asyncio.sleep(self.read_ms / 1000.0)
        while True:
            rows = []
            for ver, t, part, key, value in reversed(self.log):
                if ver <= since:
                    break
                if t == table:
                    row = {"table": t, "part": part, "key": key, "ver": ver}
                    row.update({"gone": True} if value is None else {"value": value})
                    rows.append(row)
            left = (until - now_ms()) / 1000.0
            if rows or left <= 0:
                rows.reverse()
                newest = self.ver
                if len(rows) > 500:
                    rows = rows[:500]
                    newest = rows[-1]["ver"]
                return 200, {"rows": rows, "ver": newest, "now_ms": now_ms()}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Minion:
    """One life of a machine. A task's spec begins with its time in ms; 'last' is a task that lasts."""

    def __init__(self, world, machine, number):
        self.world, self.machine = world, machine
        self.id = f"i-{machine.name[2:]}-{number}-{random.getrandbits(24):06x}"
        self.http = HttpServer(self.handle)
        self.running, self.ended, self.barred = {}, [], {}
        self.last_end, self.token, self.lease = 0, 0, 0.0
        self.born = now_ms()
        self.alive = False
        self.woken = asyncio.Event()

    def clock(self):
        return now_ms() - self.born + 1000.0

    async def start(self):
        address = await self.http.start()
        self.alive = True
        m = self.machine
        self.world.store.put("servers", self.id, {
            "service": m.pool, "address": address, "zone": m.zone, "version": "v1", "slots": 8, "state": "ready",
            "cold_remaining_ms": 0, "capacity": {"cpu": m.cpu, "mem_mb": m.mem, "gpu": 0}, "labels": m.labels,
            "machine": m.name, "clock_ms": int(self.clock()), "sequence": 1})

    def crash(self):
        """The minion ends without a word; its entry goes after three heartbeats of silence."""
        self.alive = False
        self.http.crash()
        lost = [(task, r["run"]) for task, r in self.running.items()]
        self.running.clear()
        loop = asyncio.get_running_loop()
        loop.call_later(3 * self.world.heartbeat_s, self.world.store.drop, "servers", self.id)
        return lost

    def end(self, task, how):
        r = self.running.pop(task)
        self.last_end += 1
        self.barred[task] = max(self.barred.get(task, 0), r["run"])
        self.ended.append([self.last_end, task, r["run"], how, ""])
        self.world.on_end(self, task, r["run"], how)
        event, self.woken = self.woken, asyncio.Event()
        event.set()

    def tick(self):
        at = self.clock()
        for task, r in list(self.running.items()):
            if r["ends"] is not None and r["ends"] <= at:
                self.end(task, r["how"])
            elif self.lease <= at:
                self.end(task, "lapsed")

    def report(self):
        at = self.clock()
        running = []
        for task, r in self.running.items():
            percent = 100 if r["ends"] is None else int(100 * (at - r["begun"]) / max(1.0, r["ends"] - r["begun"]))
            running.append([task, r["run"], "", max(0, min(100, percent)), 0])
        return {"clock_ms": int(at), "running": running, "ended": self.ended[:500]}

    async def handle(self, method, target, headers, body):
        if target == "/health":
            return 200, {}
        if headers.get("rockwick-expected-instance", self.id) != self.id:
            return 421, {}
        b = json.loads(body)
        clock = {"clock_ms": int(self.clock())}
        if b["fencing_token"] < self.token:
            return 409, dict(clock, reason="fence")
        self.token = b["fencing_token"]
        deadline = b.get("deadline_ms")
        if target == "/hold":
            self.world.on_token(self, self.token)
            self.renew(deadline)
            self.world.on_acked(self, b["last_seen"])
            self.ended = [e for e in self.ended if e[0] > b["last_seen"]]
            until = now_ms() + b.get("wait_ms", 0)
            while not self.ended and now_ms() < until and self.alive:
                try:
                    await asyncio.wait_for(self.woken.wait(), max(0.001, (until - now_ms()) / 1000.0))
                except asyncio.TimeoutError:
                    pass
            return 200, self.report()
        if target == "/run-start":
            return self.start_run(b, deadline, clock)
        if target == "/run-stop":
            task, run = b["task"], b["run"]
            if task in self.running and self.running[task]["run"] <= run:
                r = self.running[task]
                ends = self.clock() + self.world.stop_ms
                if r["how"] != "stopped" and (r["ends"] is None or r["ends"] > ends):
                    r["ends"], r["how"] = ends, "stopped"
            self.barred[task] = max(self.barred.get(task, 0), run)
            return 200, clock
        if target == "/pace":
            return 200, clock
        return 400, clock

    def renew(self, deadline):
        if deadline is not None:
            self.lease = max(self.lease, min(deadline, self.clock() + self.world.hold_max_ms))

    def start_run(self, b, deadline, clock):
        task, run = b["task"], b["run"]
        if task in self.running and self.running[task]["run"] == run:
            self.renew(deadline)
            return 200, clock
        if run <= self.barred.get(task, 0):
            self.renew(deadline)
            return 409, dict(clock, reason="old")
        if deadline <= self.clock():
            return 409, dict(clock, reason="late")
        need = self.world.demand(task)
        used = sum(r["need"] for r in self.running.values())
        if used + need > self.machine.cpu and self.world.guards:
            self.renew(deadline)
            return 409, dict(clock, reason="room")
        self.renew(deadline)
        self.world.on_start(self, task, run, b, used, need)
        word = b["spec"].split(" ")[0]
        at = self.clock()
        self.running[task] = {"run": run, "need": need, "begun": at, "how": "done",
                              "ends": None if word == "last" else at + float(word)}
        return 200, clock


class Machine:
    def __init__(self, name, pool, zone, cpu, mem, labels):
        self.name, self.pool, self.zone, self.cpu, self.mem, self.labels = name, pool, zone, cpu, mem, labels
        self.minion, self.lives = None, 0


class World:
    """All stand-ins of a script."""

    def __init__(self, record_path):
        self.record = Record(record_path)
        self.store = Store()
        self.cloud = HttpServer(self.handle_cloud)
        self.machines, self.entries, self.jobs = [], [], {}
        self.heartbeat_s, self.hold_max_ms, self.stop_ms, self.guards = 1.5, 6000.0, 200.0, True
        self.starts, self.ends, self.noted = [], [], {}
        self.broken = []

    # What minions tell. Scripts override these.
    def on_start(self, minion, task, run, body, used, need):
        self.starts.append((now_ms(), minion.id, task, run))
        self.record.say(f"start {task} run {run} on {minion.id}")

    def on_end(self, minion, task, run, how):
        self.ends.append((now_ms(), minion.id, task, run, how))
        self.record.say(f"end {task} run {run} on {minion.id}: {how}")

    def on_acked(self, minion, last_seen):
        pass

    def on_token(self, minion, token):
        pass

    def demand(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs[job]["steps"][int(step)].get("cpu", 0) if job in self.jobs else 0

    async def begin(self, entries, config):
        self.store_address = await self.store.http.start()
        self.cloud_address = await self.cloud.start()
        self.store.put("op", "config", config)
        for machine in self.machines:
            await self.revive(machine)
        for n in range(entries):
            self.entries.append(Entry(self, f"edge-hall-{'abcdefgh'[n % 4]}-{n + 1}", f"hall-{'abcd'[n % 4]}"))
        for entry in self.entries:
            entry.start()
        self.ticker = asyncio.create_task(self.tick())

    async def revive(self, machine):
        machine.lives += 1
        machine.minion = Minion(self, machine, machine.lives)
        await machine.minion.start()

    async def tick(self):
        while True:
            for machine in self.machines:
                if machine.minion and machine.minion.alive:
                    machine.minion.tick()
            await asyncio.sleep(0.005)

    async def handle_cloud(self, method, target, headers, body):
        await asyncio.sleep(0.004)
        if target.startswith("/machines"):
            rows = [{"machine": m.name, "pool": m.pool, "state": "up" if m.minion and m.minion.alive else "down",
                     "zone": m.zone, "labels": m.labels, "capacity": {"cpu": m.cpu, "mem_mb": m.mem, "gpu": 0},
                     "id": m.minion.id if m.minion else ""} for m in self.machines]
            return 200, {"machines": rows, "next_token": None}
        return 409, {"reason": "busy"}

    async def wait_ready(self, wait_s=20.0):
        until = now_ms() + wait_s * 1000.0
        for entry in self.entries:
            while (await call(entry.ready, "GET", "/readiness", "x", None, 1.0))[0] != 200:
                if now_ms() > until:
                    raise RuntimeError(f"{entry.name} is not ready")
                await asyncio.sleep(0.1)

    def stop(self):
        for entry in self.entries:
            entry.kill()


class Entry:
    """A process `rockwick serve`, with the command and the environment of the deploy file."""

    def __init__(self, world, name, hall):
        self.world, self.name, self.hall = world, name, hall
        self.front, self.ready, self.metrics = (f"127.0.0.1:{free_port()}" for _ in range(3))
        self.store, self.cloud = world.store_address, world.cloud_address
        self.child = None
        self.log = open(f"/dev/null", "w") if not os.environ.get("LOGS") else open(
            os.path.join(os.environ["LOGS"], f"{name}.log"), "a")

    def start(self):
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env.update({
            "ROCKWICK_NAME": self.name, "ROCKWICK_HALL": self.hall, "ROCKWICK_LISTEN": self.front,
            "ROCKWICK_READY": self.ready, "ROCKWICK_METRICS": self.metrics, "ROCKWICK_CPU_SHARE": "0.25",
            "ROCKWICK_STORE": self.store, "ROCKWICK_CONFIG_WITHIN_MS": "2000", "ROCKWICK_CONFIG_OUTAGE_MS": "5000",
            "ROCKWICK_HOSTS": self.cloud, "ROCKWICK_ADVICE": "", "ROCKWICK_REMOTE_DATA_FACTOR": "3",
            "ROCKWICK_HOST_ORDERS_PER_S": "64", "ROCKWICK_HOST_MOVE_COST_MS": "1100",
            "ROCKWICK_CHECKPOINT_INTERVAL_S": "1", "ROCKWICK_RUN_STOP_MS": str(int(self.world.stop_ms))})
        self.child = subprocess.Popen([ROCKWICK, "serve"], cwd=ROOT, env=env, stdout=self.log, stderr=self.log,
                                      stdin=subprocess.DEVNULL)

    def signal(self, number):
        self.child.send_signal(number)

    def kill(self):
        if self.child and self.child.poll() is None:
            self.child.kill()
        if self.child:
            self.child.wait()


async def call(address, method, path, host, body, timeout_s):
    """One call of a client on a connection of its own. Returns (status, object), or (None, why)."""
    async def exchange():
        name, port = address.split(":")
        reader, writer = await asyncio.open_connection(name, int(port))
        try:
            data = json.dumps(body).encode() if body is not None else b""
            head = (f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nRockwick-Deadline: {int(timeout_s * 1000)}\r\n"
                    f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\nConnection: close\r\n\r\n")
            writer.write(head.encode() + data)
            await writer.drain()
            answer = await reader.read()
            head, _, rest = answer.partition(b"\r\n\r\n")
            status = int(head.split(b" ")[1])
            try:
                return status, json.loads(rest)
            except ValueError:
                return status, None
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except asyncio.TimeoutError:
        return None, "silence"
    except (ConnectionError, OSError, IndexError, ValueError):
        return None, "broken connection"


def config(version, routes, services):
    """A configuration: routes as (name, path, service, attempts), services as (name, checks admission, is headroom)."""
    return {
        "version": version,
        "routes": [{"name": n, "host": "jobs.example", "path_prefix": p, "kind": "unsafe", "timeout_ms": 3000,
                    "target_latency_ms": 600, "priority": 0, "service": s, "max_attempts": a, "stretch": 1.6}
                   for n, p, s, a in routes],
        "services": [{"name": n, "health_path": "/health", "max_connections": 64, "protocol": "h1", "tls": False,
                      "admission_check": g, "headroom": h} for n, g, h in services],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
    }


def run(main, record_path, limit_s=115):
    """Runs a script. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    async def guarded():
        world = World(record_path)
        try:
            return await asyncio.wait_for(main(world), limit_s)
        finally:
            world.stop()
    code = 2
    if not os.path.exists(ROCKWICK):
        why = "target/release/rockwick is missing: run the build of the deploy file first"
        print(why)
        Record(record_path).say(why)
    else:
        logging.getLogger("asyncio").disabled = True
        try:
            code = 1 if asyncio.run(guarded()) else 0
        except Exception as e:  # The case could not run.
            print(f"the case could not run: {e!r}")
            with open(record_path, "a", encoding="utf-8") as record:
                record.write(f"the case could not run: {e!r}\n")
    sys.stdout.flush()
    os._exit(code)
