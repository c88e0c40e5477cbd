"""Stand-ins on loopback for the users' platform: the metadata store, the call that promotes a member,
database members with asynchronous or synchronous replication, clients, and the system's own processes.

All of them run in one process except the system's, which are started with the command of the deploy file.
"""

import asyncio
import base64
import itertools
import json
import os
import random
import shutil
import signal
import socket
import tempfile
import time
import urllib.parse

HOST = "127.0.0.1"
NO_EFFECT = {"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"}
ZONES = ["zone-a", "zone-b", "zone-c"]
LINK_S = 0.0015  # one way between two members
OLD_PRIMARY_S = 1.0  # where nobody fences, a replaced primary goes on for this long


class Record:
    """Writes what happens, with the time since the start, to a file."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.began = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()


def free_ports(count):
    """Returns the first of several consecutive free ports, below those that the kernel gives to connections."""
    for _ in range(200):
        base = random.randrange(20000, 32000 - count)
        sockets = []
        try:
            for port in range(base, base + count):
                sockets.append(socket.create_server((HOST, port)))
            return base
        except OSError:
            continue
        finally:
            for opened in sockets:
                opened.close()
    raise RuntimeError("no free ports")


async def read_request(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    method, target, _ = head.split("\r\n")[0].split(" ")
    headers = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if line)
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return method, target, headers, body


def respond(writer, status, answer):
    text = json.dumps(answer).encode()
    writer.write(
        f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(text)}\r\n\r\n".encode() + text
    )


class Store:
    """Rows in tables, linearizable, with a feed."""

    def __init__(self):
        self.rows, self.changes, self.ver = {}, [], 0
        self.changed = asyncio.Event()
        self.on_write = lambda row: None

    async def start(self):
        server = await asyncio.start_server(self._serve, HOST, 0, limit=1 << 22)
        self.address = f"{HOST}:{server.sockets[0].getsockname()[1]}"

    def put(self, table, key, value):
        self.ver += 1
        if value is None:
            if self.rows.pop((table, key), None) is None:
                return
        else:
            self.rows[(table, key)] = (value, self.ver)
        self.changes.append((self.ver, table, key, value))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while True:
                method, target, headers, body = await read_request(reader)
                await asyncio.sleep(0.004)
                status, answer = await self._answer(target, body)
                respond(writer, status, answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, target, body):
        url = urllib.parse.urlparse(target)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
        if url.path == "/v1/rows-tx":
            return self._transact(json.loads(body))
        if url.path == "/v1/rows-feed":
            return await self._feed(query)
        rows = [
            self._row(table, key, *self.rows[(table, key)])
            for table, key in sorted(self.rows)
            if table == query["table"] and key >= query.get("from", "")
        ]
        return 200, {"rows": rows, "hasMore": False, **self._now()}

    def _now(self):
        return {"ver": self.ver, "nowMs": int(time.monotonic() * 1000)}

    def _row(self, table, key, value, ver):
        row = {"table": table, "part": "", "key": key, "ver": ver}
        return row | ({"deleted": True} if value is None else {"value": base64.b64encode(value).decode()})

    def _transact(self, body):
        for row in body.get("expect", []):
            found = self.rows.get((row["table"], row["key"]))
            if (found[1] if found else 0) != row["ver"]:
                current = [self._row(row["table"], row["key"], *found)] if found else []
                return 412, {"rows": current, **self._now()}
        for row in body.get("writes", []):
            self.put(row["table"], row["key"], base64.b64decode(row["value"]))
            self.on_write(row)
        return 200, self._now()

    async def _feed(self, query):
        after, table = int(query["after"]), query["table"]
        end = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            rows = [self._row(t, k, v, ver) for ver, t, k, v in self.changes if t == table and ver > after]
            left = end - time.monotonic()
            if rows or left <= 0:
                return 200, {"rows": rows, **self._now()}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Cloud:
    """The platform's call that promotes a member."""

    def __init__(self, record, is_fenced, promote_s):
        self.record, self.is_fenced, self.promote_s = record, is_fenced, promote_s
        self.groups, self.newest = {}, {}
        self.calls = []  # (time, group, member, holder, token, newest token seen before)
        self.on_call = lambda call: None

    async def start(self):
        server = await asyncio.start_server(self.serve, HOST, 0)
        self.address = f"{HOST}:{server.sockets[0].getsockname()[1]}"

    async def serve(self, reader, writer):
        try:
            while True:
                _, _, headers, body = await read_request(reader)
                status = self.promote(headers, body)
                respond(writer, status, {})
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def promote(self, headers, text):
        body = json.loads(text)
        group = self.groups[body["backend"]]
        token, holder = int(headers["x-fencing-token"]), headers["x-lease-holder"]
        newest = self.newest.get(group.name, 0)
        member = group.members.get(body["id"])
        call = (time.monotonic(), group.name, body["id"], holder, token, newest)
        self.calls.append(call)
        is_refused = (self.is_fenced and token < newest) or member is None or not member.is_alive
        self.record(f"POST /promote {body['id']} holder={holder} token={token} newest={newest} -> {409 if is_refused else 200}")
        self.newest[group.name] = max(newest, token)
        self.on_call(call)
        if is_refused:
            return 409
        if member is not group.leader:
            asyncio.get_running_loop().call_later(self.promote_s, group.promote, member)
        return 200


class Member:
    """A member of a database group with a log of (term, number, {item: data})."""

    def __init__(self, group, name, zone, is_primary=False, port=0):
        self.group, self.name, self.zone, self.port = group, name, zone, port
        self.is_primary, self.is_alive, self.is_draining = is_primary, False, False
        self.is_listed = False
        self.is_deaf = False  # receives nothing
        self.is_cut = False  # can't reach the store
        self.log, self.term, self.held, self.seq = [], group.term, 0, 0
        self.applied_at = {}
        self.waiting = []  # (position, future) of commits that wait for replicas
        self.server, self.writers = None, set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.born = int(time.time() * 1000)
        self.is_alive, self.seq, self.held = True, 0, 0
        self.report()

    def crash(self):
        """The process dies: its entry stays until three heartbeats are missed."""
        self.group.record(f"member {self.name} crashes, received {self.last()}")
        self.is_alive = False
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        born = self.born
        asyncio.get_running_loop().call_later(3.6, lambda: self.born == born and not self.is_alive and self.unlist())

    async def restart(self, keeps_log):
        if not keeps_log:
            self.log = []
            self.term = 0
        self.is_primary = self.is_primary and self.group.leader is self
        self.group.record(f"member {self.name} starts again as {self.role()}, received {self.last()}")
        await self.start()

    def cut(self, seconds):
        """The store can't be reached: the entry stays until three heartbeats are missed."""
        self.is_cut = True
        self.group.record(f"member {self.name} is partitioned from the store for {seconds} s")
        loop = asyncio.get_running_loop()
        loop.call_later(3.6, lambda: self.is_cut and self.unlist())
        loop.call_later(seconds, self.heal)

    def heal(self):
        self.is_cut = False
        self.report()

    def leave(self):
        self.group.record(f"member {self.name} has left")
        self.is_alive = False
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.unlist()

    def unlist(self):
        self.group.store.put("servers", self.name, None)

    def drain(self, after_s):
        self.is_draining = True
        self.group.record(f"member {self.name} reports draining")
        self.report()
        asyncio.get_running_loop().call_later(after_s, self.leave)

    def role(self):
        return "primary" if self.is_primary else "replica"

    def report(self):
        if not self.is_alive or self.is_cut:
            return
        self.seq += 1
        row = {
            "backend": self.group.name, "address": f"{HOST}:{self.port}", "zone": self.zone, "version": "v1",
            "capacity": 4, "state": "draining" if self.is_draining else "ready", "warmupLeftMs": 0,
            "dbRole": self.role(), "seq": self.seq, "born": self.born,
        }
        self.group.store.put("servers", self.name, json.dumps(row).encode())

    def last(self):
        return f"{self.log[-1][0]}.{self.log[-1][1]}" if self.log else "1.0"

    def receives(self):
        return self.is_alive and not self.held and not self.is_deaf

    def receive(self):
        """Takes over the leader's log over the network."""
        leader = self.group.leader
        if leader is self or self.is_primary or not self.receives() or not leader.is_alive:
            return
        if self.log != leader.log[: len(self.log)]:
            common = 0
            while common < min(len(self.log), len(leader.log)) and self.log[common] == leader.log[common]:
                common += 1
            self.log = self.log[:common]
        if len(self.log) < len(leader.log):
            self.log = list(leader.log)
        self.term = leader.term
        count = len(self.log)
        asyncio.get_running_loop().call_later(LINK_S, leader.on_received, count)

    def on_received(self, count):
        if not self.is_primary or not self.is_alive:
            return
        for needed, done in list(self.waiting):
            if needed <= count:
                self.waiting.remove((needed, done))
                if not done.done():
                    done.set_result(True)

    def lose_lead(self):
        self.is_primary = False
        for _, done in self.waiting:
            if not done.done():
                done.set_result(False)
        self.waiting = []

    async def commit(self, writes):
        self.group.number += 1
        self.log.append((self.term, self.group.number, dict(writes)))
        for item in writes:
            self.group.committed[item] = time.monotonic()
            if self is not self.group.leader:
                self.group.stale_commits[item] = self.name
        count = len(self.log)
        for other in self.group.members.values():
            if other is not self:
                asyncio.get_running_loop().call_later(LINK_S, other.receive)
        if not self.group.sync:
            return True
        done = asyncio.get_running_loop().create_future()
        self.waiting.append((count, done))
        return await done

    async def _serve(self, reader, writer):
        if not self.is_alive:
            writer.transport.abort()
            return
        self.writers.add(writer)
        session = {"tx": None, "kind": "", "prepared": {}}
        try:
            line = (await reader.readuntil(b"\r\n"))[:-2].decode().split(" ")
            if line[1] != self.group.name or (len(line) > 3 and line[3] != self.name):
                writer.write(f"ERROR MISROUTED {self.name}\r\n".encode())
                await writer.drain()
                return
            writer.write(f"READY I {self.last()}\r\n".encode())
            while True:
                text = (await reader.readuntil(b"\r\n"))[:-2].decode()
                _, ident, query = text.split(" ", 2)
                if ident != "-":
                    self.group.record(f"{self.name} runs {ident} {query}")
                    self.group.on_statement(self, ident, query)
                answer = await self._run(session, query)
                if answer is None:
                    return
                writer.write(answer.encode())
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    def _ready(self, session):
        return f"READY {'I' if session['tx'] is None else 'T'} {self.last()}\r\n"

    def _error(self, session, code):
        return f"ERROR {code} {self.name}\r\n" + self._ready(session)

    def _done(self, session, rows=(), signed=False):
        signature = f"7.{next(self.group.signatures)}.{self.name}" if signed else "-"
        return "".join(f"ROW {r}\r\n" for r in rows) + f"COMPLETE {signature}\r\n" + self._ready(session)

    async def _run(self, session, query):
        if query.startswith("AFTER "):
            _, position, query = query.split(" ", 2)
            if tuple(map(int, self.last().split("."))) < tuple(map(int, position.split("."))):
                return self._error(session, "LAGGING")
        verb, _, rest = query.partition(" ")
        if verb == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in session["prepared"]:
                return self._error(session, "NOSTMT")
            verb = session["prepared"][name]
        if verb in ("STATUS", "PAUSE", "RESUME", "DEMOTE"):
            return self._control(session, verb, rest)
        if verb == "PREPARE":
            name, kind, _ = rest.split(" ", 2)
            session["prepared"][name] = kind
        elif verb == "RESET":
            session["prepared"] = {}
        elif verb == "BEGIN":
            if rest != "READ" and not self.is_primary:
                return self._error(session, "READONLY")
            session["tx"], session["kind"] = {}, rest
        elif verb == "ROLLBACK":
            session["tx"] = None
        elif verb == "READ":
            if session["tx"] is not None and session["kind"] != "READ" and not self.is_primary:
                return self._error(session, "READONLY")
            data = next((c[2][rest] for c in reversed(self.log) if rest in c[2]), "-")
            return self._done(session, [(session["tx"] or {}).get(rest, data)], True)
        elif verb in ("WRITE", "COMMIT"):
            return await self._write(session, verb, rest)
        return self._done(session)

    async def _write(self, session, verb, rest):
        item, _, data = rest.partition(" ")
        if verb == "COMMIT":
            writes, session["tx"] = session["tx"], None
            if not writes:
                return self._done(session, signed=True)
        elif session["tx"] is not None:
            if not self.is_primary:
                return self._error(session, "READONLY")
            session["tx"][item] = data
            return self._done(session, signed=True)
        else:
            writes = {item: data}
        if not self.is_primary:
            return self._error(session, "READONLY")
        if not await self.commit(writes):
            return None  # rolled back while it waited: no answer
        return self._done(session, signed=True)

    def _control(self, session, verb, rest):
        if verb == "PAUSE" and not self.is_primary and int(rest) > self.term:
            if not self.held:
                self.group.record(f"member {self.name} pauses for term {rest}, received {self.last()}")
            self.held = int(rest)
        elif verb == "RESUME":
            if self.held:
                self.group.record(f"member {self.name} resumes")
            self.held = 0
        elif verb == "DEMOTE" and self.is_primary and int(rest) > self.term:
            self.group.record(f"member {self.name} steps down, received {self.last()}")
            self.lose_lead()
            self.report()
        row = f"{self.role()} {self.term} {self.last()} {self.held} 0 0 1"
        return self._done(session, [row])


class Group:
    def __init__(self, store, record, name="huvo11a", sync=0):
        self.store, self.record, self.name, self.sync = store, record, name, sync
        self.term, self.number = 1, 0
        self.signatures = itertools.count(1)
        self.members = {}
        self.committed = {}  # when each item was committed
        self.stale_commits = {}  # items that were committed at a member after the promotion of another one
        self.is_fenced = True  # the platform ends the old leadership
        self.promotions = []  # (time, member, items in its log at that moment, leader replaced)
        self.on_statement = lambda member, ident, query: None
        self.leader = None

    def add(self, name, zone, is_primary=False, port=0):
        member = self.members[name] = Member(self, name, zone, is_primary, port)
        if is_primary:
            self.leader = member
        return member

    def promote(self, member):
        """The promotion takes effect: the member leads the next term with what it has received."""
        if member is self.leader or not member.is_alive:
            return
        items = {i for _, _, writes in member.log for i in writes}
        lost = [c for c in self.leader.log if c not in member.log]
        self.promotions.append((time.monotonic(), member.name, items, self.leader.name))
        self.record(f"promotion of {member.name} takes effect, received {member.last()}; the leader before, "
                    f"{self.leader.name}, had {self.leader.last()}; {len(lost)} of its commits are missing")
        self.term += 1
        old, self.leader = self.leader, member
        if self.is_fenced:
            old.lose_lead()
        elif old.is_primary:
            asyncio.get_running_loop().call_later(OLD_PRIMARY_S, self.step_down, old)
        member.is_primary, member.term = True, self.term
        for other in self.members.values():
            other.held = 0
        old.report()
        member.report()

    def step_down(self, old):
        if old is not self.leader and old.is_primary:
            self.record(f"member {old.name} has reached the new leader and steps down, received {old.last()}")
            old.lose_lead()
            old.report()

    async def run(self):
        """Heartbeats, and replication to members that have fallen behind."""
        for tick in itertools.count():
            await asyncio.sleep(0.02)
            for member in self.members.values():
                if member is not self.leader:
                    member.receive()
                if tick % 60 == 0:
                    member.report()


class Instance:
    """A process of the system."""

    def __init__(self, root, directory, name, zone, bounds, store, cloud):
        self.root, self.directory, self.name, self.zone = root, directory, name, zone
        base = free_ports(18)
        self.port, self.ready_port, self.process = base, base + 1, None
        settings = {
            "node": name, "role": "proxy", "machineClass": "frontend", "serves": ["frontend"], "ip": HOST,
            "zone": zone, "region": "region", "zones": {z: "region" for z in ZONES},
            "listen": {"frontend": f"{HOST}:{base}", "readiness": f"{HOST}:{base + 1}"},
            "internalPorts": [base + 2, base + 17], "seeds": [], "bootstrap": True, "countsAsLoss": False,
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 1000, "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entrypoint": "vip", "heartbeatMs": 1200,
            "contracts": ["base", "drain", "config", "cost", "recover", "sql", "platform"],
            "faultTolerance": {"machines": 1, "zones": 1, "regions": 0}, "bounds": bounds,
            "platform": {"address": store, "form": "table", "writesPerS": 400, "readsPerS": 2000, "txMs": 6.0,
                         "partWritesS": 200, "rowBytes": 65536, "across": False, "historyS": 20},
            "cloudApi": {"address": cloud, "ratePerS": 50.0, "duties": ["promotion"], "dutyPerS": 50.0},
        }
        self.settings = os.path.join(directory, f"{name}.json")
        with open(self.settings, "w") as file:
            json.dump(settings, file)

    async def start(self):
        self.started_at = time.monotonic()
        with open(os.path.join(self.directory, f"{self.name}.log"), "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "target/papayaspindle", "serve", stdout=log, stderr=log, cwd=self.root,
                env={"PATH": os.environ["PATH"], "PAPAYASPINDLE_SETTINGS": self.settings},
            )

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(HOST, self.ready_port)
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            status = await asyncio.wait_for(reader.readline(), 2)
            writer.close()
            return b" 200 " in status
        except (OSError, asyncio.TimeoutError):
            return False

    def send(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        self.send(signal.SIGKILL)
        await self.process.wait()


class Refused(Exception):
    """An ERROR answer; the argument is its code."""


class Client:
    """A client session."""

    def __init__(self, instance, database):
        self.instance, self.database, self.writer = instance, database, None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(HOST, self.instance.port)
        self.writer.write(f"START {self.database} u1\r\n".encode())
        line = await asyncio.wait_for(self.reader.readline(), 2)
        if not line.startswith(b"READY"):
            raise ConnectionError("no greeting")

    async def query(self, ident, text, timeout=2.0):
        self.writer.write(f"QUERY {ident} {text}\r\n".encode())
        rows, code, signature = [], None, None
        while True:
            line = (await asyncio.wait_for(self.reader.readline(), timeout)).decode()
            if not line.endswith("\r\n"):
                raise ConnectionError("the connection ended")
            word, _, rest = line[:-2].partition(" ")
            if word == "ROW":
                rows.append(rest)
            elif word == "COMPLETE":
                signature = rest
            elif word == "ERROR":
                code = rest.split(" ")[0]
            elif word == "READY":
                if code:
                    raise Refused(code)
                return rows, signature

    def close(self):
        if self.writer:
            self.writer.transport.abort()
            self.writer = None


class Writers:
    """Clients that write items, each once, or read them, in sessions that they keep open."""

    def __init__(self, record, database):
        self.record, self.database = record, database
        self.acknowledged, self.outcomes = {}, {}
        self.count = itertools.count(1)
        self.is_stopped = False
        self.on_sent = lambda instance, ident: None

    async def run(self, instance, pause_s, verb="WRITE"):
        client = Client(instance, self.database)
        while not self.is_stopped:
            item = f"k{next(self.count)}"
            try:
                if client.writer is None:
                    await client.open()
                text = f"WRITE {item} x{item}" if verb == "WRITE" else f"READ {item}"
                self.record(f"{instance.name} <- {item:0>16} {text}")
                self.on_sent(instance, f"{item:0>16}")
                await client.query(f"{item:0>16}", text)
                if verb == "WRITE":
                    self.acknowledged[item] = time.monotonic()
                outcome = "acknowledged"
            except Refused as refusal:
                outcome = refusal.args[0]
            except (OSError, asyncio.TimeoutError):
                outcome = "no answer"
                client.close()
            self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
            self.record(f"{instance.name} -> {item} {outcome}")
            await asyncio.sleep(pause_s)
        client.close()


def lost_commits(group, writers):
    """Returns (member, item) of each commit that a client was told of and that the member promoted next lacks."""
    lost, seen = [], set()
    for at, member, items, _ in group.promotions:
        for item in writers.acknowledged:
            if item not in seen and group.committed.get(item, at) < at and item not in items:
                lost.append((member, item))
                seen.add(item)
    return lost


class Deployment:
    """The platform, one database group and the system's processes, for the time of a `with` block."""

    def __init__(self, folder, sync, is_fenced, promote_s, routes, instances=3):
        self.folder = folder
        self.root = os.path.abspath(os.path.join(folder, "..", ".."))
        self.record = Record(os.path.join(folder, "record.txt"))
        self.directory = tempfile.mkdtemp(prefix="review-")
        self.store = Store()
        self.cloud = Cloud(self.record, is_fenced, promote_s)
        self.group = Group(self.store, self.record, sync=sync)
        self.cloud.groups[self.group.name] = self.group
        self.group.is_fenced = is_fenced
        self.routes, self.count, self.sync = routes, instances, sync
        self.cloud_address = None
        self.bounds = {
            "seedLagS": 3, "reuseDelayS": 2, "stabilityWindowMs": 4000, "ackTimeoutMs": 5000, "catchupS": 4,
            "drainTimeoutMs": 7000, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 3000, "rollbackSlackMs": 250,
            "maxSkewMs": 12000, "recoverS": 12, "fencingEnforced": is_fenced, "thawMs": 300,
        }

    async def __aenter__(self):
        await self.store.start()
        await self.cloud.start()
        for n, zone in enumerate(ZONES):
            await self.group.add(f"i-{n + 1}", zone, n == 0).start()
        self.ticker = asyncio.create_task(self.group.run())
        routes = [
            {"name": f"r-{d}", "host": d, "routeType": kind, "timeoutMs": 800, "targetLatencyMs": 200, "priority": 1,
             "backend": self.group.name, **({} if kind == "primary" else {"maxStalenessMs": 1500})}
            for d, kind in self.routes.items()
        ]
        config = {"version": 3, "routes": routes, "limits": {"txIdleMs": 3000},
                  "backends": [{"name": self.group.name, "maxConns": 64, "syncReplicas": self.sync}]}
        self.store.put("op", "config", json.dumps(config).encode())
        self.instances = [
            Instance(self.root, self.directory, f"frontend-{ZONES[n % 3]}-{n // 3 + 1}", ZONES[n % 3], self.bounds,
                     self.store.address, self.cloud_address or self.cloud.address) for n in range(self.count)
        ]
        try:
            for instance in self.instances:
                await instance.start()
            await self.until_ready(15)
        except BaseException:
            await self.__aexit__()
            raise
        self.record("all processes of the system are ready")
        return self

    async def until_ready(self, limit_s):
        end = time.monotonic() + limit_s
        while not all([await i.is_ready() for i in self.instances]):
            if time.monotonic() > end:
                raise RuntimeError("the processes are not ready")
            await asyncio.sleep(0.1)

    async def __aexit__(self, *_):
        self.ticker.cancel()
        for instance in self.instances:
            if instance.process:
                instance.send(signal.SIGCONT)
                await instance.kill()
        shutil.rmtree(self.directory, ignore_errors=True)


def run(main, limit_s):
    """Runs a case and returns its exit code: 2 if it couldn't run."""
    try:
        return asyncio.run(asyncio.wait_for(main(), limit_s))
    except Exception as failure:
        print(f"could not run: {failure!r}")
        return 2


class Door:
    """The address of a service. While it is dark, a connection to it is neither accepted nor refused: opening packets
    are dropped and sent again by the caller's kernel."""

    def __init__(self, target):
        self.target, self.fillers = target, []
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.socket.bind((HOST, 0))
        self.socket.listen(128)
        self.address = f"{HOST}:{self.socket.getsockname()[1]}"
        self.tasks = set()
        asyncio.get_running_loop().add_reader(self.socket, self._accept)

    def go_dark(self):
        asyncio.get_running_loop().remove_reader(self.socket)
        self.socket.listen(0)
        # These connections fill the queue of those that are not accepted yet.
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.socket.getsockname())
            self.fillers.append(filler)

    def come_back(self):
        for filler in self.fillers:
            filler.close()
        self.fillers = []
        self.socket.listen(128)
        asyncio.get_running_loop().add_reader(self.socket, self._accept)

    def _accept(self):
        try:
            while True:
                accepted, _ = self.socket.accept()
                accepted.setblocking(False)
                task = asyncio.ensure_future(self._serve(accepted))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
        except BlockingIOError:
            pass

    async def _serve(self, accepted):
        reader, writer = await asyncio.open_connection(sock=accepted)
        await self.target(reader, writer)
