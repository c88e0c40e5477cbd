"""Stand-ins on loopback for the users' platform and its database members, written after PROTOCOL.md:
the store with rows, feeds and expiring member entries, the promotion call, members that replicate,
and clients. One process; the proxy's instances are separate processes."""

import asyncio
import base64
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
LIMIT = (1 << 20) + 4096
HEARTBEAT_S = 1.2
NO_EFFECT = {"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"}


class Record:
    """Everything that was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def add(self, text):
        self.file.write(f"{time.monotonic() - self.start:9.4f} {text}\n")

    def say(self, text):
        self.add(text)
        self.file.flush()
        print(text, flush=True)


async def serve_http(reader, writer, answer):
    try:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            method, target, _ = head.split("\r\n")[0].split(" ")
            headers = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if line)
            body = await reader.readexactly(int(headers.get("content-length", 0)))
            status, reply = await answer(method, target, headers, body)
            text = json.dumps(reply).encode()
            writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                         f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
            await writer.drain()
    except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
        pass
    finally:
        writer.transport.abort()


class Store:
    """The platform's metadata store."""

    def __init__(self, record):
        self.record = record
        self.rows, self.changes, self.ver = {}, [], 0
        self.changed = asyncio.Event()
        self.heard = {}

    async def start(self):
        server = await asyncio.start_server(
            lambda r, w: serve_http(r, w, self.answer), HOST, 0, limit=LIMIT)
        self.port = server.sockets[0].getsockname()[1]
        self.expiry = asyncio.create_task(self.expire())

    async def expire(self):
        """Removes entries of members that have been silent for three heartbeat intervals."""
        while True:
            await asyncio.sleep(0.05)
            for name, at in list(self.heard.items()):
                if time.monotonic() - at > 3 * HEARTBEAT_S:
                    self.remove_server(name)

    def remove_server(self, name):
        self.heard.pop(name, None)
        if ("servers", name) in self.rows:
            self.record.say(f"store: the entry servers/{name} is removed")
            self.put("servers", name, None)

    def put(self, table, key, value):
        self.ver += 1
        if value is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[(table, key)] = (value, self.ver)
        self.changes.append((self.ver, table, key, value, time.monotonic()))
        while self.changes[0][4] < time.monotonic() - 20:
            self.changes.pop(0)
        self.changed.set()
        self.changed = asyncio.Event()

    def now(self):
        return {"ver": self.ver, "nowMs": int(time.monotonic() * 1000)}

    def row(self, table, key):
        value, ver = self.rows[(table, key)]
        return {"table": table, "part": "", "key": key, "ver": ver,
                "value": base64.b64encode(value).decode()}

    async def answer(self, method, target, headers, body):
        url = urllib.parse.urlparse(target)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
        await asyncio.sleep(0.004)
        if url.path == "/v1/rows-get":
            found = [self.row(t, k) for t, k in sorted(self.rows)
                     if t == query["table"] and k >= query.get("from", "")]
            limit = min(int(query.get("limit", 500)), 500)
            return 200, {"rows": found[:limit], "hasMore": len(found) > limit, **self.now()}
        if url.path == "/v1/rows-feed":
            return await self.feed(query)
        if url.path == "/v1/rows-tx":
            await asyncio.sleep(0.006)
            return self.transact(json.loads(body))
        return 404, {}

    def transact(self, body):
        expect = body.get("expect", [])
        if any(w["table"] in ("op", "servers") for w in body.get("writes", [])):
            return 403, {}
        if any((self.rows.get((r["table"], r["key"])) or (0, 0))[1] != r["ver"] for r in expect):
            rows = [self.row(r["table"], r["key"]) for r in expect
                    if (r["table"], r["key"]) in self.rows]
            return 412, {"rows": rows, **self.now()}
        for row in body.get("writes", []):
            value = base64.b64decode(row["value"])
            if row["key"].startswith(("leadership/", "opinion/")):
                self.record.add(f"store: {row['key']} = {value.decode()}")
            self.put(row["table"], row["key"], value)
        for row in body.get("remove", []):
            self.put(row["table"], row["key"], None)
        return 200, self.now()

    async def feed(self, query):
        after, table = int(query["after"]), query["table"]
        end = time.monotonic() + min(int(query["waitMs"]), 30000) / 1000
        while True:
            if after < (self.changes[0][0] if self.changes else self.ver + 1) - 1:
                return 410, {}
            rows = []
            for ver, of, key, value, _ in self.changes:
                if of == table and ver > after:
                    row = {"table": of, "part": "", "key": key, "ver": ver}
                    row |= ({"deleted": True} if value is None
                            else {"value": base64.b64encode(value).decode()})
                    rows.append(row)
            left = end - time.monotonic()
            if rows or left <= 0:
                return 200, {"rows": rows, **self.now()}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Promotions:
    """The platform's promotion call."""

    def __init__(self, record, group, fenced, promote_s):
        self.record, self.group, self.fenced, self.promote_s = record, group, fenced, promote_s
        self.token = 0

    async def start(self):
        server = await asyncio.start_server(
            lambda r, w: serve_http(r, w, self.answer), HOST, 0, limit=LIMIT)
        self.port = server.sockets[0].getsockname()[1]

    async def answer(self, method, target, headers, body):
        await asyncio.sleep(0.004)
        call = json.loads(body)
        token, holder = int(headers["x-fencing-token"]), headers["x-lease-holder"]
        member = self.group.members.get(call["id"])
        status = 200
        if (self.fenced and token < self.token) or member is None or not member.alive:
            status = 409
        self.record.say(f"platform: promote {call['id']} token {token} holder {holder} -> {status}")
        if status == 200:
            self.token = max(self.token, token)
            if member is not self.group.primary:
                asyncio.get_running_loop().call_later(
                    self.promote_s, self.group.promote, member)
        return status, {}


class Member:
    """A member of the database group."""

    def __init__(self, group, name, zone):
        self.group, self.name, self.zone = group, name, zone
        self.log = []  # (term, number, statement id, {item: data}, time received)
        self.term = 1
        self.alive, self.deaf, self.cut_from_store, self.draining = True, False, False, False
        self.leads = False
        self.paused_term = 0
        self.slots = asyncio.Semaphore(2)
        self.queued = 0
        self.writers = set()
        self.received = asyncio.Event()
        self.born = int(time.time() * 1000)
        self.seq = 0

    async def listen(self, port):
        self.server = await asyncio.start_server(self.serve, HOST, port, limit=LIMIT)
        self.port = self.server.sockets[0].getsockname()[1]

    async def start(self):
        await self.listen(0)
        self.tasks = [asyncio.create_task(self.beat()), asyncio.create_task(self.follow())]

    async def beat(self):
        while True:
            self.report()
            await asyncio.sleep(HEARTBEAT_S)

    def report(self):
        if not self.alive or self.cut_from_store:
            return
        self.seq += 1
        entry = {"backend": self.group.name, "address": f"{HOST}:{self.port}", "zone": self.zone,
                 "version": "v1", "capacity": 2, "state": "draining" if self.draining else "ready",
                 "warmupLeftMs": 0, "dbRole": "primary" if self.leads else "replica",
                 "seq": self.seq, "born": self.born}
        self.group.store.heard[self.name] = time.monotonic()
        self.group.store.put("servers", self.name, json.dumps(entry).encode())

    async def follow(self):
        """Receives the primary's commits, about 1.5 ms after they are made."""
        while True:
            await asyncio.sleep(0.0015)
            primary = self.group.primary
            if (self.leads or not self.alive or self.deaf or self.paused_term
                    or not primary.alive):
                continue
            self.term = primary.term
            if len(self.log) < len(primary.log):
                now = time.monotonic()
                self.log += [c[:4] + (now,) for c in primary.log[len(self.log):]]
                self.received.set()
                self.received = asyncio.Event()

    def crash(self):
        """Ends the process: connections are reset and the port has no listener."""
        self.alive = False
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def restart(self):
        """Comes back with its log."""
        await self.listen(self.port)
        self.alive, self.paused_term = True, 0
        self.leads = self.group.primary is self
        if not self.leads:
            self.group.align(self)
        self.report()

    def step_down(self):
        """Becomes a replica of the group's primary."""
        if self.leads and self.group.primary is not self:
            self.leads = False
            self.group.record.say(f"{self.name}: follows")
            self.group.align(self)
            self.report()

    def applied(self):
        limit = time.monotonic() - (0 if self.leads else self.group.lag_s)
        return [c for c in self.log if c[4] <= limit]

    @staticmethod
    def last(log, term):
        return f"{log[-1][0]}.{log[-1][1]}" if log else f"{term}.0"

    async def serve(self, reader, writer):
        if not self.alive:
            writer.transport.abort()
            return
        self.writers.add(writer)
        session = {"tx": None, "plain": False, "prepared": {}, "failed": False}
        try:
            words = (await reader.readuntil(b"\r\n"))[:-2].decode().split(" ")
            if words[1] != self.group.name or (len(words) > 3 and words[3] != self.name):
                writer.write(b"ERROR MISROUTED -\r\n")
                await writer.drain()
                return
            await asyncio.sleep(0.012)
            writer.write(f"READY I {self.last(self.applied(), self.term)}\r\n".encode())
            while True:
                line = (await reader.readuntil(b"\r\n"))[:-2].decode()
                _, ident, text = line.split(" ", 2)
                rows, outcome = await self.run(session, ident, text)
                if not self.alive:
                    return
                state = "E" if session["failed"] else "I" if session["tx"] is None else "T"
                writer.write(("".join(f"ROW {r}\r\n" for r in rows) + outcome + "\r\n"
                              f"READY {state} {self.last(self.applied(), self.term)}\r\n").encode())
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    def status_row(self):
        role = "primary" if self.leads else "replica"
        return (f"{role} {self.term} {self.last(self.log, self.term)} {self.paused_term} "
                f"{int(self.group.lag_s * 1000)} {self.queued} {len(self.writers)}")

    def fail(self, session, code):
        if session["tx"] is not None:
            session["failed"] = True
        return [], f"ERROR {code} {self.name}"

    def signed(self, rows=()):
        self.group.signature += 1
        return list(rows), f"COMPLETE 7.{self.group.signature:x}.{self.name}"

    async def run(self, session, ident, text):
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
            need = tuple(int(n) for n in position.split("."))
            have = tuple(int(n) for n in self.last(self.applied(), self.term).split("."))
            if have < need:
                return self.fail(session, "LAGGING")
        verb, _, rest = text.partition(" ")
        if session["failed"] and verb not in ("ROLLBACK", "COMMIT"):
            return [], "ERROR BADMSG -"
        if verb == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in session["prepared"]:
                return self.fail(session, "NOSTMT")
            verb = session["prepared"][name]
        if verb in ("READ", "WRITE", "COMMIT"):
            if self.queued >= 18:
                return self.fail(session, "BUSY")
            self.queued += 1
            try:
                async with self.slots:
                    await asyncio.sleep(0.004)
            finally:
                self.queued -= 1
        if verb == "PREPARE":
            name, kind, _ = rest.split(" ", 2)
            session["prepared"][name] = kind
        elif verb == "RESET":
            session["prepared"] = {}
        elif verb == "STATUS":
            return [self.status_row()], "COMPLETE -"
        elif verb == "PAUSE":
            if not self.leads and int(rest) > self.term:
                self.paused_term = int(rest)
            self.group.record.add(f"{self.name}: PAUSE {rest}; log ends at {self.last(self.log, 1)}")
            return [self.status_row()], "COMPLETE -"
        elif verb == "RESUME":
            self.paused_term = 0
            return [self.status_row()], "COMPLETE -"
        elif verb == "DEMOTE":
            self.group.record.add(f"{self.name}: DEMOTE {rest}")
            if self.leads and int(rest) > self.term:
                if self.group.primary is self:
                    self.group.primary = self.group.nobody
                self.step_down()
            return [self.status_row()], "COMPLETE -"
        elif verb == "BEGIN":
            if rest != "READ" and not self.leads:
                return self.fail(session, "READONLY")
            session["tx"], session["plain"] = {}, rest != "READ"
        elif verb == "ROLLBACK":
            session["tx"], session["failed"] = None, False
        elif verb == "READ":
            if session["plain"] and session["tx"] is not None and not self.leads:
                return self.fail(session, "READONLY")
            data = next((c[3][rest] for c in reversed(self.applied()) if rest in c[3]), "-")
            return self.signed([(session["tx"] or {}).get(rest, data)])
        elif verb == "WRITE":
            if not self.leads:
                return self.fail(session, "READONLY")
            item, _, data = rest.partition(" ")
            if session["tx"] is not None:
                session["tx"][item] = data
                return self.signed()
            return await self.commit(ident, {item: data})
        elif verb == "COMMIT":
            writes, session["tx"] = session["tx"], None
            if session["failed"]:
                session["failed"] = False
                return [], f"ERROR ABORTED {self.name}"
            if writes and not self.leads:
                return [], f"ERROR READONLY {self.name}"
            if writes:
                return await self.commit(ident, writes)
            return self.signed()
        return [], "COMPLETE -"

    async def commit(self, ident, writes):
        group, number = self.group, len(self.log) + 1
        self.log.append((self.term, number, ident, writes, time.monotonic()))
        if group.primary is not self:
            group.run_at_old_primary.add(ident)
        group.record.add(f"{self.name}: runs {ident} as {self.term}.{number}")
        # With syncReplicas, the commit is acknowledged once one replica has received it.
        while group.sync and not any(
                len(m.log) >= number and m.log[number - 1][2] == ident
                for m in group.members.values() if m is not self):
            await asyncio.sleep(0.001)
            if not self.alive or not self.leads:
                return [], f"ERROR TIMEOUT {self.name}"
        return self.signed()


class Nobody:
    """Stands for the primary of a group without one."""
    alive = False
    log = ()


class Group:
    """A database group. Replicas receive commits after 1.5 ms and apply them after `lag_s`."""

    def __init__(self, record, store, name, zones, sync, lag_s=0.06):
        self.record, self.store, self.name = record, store, name
        self.sync, self.lag_s, self.signature = sync, lag_s, 0
        self.nobody = Nobody()
        self.members = {}
        for number, zone in enumerate(zones):
            self.members[f"i-{number}"] = Member(self, f"i-{number}", zone)
        self.primary = self.members["i-0"]
        self.primary.leads = True
        self.fenced = True
        self.run_at_old_primary = set()
        self.promoted = None  # hook that is called with the promoted member

    async def start(self):
        for member in self.members.values():
            await member.start()

    def align(self, member):
        """Rolls back what the primary's log doesn't have."""
        if self.primary is self.nobody:
            return
        keep = 0
        for mine, other in zip(member.log, self.primary.log):
            if mine[:3] != other[:3]:
                break
            keep += 1
        member.log = member.log[:keep]

    def promote(self, member):
        if member is self.primary or not member.alive:
            return
        term = max(m.term for m in self.members.values()) + 1
        self.record.say(f"platform: {member.name} leads term {term}; "
                        f"its log ends at {member.last(member.log, 1)}")
        if self.promoted:
            self.promoted(member)
        self.primary = member
        member.term, member.leads = term, True
        for other in self.members.values():
            other.paused_term = 0
            if other is member or not other.alive:
                continue
            if not other.leads:
                self.align(other)
            elif self.fenced:
                other.step_down()
            else:
                # The old primary goes on until DEMOTE, or a second after it can reach the new one.
                asyncio.get_running_loop().call_later(1.0, other.step_down)
        member.report()


def free_ports(count):
    """Returns the first of `count` consecutive free ports."""
    base = random.randrange(20000, 31000)
    while base < 32000:
        sockets = []
        try:
            for port in range(base, base + count):
                sockets.append(socket.create_server((HOST, port)))
            return base
        except OSError:
            base += count
        finally:
            for opened in sockets:
                opened.close()
    raise RuntimeError("no free ports")


class Instance:
    """An instance of the proxy, started with the command of the deploy file."""

    def __init__(self, directory, name, zone, zones, base):
        self.directory, self.name, self.zone, self.zones = directory, name, zone, zones
        self.port, self.ready_port, self.base = base, base + 1, base + 2
        self.process = None

    async def start(self, store, cloud, fenced):
        settings = {
            "node": self.name, "role": "proxy", "machineClass": "frontend", "serves": ["frontend"],
            "ip": HOST, "zone": self.zone, "region": "r", "zones": {z: "r" for z in self.zones},
            "listen": {"frontend": f"{HOST}:{self.port}", "readiness": f"{HOST}:{self.ready_port}"},
            "internalPorts": [self.base, self.base + 15], "bootstrap": True,
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4300,
                       "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entrypoint": "vip", "heartbeatMs": 1200,
            "contracts": ["base", "drain", "config", "cost", "recover", "sql", "platform"],
            "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": {"seedLagS": 3, "reuseDelayS": 2, "stabilityWindowMs": 4000,
                       "ackTimeoutMs": 5000, "catchupS": 4, "drainTimeoutMs": 7000, "graceS": 6,
                       "lossSlackMs": 200, "configApplyMs": 3000, "rollbackSlackMs": 250,
                       "maxSkewMs": 12000, "recoverS": 12, "fencingEnforced": fenced,
                       "thawMs": 300},
            "platform": {"address": f"{HOST}:{store}", "form": "table", "writesPerS": 400,
                         "readsPerS": 2000, "txMs": 6.0, "partWritesS": 200, "rowBytes": 65536,
                         "across": False, "historyS": 20, "blobBytes": 8388608, "blobMs": 25.0,
                         "blobMbS": 80.0},
            "cloudApi": {"address": f"{HOST}:{cloud}", "ratePerS": 50.0, "duties": ["promotion"],
                         "dutyPerS": 50.0},
        }
        path = os.path.join(self.directory, f"{self.name}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        with open(os.path.join(self.directory, f"{self.name}.log"), "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "target/papayaspindle", "serve", stdout=log, stderr=log,
                env={"PATH": os.environ["PATH"], "HOME": self.directory, "LANG": "C",
                     "PAPAYASPINDLE_SETTINGS": path})

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(HOST, self.ready_port)
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            status = await asyncio.wait_for(reader.readline(), 2)
            writer.close()
            return b" 200 " in status
        except (OSError, asyncio.TimeoutError):
            return False


class Answer(Exception):
    """An ERROR answer; the argument is its code."""


class Client:
    """A client session. `writes` and `acknowledged` are shared by all clients."""

    def __init__(self, system, instance, number):
        self.system, self.instance, self.number = system, instance, number
        self.count = 0
        self.writer = None

    async def open(self, database):
        self.reader, self.writer = await asyncio.open_connection(HOST, self.instance.port,
                                                                 limit=LIMIT)
        self.writer.write(f"START {database} u{self.number}\r\n".encode())
        line = await asyncio.wait_for(self.reader.readline(), 2)
        if not line.startswith(b"READY"):
            raise ConnectionError("no greeting")

    async def query(self, text):
        self.count += 1
        ident = f"{self.number:04x}{self.count:012x}"
        self.system.record.add(f"client {self.number}: sends {ident} {text}")
        self.writer.write(f"QUERY {ident} {text}\r\n".encode())
        rows, outcome = [], None
        while True:
            line = (await asyncio.wait_for(self.reader.readline(), 2)).decode()
            if not line.endswith("\r\n"):
                raise ConnectionError("closed within an answer")
            word, _, rest = line[:-2].partition(" ")
            if word == "ROW":
                rows.append(rest)
            elif word in ("COMPLETE", "ERROR"):
                outcome = (word, rest)
            else:
                self.system.record.add(f"client {self.number}: {ident} -> {outcome} {rest}")
                self.state = rest.split(" ")[0]
                if outcome[0] == "ERROR":
                    raise Answer(outcome[1].split(" ")[0])
                return ident, rows

    async def write_forever(self, database, pause_s):
        """Sends single writes; after a lost connection, opens a new one."""
        while True:
            try:
                if self.writer is None:
                    await self.open(database)
                item = f"k{self.number}x{self.count}"
                try:
                    ident, _ = await self.query(f"WRITE {item} data")
                    self.system.acknowledged[ident] = time.monotonic()
                except Answer:
                    pass
                await asyncio.sleep(pause_s)
            except (OSError, ConnectionError, asyncio.TimeoutError):
                self.close()
                await asyncio.sleep(0.1)

    async def operate_forever(self, database, pause_s, retries=2):
        """Sends operations of one write each, which are repeated with a new id after a promise that
        nothing was kept. Notes when each operation was first sent and whether it was served."""
        while True:
            sent_at, served = time.monotonic(), False
            for _ in range(1 + retries):
                try:
                    if self.writer is None:
                        await self.open(database)
                except (OSError, ConnectionError, asyncio.TimeoutError):
                    self.close()
                    await asyncio.sleep(0.1)
                    continue
                try:
                    await self.query(f"WRITE k{self.number}x{self.count} data")
                    served = True
                    break
                except Answer as refusal:
                    if refusal.args[0] not in NO_EFFECT:
                        break
                    await asyncio.sleep(0.05)
                except (OSError, ConnectionError, asyncio.TimeoutError):
                    self.close()
                    break
            self.system.operations.append((sent_at, served))
            await asyncio.sleep(pause_s)

    def close(self):
        if self.writer is not None:
            self.writer.transport.abort()
        self.writer = None


class System:
    """Three instances in three zones, the platform and one group of three members."""

    def __init__(self, folder, fenced, sync, routes=None, promote_s=0.3):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.fenced, self.sync, self.promote_s = fenced, sync, promote_s
        self.zones = ["z1", "z2", "z3"]
        self.routes = routes or {"main": "primary"}
        self.acknowledged, self.operations = {}, []
        self.instances, self.tasks = [], []
        self.directory = tempfile.mkdtemp(prefix="papayaspindle-review-")

    async def __aenter__(self):
        try:
            return await self.set_up()
        except BaseException:
            await self.__aexit__()
            raise

    async def set_up(self):
        self.store = Store(self.record)
        await self.store.start()
        self.group = Group(self.record, self.store, "g1", self.zones, self.sync)
        self.group.fenced = self.fenced
        await self.group.start()
        self.cloud = Promotions(self.record, self.group, self.fenced, self.promote_s)
        await self.cloud.start()
        self.version = 0
        self.configure()
        base = free_ports(18 * len(self.zones))
        for number, zone in enumerate(self.zones):
            instance = Instance(self.directory, f"frontend-{zone}-1", zone, self.zones,
                                base + 18 * number)
            self.instances.append(instance)
            await instance.start(self.store.port, self.cloud.port, self.fenced)
        end = time.monotonic() + 15
        while not all([await i.is_ready() for i in self.instances]):
            if time.monotonic() > end:
                raise RuntimeError("the instances aren't ready")
            await asyncio.sleep(0.1)
        return self

    def configure(self):
        """Writes the next version of the configuration."""
        self.version += 3
        routes = [{"name": f"r-{d}", "host": d, "prefix": "/", "routeType": kind, "timeoutMs": 800,
                   "targetLatencyMs": 200, "priority": 1, "backend": "g1", "attempts": 2,
                   **({} if kind == "primary" else {"maxStalenessMs": 1500})}
                  for d, kind in self.routes.items()]
        config = {"version": self.version, "routes": routes,
                  "backends": [{"name": "g1", "maxConns": 16, "syncReplicas": self.sync}],
                  "limits": {"txIdleMs": 3000}}
        self.store.put("op", "config", json.dumps(config).encode())

    async def __aexit__(self, *_):
        for task in self.tasks:
            task.cancel()
        for instance in self.instances:
            if instance.process is None:
                continue
            if instance.process.returncode is None:
                instance.process.send_signal(signal.SIGCONT)
                instance.process.send_signal(signal.SIGKILL)
            await instance.process.wait()
            with open(os.path.join(self.directory, f"{instance.name}.log"), errors="replace",
                      encoding="utf-8") as log:
                for line in log:
                    if " promotion " in line or " platform " in line:
                        self.record.file.write(f"log {line}")
        self.record.file.close()
        shutil.rmtree(self.directory, ignore_errors=True)

    def load(self, clients, database, pause_s):
        for number in range(clients):
            client = Client(self, self.instances[number % len(self.instances)], number)
            self.tasks.append(asyncio.create_task(client.write_forever(database, pause_s)))

    def operate(self, clients, database, pause_s):
        for number in range(clients):
            client = Client(self, self.instances[number % len(self.instances)], number)
            self.tasks.append(asyncio.create_task(client.operate_forever(database, pause_s)))

    def served(self, start, end):
        """Returns how many operations that were sent between two times were served, and of how many."""
        found = [served for sent_at, served in self.operations if start <= sent_at < end]
        return sum(found), len(found)

    def kill_all(self):
        for instance in self.instances:
            instance.process.send_signal(signal.SIGKILL)

    async def start_all(self):
        for instance in self.instances:
            await instance.process.wait()
            await instance.start(self.store.port, self.cloud.port, self.fenced)

    def missing(self, member):
        """Returns the acknowledged writes that are not in the member's log."""
        held = {c[2] for c in member.log}
        return sorted(i for i in self.acknowledged if i not in held)


def main(scenario):
    """Runs the scenario, which returns whether the rule was broken, and exits as the review asks."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    loop = asyncio.new_event_loop()
    try:
        broken = loop.run_until_complete(asyncio.wait_for(scenario(trouble), 110))
    except Exception as failure:  # the case could not run
        print(f"could not run: {failure!r}", flush=True)
        os._exit(2)
    # The stand-ins' open connections need no orderly end.
    os._exit(1 if broken else 0)
