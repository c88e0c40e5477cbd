"""Stand-ins for a small deployment on loopback addresses: the platform's store with its
promotion service, groups of members that speak the line protocol, clients, and the
processes of the system as the deploy file starts them.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
START = time.monotonic()
# A script that is told to stop ends its processes first.
signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))


def now():
    """Seconds since the script started, on the steady clock."""
    return time.monotonic() - START


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w")

    def add(self, text):
        self.file.write(f"{now():8.3f} {text}\n")

    def say(self, text):
        self.add(text)
        self.file.flush()
        print(f"{now():8.3f} {text}", flush=True)


class Store:
    """The platform's row store. `drill` sends it back to a copy some seconds old."""

    HISTORY_S = 20
    # 4 ms an answer, and 0.1 to 1.4 ms one way.
    ANSWER_S = (0.0042, 0.0068)
    READS_PER_S, WRITES_PER_S = 2000, 400

    def __init__(self, record):
        self.record = record
        self.rows = {}  # (table, key) -> (value bytes, ver)
        self.changes = []  # (time, ver, table, key, value or None)
        self.copies = []  # (time, rows, ver)
        self.ver, self.era = 1000, 1
        self.is_away = False
        self.owned = {}  # rows of the operator and the members, written again after a drill
        self.changed = asyncio.Event()
        self.writers = set()
        self.second, self.used, self.refused = 0, {"GET": 0, "POST": 0}, 0

    async def start(self, address):
        self.server = await asyncio.start_server(self._serve, *address, limit=1 << 22)
        asyncio.create_task(self._keep_copies())

    def _is_over_rate(self, method):
        """All nodes together may make so many calls a second."""
        if int(now()) != self.second:
            if self.refused:
                self.record.add(f"STORE refused {self.refused} calls with 429")
            self.second, self.used, self.refused = int(now()), {"GET": 0, "POST": 0}, 0
        self.used[method] += 1
        is_over = self.used[method] > (self.READS_PER_S if method == "GET" else self.WRITES_PER_S)
        self.refused += is_over
        return is_over

    async def _keep_copies(self):
        while True:
            self.copies.append((now(), dict(self.rows), self.ver))
            self.copies = [c for c in self.copies if c[0] > now() - 20]
            await asyncio.sleep(0.05)

    def put(self, table, key, value):
        self.ver += 1
        if value is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[(table, key)] = (value, self.ver)
        self.changes.append((now(), self.ver, table, key, value))
        self._wake()

    def put_owned(self, table, key, value):
        """A write of the operator or of a member."""
        self.owned[(table, key)] = value
        if not self.is_away:
            self.put(table, key, value)

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def drill(self, copy_age_s, away_s):
        """The store is away for a moment and comes back from a copy some seconds old."""
        wanted = now() - copy_age_s
        _, rows, ver = min(self.copies, key=lambda c: abs(c[0] - wanted))
        lost_from, lost_to = ver + 1, self.ver
        lost = sorted({f"{t}/{k}" for _, v, t, k, _ in self.changes if v > ver})
        self.is_away = True
        for writer in list(self.writers):
            writer.transport.abort()
        self._wake()
        self.record.say(f"STORE away; copy is {copy_age_s} s old")
        await asyncio.sleep(away_s)
        self.rows, self.ver = dict(rows), ver
        self.changes = [c for c in self.changes if c[1] <= ver]
        self.copies = []
        self.era += 1
        self.is_away = False
        for (table, key), value in self.owned.items():
            self.put(table, key, value)
        self.record.say(
            f"STORE back, era {self.era}: versions {lost_from} to {lost_to} are gone "
            f"(rows {', '.join(lost)}); operator and members have written again up to {self.ver}"
        )

    async def _serve(self, reader, writer):
        if self.is_away:
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                method, target, _ = head.split("\r\n")[0].split(" ")
                headers = dict(l.lower().split(": ", 1) for l in head.split("\r\n")[1:] if l)
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                await asyncio.sleep(random.uniform(*self.ANSWER_S))
                era = self.era
                status, answer = await self._answer(method, target, body)
                if self.is_away or era != self.era:
                    return
                text = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: {self.era}\r\n"
                    f"Content-Length: {len(text)}\r\n\r\n".encode() + text
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    def _now(self):
        return {"ver": self.ver, "nowMs": int(time.monotonic() * 1000)}

    async def _answer(self, method, target, body):
        if self._is_over_rate(method):
            return 429, {}
        url = urllib.parse.urlparse(target)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
        if url.path == "/v1/rows-tx" and method == "POST":
            return self._transact(json.loads(body))
        if url.path == "/v1/rows-get":
            limit = min(int(query.get("limit", 500)), 500)
            keys = sorted(k for t, k in self.rows if t == query["table"] and k >= query.get("from", ""))
            rows = [self._row(query["table"], k) for k in keys[:limit]]
            return 200, {"rows": rows, "hasMore": len(keys) > limit, **self._now()}
        if url.path == "/v1/rows-feed":
            return await self._feed(query)
        return 404, {}

    def _row(self, table, key):
        value, ver = self.rows[(table, key)]
        return {"table": table, "part": "", "key": key, "value": base64.b64encode(value).decode(), "ver": ver}

    def _transact(self, body):
        names = [(r["table"], r["key"]) for r in body["writes"] + body.get("remove", [])]
        if any(t in ("op", "servers") for t, _ in names):
            return 403, {}
        for row in body.get("expect", []):
            found = self.rows.get((row["table"], row["key"]))
            if (found[1] if found else 0) != row["ver"]:
                current = [self._row(r["table"], r["key"]) for r in body["expect"] if (r["table"], r["key"]) in self.rows]
                return 412, {"rows": current, **self._now()}
        self.ver += 1
        for row in body["writes"]:
            value = base64.b64decode(row["value"])
            self.rows[(row["table"], row["key"])] = (value, self.ver)
            self.changes.append((now(), self.ver, row["table"], row["key"], value))
            if not row["table"].endswith("instances"):
                self.record.add(f"STORE {row['table']}/{row['key']} = {value.decode(errors='replace')} at {self.ver}")
        for row in body.get("remove", []):
            self.rows.pop((row["table"], row["key"]), None)
            self.changes.append((now(), self.ver, row["table"], row["key"], None))
        self._wake()
        return 200, self._now()

    async def _feed(self, query):
        after, table = int(query["after"]), query["table"]
        end = now() + int(query["waitMs"]) / 1000
        era = self.era
        while True:
            if self.is_away or era != self.era:
                return 503, {}
            kept = [c for c in self.changes if c[0] > now() - self.HISTORY_S]
            oldest = kept[0][1] if kept else self.ver + 1
            if after > self.ver or (after + 1 < oldest and after != self.ver):
                return 410, {}
            rows = []
            for _, ver, of, key, value in kept:
                if of == table and ver > after:
                    row = {"table": of, "part": "", "key": key, "ver": ver}
                    text = base64.b64encode(value or b"").decode()
                    rows.append(row | ({"deleted": True} if value is None else {"value": text}))
            left = end - now()
            if rows or left <= 0:
                return 200, {"rows": rows, **self._now()}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class PromotionService:
    """POST /promote, with or without a check of fencing tokens."""

    def __init__(self, record, is_fenced, takes_s):
        self.record, self.is_fenced, self.takes_s = record, is_fenced, takes_s
        self.groups, self.newest, self.calls = {}, {}, []

    async def start(self, address):
        self.server = await asyncio.start_server(self._serve, *address)

    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                headers = dict(l.lower().split(": ", 1) for l in head.split("\r\n")[1:] if l)
                body = json.loads(await reader.readexactly(int(headers.get("content-length", 0))))
                status = self._promote(body, headers["x-lease-holder"], int(headers["x-fencing-token"]))
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Length: 2\r\n\r\n{{}}".encode())
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()

    def _promote(self, body, holder, token):
        group = self.groups[body["backend"]]
        member = group.members.get(body["id"])
        newest = self.newest.get(group.name, 0)
        is_refused = (self.is_fenced and token < newest) or member is None or not member.is_alive
        status = 409 if is_refused else 200
        call = {"at": now(), "group": group.name, "member": body["id"], "holder": holder, "token": token,
                "newest": newest, "status": status}
        self.calls.append(call)
        self.record.say(f"PROMOTE {group.name} {body['id']} holder {holder} token {token}"
                        f" (newest seen before: {newest}) -> {status}")
        self.newest[group.name] = max(newest, token)
        if status == 200 and member is not group.leader:
            asyncio.get_running_loop().call_later(self.takes_s, group.promote, member)
        return status


class Member:
    def __init__(self, group, name, zone):
        self.group, self.name, self.zone = group, name, zone
        self.role, self.term = "replica", 1
        self.log = []  # (term, number, {item: data}, time of receipt)
        self.held = 0
        self.is_alive, self.state = False, "ready"
        self.connections = set()
        self.seq = 0

    async def start(self, address):
        """Starts or restarts; a member that crashed comes back with its log."""
        self.address = address
        self.server = await asyncio.start_server(self._serve, *address, limit=(1 << 20) + 4096)
        self.is_alive, self.held, self.state = True, 0, "ready"
        self.born, self.seq = int(time.time() * 1000), 0
        if self.group.leader is not None and self.group.leader is not self:
            self.role, self.term = "replica", self.group.term
            self.receive()

    def crash(self):
        """The process ends: its port refuses connections."""
        self.is_alive = False
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    def receive(self):
        """Receives what its leader has."""
        leader = self.group.leader
        if not self.is_alive or self.role != "replica" or self.held or leader is self or not leader.is_alive:
            return
        same = 0
        while same < min(len(self.log), len(leader.log)) and self.log[same][:2] == leader.log[same][:2]:
            same += 1
        self.log = self.log[:same] + [(*c[:3], now()) for c in leader.log[same:]]
        self.term = leader.term

    def applied(self):
        if self.role == "primary":
            return self.log
        limit = now() - self.group.lag_s
        return [c for c in self.log if c[3] <= limit]

    def position(self, log):
        return f"{log[-1][0]}.{log[-1][1]}" if log else "1.0"

    def entry(self):
        self.seq += 1
        return json.dumps({
            "backend": self.group.name, "address": f"{self.address[0]}:{self.address[1]}", "zone": self.zone,
            "version": "v1", "capacity": self.group.slots, "state": self.state, "warmupLeftMs": 0,
            "dbRole": self.role, "seq": self.seq, "born": self.born,
        }).encode()

    async def _serve(self, reader, writer):
        if not self.is_alive:
            writer.transport.abort()
            return
        self.connections.add(writer)
        session = {"tx": None, "read_only": False, "values": {}, "prepared": {}}
        try:
            line = (await reader.readuntil(b"\r\n"))[:-2].decode().split(" ")
            if line[0] != "START" or line[1] != self.group.name or (len(line) > 3 and line[3] != self.name):
                writer.write(b"ERROR MISROUTED -\r\n")
                await writer.drain()
                return
            if len(self.connections) > self.group.max_connections:
                writer.write(b"ERROR TOOMANY -\r\n")
                await writer.drain()
                return
            await asyncio.sleep(0.012)
            writer.write(f"READY I {self.position(self.applied())}\r\n".encode())
            while True:
                text = (await reader.readuntil(b"\r\n"))[:-2].decode()
                _, ident, query = text.split(" ", 2)
                if query.split(" ")[0] in ("READ", "WRITE", "COMMIT", "EXECUTE"):
                    await asyncio.sleep(self.group.work_s)
                if not self.is_alive:
                    return
                self.committed = None
                answer = self._run(session, ident, query, line[2])
                if self.committed and not await self._is_received(self.committed):
                    return
                writer.write(answer.encode())
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.transport.abort()

    async def _is_received(self, commit):
        """With synchronous replicas, waits until one of them has received the commit."""
        while self.group.sync_replicas:
            others = [m for m in self.group.members.values() if m is not self and m.is_alive]
            if sum(any(c[:2] == commit for c in m.log[-400:]) for m in others) >= self.group.sync_replicas:
                return True
            if not self.is_alive or self.role != "primary":
                return False
            await asyncio.sleep(0.002)
        return True

    def _end(self, session):
        return f"READY {'I' if session['tx'] is None else 'T'} {self.position(self.applied())}\r\n"

    def _error(self, session, code):
        return f"ERROR {code} {self.name}\r\n" + self._end(session)

    def _done(self, session, rows=(), is_signed=False):
        signature = f"7.{self.group.next_signature()}.{self.name}" if is_signed else "-"
        return "".join(f"ROW {r}\r\n" for r in rows) + f"COMPLETE {signature}\r\n" + self._end(session)

    def _status(self, session):
        lag = 0 if self.role == "primary" else int(self.group.lag_s * 1000)
        row = f"{self.role} {self.term} {self.position(self.log)} {self.held} {lag} 0 {len(self.connections)}"
        return self._done(session, [row])

    def _run(self, session, ident, query, caller):
        if query.startswith("AFTER "):
            _, position, query = query.split(" ", 2)
            have = tuple(int(n) for n in self.position(self.applied()).split("."))
            if have < tuple(int(n) for n in position.split(".")):
                return self._error(session, "LAGGING")
        verb, _, rest = query.partition(" ")
        in_plain = session["tx"] is not None and not session["read_only"]
        if verb == "STATUS":
            return self._status(session)
        if verb == "PAUSE":
            if self.role == "replica" and int(rest) > self.term:
                self.held = max(self.held, int(rest))
            return self._status(session)
        if verb == "RESUME":
            self.held = 0
            self.receive()
            return self._status(session)
        if verb == "DEMOTE":
            if self.role == "primary" and int(rest) > self.term:
                self.group.record.say(f"MEMBER {self.name} steps down by DEMOTE {rest} from {caller}")
                self.role = "replica"
            return self._status(session)
        if verb == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in session["prepared"]:
                return self._error(session, "NOSTMT")
            verb = session["prepared"][name]
        if verb == "PREPARE":
            name, kind, _ = rest.split(" ", 2)
            session["prepared"][name] = kind
        elif verb == "SET":
            name, _, value = rest.partition(" ")
            session["values"][name] = value
        elif verb == "RESET":
            session["values"], session["prepared"] = {}, {}
        elif verb == "BEGIN":
            if rest != "READ" and self.role != "primary":
                return self._error(session, "READONLY")
            session["tx"], session["read_only"] = {}, rest == "READ"
        elif verb == "ROLLBACK":
            session["tx"] = None
        elif verb == "READ":
            if in_plain and self.role != "primary":
                return self._error(session, "READONLY")
            data = next((c[2][rest] for c in reversed(self.applied()) if rest in c[2]), "-")
            self.group.record.add(f"RUN {self.name} ({self.role}, term {self.term}) {ident} READ {rest} by {caller}")
            self.group.reads.append((now(), self.name, ident, rest, data, self.position(self.applied())))
            return self._done(session, [(session["tx"] or {}).get(rest, data)], True)
        elif verb == "WRITE":
            if self.role != "primary":
                return self._error(session, "READONLY")
            item, _, data = rest.partition(" ")
            if session["tx"] is None:
                self.group.commit(self, {item: data}, ident, caller)
            else:
                session["tx"][item] = data
            return self._done(session, [], True)
        elif verb == "COMMIT":
            writes, session["tx"] = session["tx"], None
            if writes and self.role != "primary":
                return self._error(session, "READONLY")
            if writes:
                self.group.commit(self, writes, ident, caller)
            return self._done(session, [], True)
        else:
            return self._error(session, "BADMSG")
        return self._done(session)


class Group:
    """A service: one primary and its replicas."""

    def __init__(self, record, name, zones, is_fenced, max_connections=16, slots=2, lag_s=0.06, work_s=0.003,
                 sync_replicas=0):
        self.record, self.name, self.is_fenced = record, name, is_fenced
        self.sync_replicas = sync_replicas
        self.max_connections, self.slots, self.lag_s, self.work_s = max_connections, slots, lag_s, work_s
        self.term, self.signature, self.leader = 1, 0, None
        self.members = {f"i-{name}-{n}": Member(self, f"i-{name}-{n}", z) for n, z in enumerate(zones)}
        self.commits, self.reads, self.promoted, self.logs_at_promotion = [], [], [], []

    def next_signature(self):
        self.signature += 1
        return self.signature

    async def start(self, addresses, store, heartbeat_s):
        self.store, self.heartbeat_s = store, heartbeat_s
        for member, address in zip(self.members.values(), addresses):
            await member.start(address)
        self.leader = next(iter(self.members.values()))
        self.leader.role = "primary"
        for member in self.members.values():
            asyncio.create_task(self._beat(member))

    async def _beat(self, member):
        await asyncio.sleep(random.random() * 0.2)
        silent = 0
        while True:
            if member.is_alive:
                silent = 0
                self.store.put_owned("servers", member.name, member.entry())
            else:
                silent += 1
                if silent == 3:
                    self.store.put_owned("servers", member.name, None)
            await asyncio.sleep(self.heartbeat_s)

    def report(self, member):
        if member.is_alive:
            self.store.put_owned("servers", member.name, member.entry())

    def commit(self, member, writes, ident, caller):
        number = member.log[-1][1] + 1 if member.log else 1
        member.log.append((member.term, number, dict(writes), now()))
        member.committed = (member.term, number)
        is_current = member is self.leader
        self.commits.append({"at": now(), "member": member.name, "writes": dict(writes), "id": ident,
                             "caller": caller, "is_current": is_current, "term": member.term})
        self.record.add(f"RUN {member.name} (term {member.term}{'' if is_current else ', OLD PRIMARY'}) {ident}"
                        f" commits {','.join(writes)} by {caller}")
        if is_current:
            for other in self.members.values():
                if other is not member:
                    asyncio.get_running_loop().call_later(0.002, other.receive)

    def promote(self, member):
        """The member named leads the next term with what it has received, and no more."""
        if member is self.leader or not member.is_alive:
            return
        old = self.leader
        self.term += 1
        member.role, member.term, member.held = "primary", self.term, 0
        self.leader = member
        self.promoted.append((now(), member.name))
        self.logs_at_promotion.append({item for c in member.log for item in c[2]})
        self.record.say(f"GROUP {self.name}: {member.name} leads term {self.term} from {member.position(member.log)};"
                        f" {old.name} was the primary ({'alive' if old.is_alive else 'down'})")
        for other in self.members.values():
            if other is not member and other is not old:
                other.held = 0
                if other.role == "replica":
                    other.receive()
                self.report(other)
        self.report(member)
        if self.is_fenced:
            self._step_down(old)
        else:
            # PROTOCOL of the deployments without fences: the old primary goes on until
            # DEMOTE, or a second after it can reach the new one.
            asyncio.get_running_loop().call_later(1.0, self._step_down, old)

    def _step_down(self, old):
        if old is not self.leader:
            if old.role == "primary" and old.is_alive:
                self.record.say(f"MEMBER {old.name} learns of its successor and follows it")
            old.role = "replica"
            old.receive()
            self.report(old)


class Instance:
    """A process of the system, started with the command of the deploy file."""

    def __init__(self, deployment, name, zone, ip):
        self.deployment, self.name, self.zone, self.ip = deployment, name, zone, ip
        self.process = None
        self.path = os.path.join(deployment.directory, f"{name}.json")

    def write_settings(self):
        d = self.deployment
        settings = {
            "node": self.name, "role": "proxy", "machineClass": "frontend", "serves": ["frontend"], "ip": self.ip,
            "zone": self.zone, "region": "r1", "zones": {z: "r1" for z in sorted(set(d.zones))},
            "listen": {"frontend": f"{self.ip}:{d.base}", "readiness": f"{self.ip}:{d.base + 1}"},
            "internalPorts": [d.base + 4, d.base + 19], "seeds": [], "bootstrap": True, "countsAsLoss": False,
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4300, "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entrypoint": "vip", "heartbeatMs": 1200,
            "contracts": ["base", "drain", "config", "cost", "recover", "sql", "platform"] + d.contracts,
            "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": d.bounds,
            "platform": {"address": d.text(d.store_address), "form": "table", "writesPerS": 400, "readsPerS": 2000,
                         "txMs": 6.0, "partWritesS": 200, "rowBytes": 65536, "across": False, "historyS": 20,
                         "blobBytes": 8388608, "blobMs": 25.0, "blobMbS": 80.0},
            "cloudApi": {"address": d.text(d.cloud_address), "ratePerS": 50.0, "duties": ["promotion"], "dutyPerS": 50.0},
        }
        with open(self.path, "w") as file:
            json.dump(settings, file)

    async def start(self):
        self.write_settings()
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            command = tomllib.load(file)["roles"]["proxy"]["run"].split(" ")
        log = open(os.path.join(self.deployment.directory, f"{self.name}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            *command, stdout=log, stderr=log, cwd=ROOT,
            env={"PATH": os.environ["PATH"], "PAPAYASPINDLE_SETTINGS": self.path},
        )
        log.close()
        self.deployment.record.say(f"INSTANCE {self.name} started")

    async def stop(self, grace_s=6):
        self.deployment.record.say(f"INSTANCE {self.name} gets SIGTERM")
        self.process.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), grace_s)
        except asyncio.TimeoutError:
            self.process.kill()
            await self.process.wait()
        self.deployment.record.say(f"INSTANCE {self.name} has ended with {self.process.returncode}")

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.deployment.base + 1)
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 2)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False


class Refused(Exception):
    pass


class Client:
    """A session. `query` returns the rows, raises Refused with the code of an error."""

    def __init__(self, instance, record):
        self.instance, self.record, self.writer = instance, record, None

    async def open(self, database, key="u1"):
        self.reader, self.writer = await asyncio.open_connection(
            self.instance.ip, self.instance.deployment.base, limit=1 << 21)
        self.writer.write(f"START {database} {key}\r\n".encode())
        line = await asyncio.wait_for(self.reader.readline(), 2)
        if line.startswith(b"ERROR"):
            raise Refused(line.split()[1].decode())
        if not line.startswith(b"READY"):
            raise ConnectionError("no greeting")
        return self

    async def query(self, ident, text, timeout=3):
        self.record.add(f"SENT to {self.instance.name} {ident} {text}")
        try:
            self.writer.write(f"QUERY {ident} {text}\r\n".encode())
            rows, code = [], None
            while True:
                line = (await asyncio.wait_for(self.reader.readline(), timeout)).decode()
                if not line.endswith("\r\n"):
                    raise ConnectionError("the connection ended")
                word, _, rest = line[:-2].partition(" ")
                if word == "ROW":
                    rows.append(rest)
                elif word == "ERROR":
                    code = rest.split(" ")[0]
                elif word == "READY":
                    self.record.add(f"ANSWER {ident} {code or 'success ' + ' '.join(rows)}")
                    if code:
                        raise Refused(code)
                    return rows
        except (ConnectionError, asyncio.TimeoutError, OSError) as error:
            self.record.add(f"ANSWER {ident} none ({type(error).__name__})")
            raise

    def close(self):
        if self.writer:
            self.writer.transport.abort()


class Deployment:
    """Instances, store, promotion service and groups for the time of a `with` block."""

    def __init__(self, record, zones, groups, is_fenced=True, promote_s=1.0, bounds=None, contracts=(), tenants=None,
                 members=3, sync_replicas=0):
        self.record, self.zones, self.is_fenced = record, zones, is_fenced
        self.directory = tempfile.mkdtemp(prefix="papayaspindle-review-")
        self.contracts, self.tenants = list(contracts), tenants
        self.bounds = {
            "seedLagS": 3, "reuseDelayS": 2, "stabilityWindowMs": 4000, "ackTimeoutMs": 5000, "catchupS": 4,
            "drainTimeoutMs": 7000, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 3000, "rollbackSlackMs": 250,
            "maxSkewMs": 12000, "recoverS": 12, "fencingEnforced": is_fenced, "thawMs": 300,
        } | (bounds or {})
        net = random.randint(2, 200)
        self.ips = [f"127.{net}.0.{n + 1}" for n in range(len(zones))]
        self.base = self._free_base()
        self.store_address, self.cloud_address = (f"127.{net}.1.1", self.base), (f"127.{net}.1.2", self.base)
        self.store, self.cloud = Store(record), PromotionService(record, is_fenced, promote_s)
        member_zones = [sorted(set(zones))[n % len(set(zones))] for n in range(members)]
        self.groups = {}
        for number, name in enumerate(groups):
            group = Group(record, name, member_zones, is_fenced, sync_replicas=sync_replicas)
            group.addresses = [(f"127.{net}.{2 + number}.{n + 1}", self.base) for n in range(members)]
            self.groups[name] = group
            self.cloud.groups[name] = group
        self.instances = [Instance(self, f"frontend-{z}-{n + 1}", z, ip)
                          for n, (z, ip) in enumerate(zip(zones, self.ips))]
        self.version = 0

    def _free_base(self):
        for _ in range(50):
            base = random.randint(20000, 31000)
            opened = []
            try:
                for ip in self.ips:
                    for port in [base, base + 1, *range(base + 4, base + 20)]:
                        opened.append(socket.create_server((ip, port)))
                return base
            except OSError:
                continue
            finally:
                for each in opened:
                    each.close()
        raise RuntimeError("no free ports")

    @staticmethod
    def text(address):
        return f"{address[0]}:{address[1]}"

    async def __aenter__(self):
        await self.store.start(self.store_address)
        await self.cloud.start(self.cloud_address)
        for group in self.groups.values():
            await group.start(group.addresses, self.store, 1.2)
        return self

    async def start_instances(self):
        for instance in self.instances:
            await instance.start()
        end = now() + 20
        while not all([await i.is_ready() for i in self.instances]):
            if now() > end:
                raise RuntimeError("the instances are not ready")
            await asyncio.sleep(0.1)

    async def __aexit__(self, *_):
        for instance in self.instances:
            if instance.process and instance.process.returncode is None:
                instance.process.kill()
                await instance.process.wait()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.directory, ignore_errors=True)

    def configure(self, routes, say=True):
        """Writes a configuration; `routes` maps a database to (group, kind)."""
        self.version += 3
        config = {
            "version": self.version,
            "routes": [
                {"name": f"r-{d}", "host": d, "prefix": "/", "routeType": kind, "timeoutMs": 800,
                 "targetLatencyMs": 200, "priority": 1, "backend": group, "attempts": 2, "public": False,
                 **({} if kind == "primary" else {"maxStalenessMs": 1500})}
                for d, (group, kind) in routes.items()
            ],
            "backends": [{"name": g.name, "maxConns": g.max_connections, "syncReplicas": g.sync_replicas} for g in self.groups.values()],
            "limits": {"txIdleMs": 3000},
        }
        if self.tenants:
            config["tenants"] = self.tenants
        self.store.put_owned("op", "config", json.dumps(config).encode())
        if say:
            self.record.say(f"OPERATOR version {self.version} acknowledged at {self.store.ver}: "
                            + ", ".join(f"{d} -> {g}" for d, (g, _) in routes.items()))
        return self.version
