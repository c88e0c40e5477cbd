"""Stand-ins on loopback for the users' platform: database groups whose members use the line
protocol, and a proxy that breaks connections. The row store is in rowstore.py.
"""

import asyncio
import itertools
import json
import time

from rowstore import HOST

# The longest message of the protocol has 1 MiB; the rest is a margin.
MAX_LINE_BYTES = (1 << 20) + 4096


class FaultProxy:
    """Forwards connections to a port and applies a fault mode to all of them."""

    def __init__(self, target_port):
        self.target_port = target_port
        self.mode = "pass"  # pass, delay, silent, one_way, refuse
        self.writers = set()
        self.port = None

    async def start(self):
        server = await asyncio.start_server(self._accept, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    def reset(self):
        """Aborts all open connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def _accept(self, reader, writer):
        if self.mode == "refuse":
            writer.transport.abort()
            return
        try:
            up_reader, up_writer = await asyncio.open_connection(HOST, self.target_port)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, up_writer}
        await asyncio.gather(
            self._pump(reader, up_writer, False), self._pump(up_reader, writer, True)
        )
        self.writers -= {writer, up_writer}

    async def _pump(self, reader, writer, is_answer):
        try:
            while data := await reader.read(65536):
                while self.mode == "silent" or (self.mode == "one_way" and is_answer):
                    await asyncio.sleep(0.05)
                if self.mode == "delay":
                    await asyncio.sleep(0.05)
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()


class Member:
    """A member of a database group."""

    def __init__(self, group, name, is_primary):
        self.group, self.name = group, name
        self.is_primary = is_primary
        self.log = []  # commits: (term, number, {item: data})
        self.is_alive = True
        self.server = None
        self.writers = set()
        self.proxy = None
        self.born = int(time.time() * 1000)
        self.seq = 0

    async def start(self):
        self.server = await asyncio.start_server(self._serve, HOST, 0, limit=MAX_LINE_BYTES)
        self.proxy = FaultProxy(self.server.sockets[0].getsockname()[1])
        await self.proxy.start()

    def applied(self):
        """Returns the commits that reads see; a replica lags behind by the group's lag_s."""
        if self.is_primary:
            return self.log
        limit = time.monotonic() - self.group.lag_s
        return [c for c in self.log if self.group.committed_at[c[:2]] <= limit]

    def position(self):
        log = self.applied()
        return f"{log[-1][0]}.{log[-1][1]}" if log else f"{self.group.first_term}.0"

    def crash(self):
        self.is_alive = False
        for writer in list(self.writers):
            writer.transport.abort()

    def restart(self):
        self.is_alive = True
        if self.group.primary is not self:
            self.is_primary = False
            self.log = list(self.group.primary.log)
        self.group.publish()

    async def _serve(self, reader, writer):
        if not self.is_alive:
            writer.transport.abort()
            return
        self.writers.add(writer)
        session = {"tx": None, "kind": None, "values": {}, "prepared": {}}
        try:
            line = (await reader.readuntil(b"\r\n"))[:-2].decode().split(" ")
            if line[1] != self.group.name or (len(line) > 3 and line[3] != self.name):
                writer.write(b"ERROR MISROUTED -\r\n")
                return
            caller = line[2]
            self.group.on_line(" ".join(line))
            writer.write(f"READY I {self.position()}\r\n".encode())
            while True:
                text = (await reader.readuntil(b"\r\n"))[:-2].decode()
                word, ident, query = text.split(" ", 2)
                self.group.on_line(text)
                if self.group.endless_item and query.endswith("READ " + self.group.endless_item):
                    while True:
                        writer.write(b"ROW \r\n" * 10_000)
                        await writer.drain()
                if self.group.stall_item and f"WRITE {self.group.stall_item}" in query:
                    await asyncio.sleep(self.group.stall_s)
                answer = self._run(session, ident, query)
                self.group.on_statement(caller, ident, not answer.startswith("ERROR"))
                writer.write(answer.encode())
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    def _state(self, session):
        return "I" if session["tx"] is None else "T"

    def _ready(self, session):
        return f"READY {self._state(session)} {self.position()}\r\n"

    def _error(self, session, code):
        return f"ERROR {code} {self.name}\r\n" + self._ready(session)

    def _done(self, session, rows, signed):
        signature = f"7.{next(self.group.signatures)}.{self.name}" if signed else "-"
        return "".join(f"ROW {r}\r\n" for r in rows) + f"COMPLETE {signature}\r\n" + self._ready(session)

    def _run(self, session, ident, query):
        if query.startswith("AFTER "):
            _, position, query = query.split(" ", 2)
            needed = tuple(int(n) for n in position.split("."))
            if tuple(int(n) for n in self.position().split(".")) < needed:
                return self._error(session, "LAGGING")
        verb, _, rest = query.partition(" ")
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
        elif verb == "STATUS" or verb == "PAUSE":
            role = "primary" if self.is_primary else "replica"
            last = self.log[-1][:2] if self.log else (self.group.first_term, 0)
            row = f"{role} {self.group.term} {last[0]}.{last[1]} 0 0 0 1"
            return self._done(session, [row], False)
        elif verb == "BEGIN":
            if rest != "READ" and not self.is_primary:
                return self._error(session, "READONLY")
            session["tx"], session["kind"] = {}, rest
        elif verb == "ROLLBACK":
            session["tx"] = None
        elif verb == "READ":
            if session["tx"] is not None and session["kind"] != "READ" and not self.is_primary:
                return self._error(session, "READONLY")
            return self._done(session, self._read(session, rest), True)
        elif verb == "WRITE":
            return self._write(session, ident, rest)
        elif verb == "COMMIT":
            writes, session["tx"] = session["tx"], None
            if writes and not self.is_primary:
                return self._error(session, "READONLY")
            if writes:
                self.group.commit(writes)
            return self._done(session, [], True)
        return self._done(session, [], False)

    def _read(self, session, item):
        data = next((c[2][item] for c in reversed(self.applied()) if item in c[2]), "-")
        return [(session["tx"] or {}).get(item, data)]

    def _write(self, session, ident, rest):
        if not self.is_primary:
            return self._error(session, "READONLY")
        item, _, data = rest.partition(" ")
        if session["tx"] is None:
            self.group.commit({item: data})
        else:
            session["tx"][item] = data
        return self._done(session, [], True)


class Group:
    """A primary and its replicas, which receive each commit at once and apply it with a lag."""

    def __init__(self, store, name, size, lag_s):
        self.store, self.name, self.lag_s = store, name, lag_s
        self.first_term = self.term = 1
        self.number = 0
        self.signatures = itertools.count(1)
        self.committed_at = {}
        # Hooks of checks: each line that a member receives, and each statement with the name
        # in which its connection was opened and whether the member ran it.
        self.on_line = lambda line: None
        self.on_statement = lambda caller, ident, has_run: None
        # A member answers a READ of this item with rows without end.
        self.endless_item = None
        # A member delays its answer to a WRITE of items that begin with this name.
        self.stall_item, self.stall_s = None, 0
        self.members = {f"i-{name}-{n}": Member(self, f"i-{name}-{n}", n == 0) for n in range(size)}
        self.primary = next(iter(self.members.values()))
        store.groups[name] = self

    async def start(self):
        for member in self.members.values():
            await member.start()
        self.publish()

    def publish(self):
        for member in self.members.values():
            member.seq += 1
            row = {
                "backend": self.name, "address": f"{HOST}:{member.proxy.port}", "zone": "z1",
                "version": "v1", "capacity": 2, "state": "ready", "warmupLeftMs": 0,
                "dbRole": "primary" if member.is_primary else "replica", "seq": member.seq,
                "born": member.born,
            }
            self.store.put("servers", member.name, json.dumps(row).encode() if member.is_alive else None)

    def commit(self, writes):
        self.number += 1
        commit = (self.term, self.number, dict(writes))
        self.committed_at[commit[:2]] = time.monotonic()
        for member in self.members.values():
            if member.is_alive:
                member.log.append(commit)

    def promote(self, member):
        if member is self.primary:
            return
        self.term += 1
        self.primary.is_primary = False
        member.is_primary = True
        self.primary = member
        for other in self.members.values():
            other.log = list(member.log)
        self.publish()
