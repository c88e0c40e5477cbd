"""Stand-in on loopback for the users' row store, which also handles promotion requests. It can
be unavailable and come back from an older copy of itself.
"""

import asyncio
import base64
import collections
import itertools
import json
import time
import urllib.parse

HOST = "127.0.0.1"
# Tables whose rows the operator and the members write. They write them again after a return
# to an older copy.
FOREIGN_TABLES = ("op", "servers")
# Calls above the rate that the store accepts in a burst, as part of a second.
BURST_S = 0.25
# Time after a return within which members that are in use have written their rows again.
MEMBERS_REWRITE_S = 2
# Longer than the time limits of all calls.
UNANSWERED_S = 10


class RateLimit:
    """Token bucket; without a rate, everything is allowed."""

    def __init__(self, per_s):
        self.per_s = per_s
        self.tokens = per_s and per_s * BURST_S
        self.filled_at = time.monotonic()

    def allows(self):
        if not self.per_s:
            return True
        now = time.monotonic()
        self.tokens = min(self.tokens + (now - self.filled_at) * self.per_s, self.per_s * BURST_S)
        self.filled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class Store:
    """The row store, which also handles promotion requests."""

    def __init__(self, reads_per_s=None, writes_per_s=None, answer_s=0):
        self.rows = {}  # (table, key) -> (value bytes, ver)
        self.changes = []  # (ver, table, key, value or None)
        self.log = []  # the same with the time of the write; survives a lost history
        self.ver = 0
        self.era = 1
        self.mode = "ok"  # ok, busy, lost, endless
        self.is_away = False
        self.resets_calls = True  # whether calls that are open during an absence are reset
        self.returned = asyncio.Event()
        self.held_calls = itertools.count()
        self.foreign = {}  # newest rows of the operator and the members, also while away
        self.first_copy_at = 0
        self.groups = {}
        self.token = {}
        self.promotions = {}  # (group, token) -> member
        self.reused_tokens = []
        self.changed = asyncio.Event()
        self.port = None
        self.answer_s = answer_s
        self.limits = {"GET": RateLimit(reads_per_s), "POST": RateLimit(writes_per_s)}
        self.calls = collections.Counter()  # (second, method) -> number of calls
        self.rate_limited = 0
        self.writers = set()

    async def start(self):
        server = await asyncio.start_server(self._serve, HOST, 0, backlog=1000)
        self.port = server.sockets[0].getsockname()[1]

    def put(self, table, key, value):
        """Writes a row, or removes it if the value is None."""
        if table in FOREIGN_TABLES:
            self.foreign[(table, key)] = value
            if self.is_away:
                return
        self.ver += 1
        if value is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[(table, key)] = (value, self.ver)
        self.changes.append((self.ver, table, key, value))
        self.log.append((time.monotonic(), self.ver, table, key, value))
        self._wake()

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def forget_history(self):
        self.changes = []

    def allow_copies_from_now(self):
        """No copy is older than this moment."""
        self.first_copy_at = time.monotonic()

    async def return_to_copy(self, age_s, away_s, rewrite_s=0, resets_calls=True):
        """Is away for a moment and comes back as it was `age_s` before the end of that time.
        Returns the number of lost versions. Without `rewrite_s`, the operator and the members
        write their rows again before the first answer. Otherwise the operator writes them again
        after that time and the members within MEMBERS_REWRITE_S. Without `resets_calls`, open
        calls wait for the return: every second feed stays unanswered, the other calls are
        handled in the new incarnation."""
        if self.is_away:
            return 0
        self.is_away, self.resets_calls = True, resets_calls
        if resets_calls:
            for writer in list(self.writers):
                writer.transport.abort()
        self._wake()
        await asyncio.sleep(away_s)
        copied_at = max(time.monotonic() - age_s, self.first_copy_at)
        newest = self.ver
        self.log = [entry for entry in self.log if entry[0] <= copied_at]
        self.rows, self.ver = {}, 0
        for _, ver, table, key, value in self.log:
            self.ver = ver
            if value is None:
                self.rows.pop((table, key), None)
            else:
                self.rows[(table, key)] = (value, ver)
        lost = newest - self.ver
        self.changes = [change for change in self.changes if change[0] <= self.ver]
        self.era += 1
        self.is_away = False
        if rewrite_s:
            loop = asyncio.get_running_loop()
            loop.call_later(rewrite_s, self._rewrite, self.era, ("op",))
            loop.call_later(MEMBERS_REWRITE_S, self._rewrite, self.era, ("servers",))
        else:
            self._rewrite(self.era, FOREIGN_TABLES)
        self.returned.set()
        self.returned = asyncio.Event()
        self._wake()
        return lost

    def _rewrite(self, era, tables):
        """Writes the newest rows of other writers again, unless the store has returned again."""
        if era != self.era or self.is_away:
            return
        for name in [n for n in self.foreign | self.rows if n[0] in tables]:
            value = self.foreign.get(name)
            if value != self.rows.get(name, (None,))[0]:
                self.put(*name, value)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                method, target, _ = head.split("\r\n")[0].split(" ")
                headers = dict(
                    line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if line
                )
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                if self.mode == "endless":
                    writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 1000000000000\r\n\r\n")
                    while self.mode == "endless":
                        writer.write(b"x" * 65536)
                        await writer.drain()
                    writer.transport.abort()
                    return
                if self.answer_s:
                    await asyncio.sleep(self.answer_s)
                era = self.era
                status, answer = await self._answer(method, target, headers, body)
                is_reset = self.resets_calls and (self.is_away or era != self.era)
                if status is None or (is_reset and not target.startswith("/promote")):
                    writer.transport.abort()
                    return
                text = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Store-Era: {self.era}\r\nContent-Length: {len(text)}\r\n\r\n".encode() + text
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def _answer(self, method, target, headers, body):
        url = urllib.parse.urlparse(target)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
        if self.mode == "busy":
            return 503, {}
        if url.path == "/promote":
            return self._promote(headers, json.loads(body))
        if self.is_away and not await self._outlasts_absence(url.path):
            return None, None
        self.calls[int(time.monotonic()), method] += 1
        if not self.limits[method].allows():
            self.rate_limited += 1
            return 429, {}
        if url.path == "/v1/rows-tx":
            answer = self._transact(json.loads(body))
            return (None, None) if self.mode == "lost" else answer
        if url.path == "/v1/rows-get":
            rows = [
                self._row(table, key)
                for table, key in sorted(self.rows)
                if table == query["table"] and key >= query.get("from", "")
            ]
            return 200, {"rows": rows, "hasMore": False, **self._now()}
        return await self._feed(query)

    async def _outlasts_absence(self, path):
        """Returns whether a call is handled after the absence."""
        if self.resets_calls:
            return False
        if path == "/v1/rows-feed" and next(self.held_calls) % 2:
            await asyncio.sleep(UNANSWERED_S)
            return False
        await self.returned.wait()
        return True

    def _now(self):
        return {"ver": self.ver, "nowMs": int(time.monotonic() * 1000)}

    def _row(self, table, key):
        value, ver = self.rows[(table, key)]
        text = base64.b64encode(value).decode()
        return {"table": table, "part": "", "key": key, "value": text, "ver": ver}

    def _transact(self, body):
        for row in body.get("expect", []):
            found = self.rows.get((row["table"], row["key"]))
            if (found[1] if found else 0) != row["ver"]:
                return 412, {"rows": [], **self._now()}
        for row in body["writes"]:
            self.put(row["table"], row["key"], base64.b64decode(row["value"]))
        return 200, self._now()

    async def _feed(self, query):
        after, table = int(query["after"]), query["table"]
        end = time.monotonic() + int(query["waitMs"]) / 1000
        era = self.era
        while True:
            if self.is_away and not await self._outlasts_absence("/v1/rows-feed"):
                return None, None
            if era != self.era and self.resets_calls:
                return None, None
            oldest = self.changes[0][0] if self.changes else self.ver + 1
            if after > self.ver or after + 1 < oldest:
                return 410, {}
            rows = []
            for ver, of, key, value in self.changes:
                if of == table and ver > after:
                    row = {"table": of, "part": "", "key": key, "ver": ver}
                    text = base64.b64encode(value or b"").decode()
                    rows.append(row | ({"deleted": True} if value is None else {"value": text}))
            left = end - time.monotonic()
            if rows or left <= 0:
                return 200, {"rows": rows, **self._now()}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _promote(self, headers, body):
        group = self.groups[body["backend"]]
        token = int(headers["x-fencing-token"])
        member = group.members.get(body["id"])
        if token < self.token.get(group.name, 0) or member is None or not member.is_alive:
            return 409, {}
        if self.promotions.setdefault((group.name, token), member) is not member:
            self.reused_tokens.append(f"token {token} of {group.name} for two members")
        self.token[group.name] = token
        group.promote(member)
        return 200, {}
