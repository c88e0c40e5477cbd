"""Starts entry instances that use the stand-ins, and clients that check their answers."""

import asyncio
import json
import os
import signal
import socket
import tempfile
import time

from rowstore import HOST, Store
from standin import MAX_LINE_BYTES, FaultProxy, Group

# Error codes which promise that the attempt had no effect.
NO_EFFECT_CODES = {"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY", "NOAUTH"}


next_port = 10000 + os.getpid() * 100 % 10000


def free_ports(count):
    """Returns the first of `count` consecutive free ports that this process has not returned
    before."""
    global next_port
    while next_port + count < 32000:
        base, next_port = next_port, next_port + count
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


class Instance:
    """An entry instance as a separate process, with a fault proxy before the store."""

    def __init__(self, binary, directory, name, store_port, descriptors=1000, memory_mb=260,
                 client_limits=None, has_customers=False, zone="z1"):
        self.binary, self.directory, self.name, self.zone = binary, directory, name, zone
        self.descriptors, self.memory_mb = descriptors, memory_mb
        self.client_limits, self.has_customers = client_limits, has_customers
        base = free_ports(18)
        self.port, self.ready_port, self.metrics_port = base, base + 1, base + 2
        self.proxy = FaultProxy(store_port)
        self.process = None

    async def prepare(self):
        await self.proxy.start()
        store = {"address": f"{HOST}:{self.proxy.port}"}
        settings = {
            "node": self.name, "zone": self.zone, "ip": HOST,
            "listen": {"frontend": f"{HOST}:{self.port}", "readiness": f"{HOST}:{self.ready_port}"},
            "internalPorts": [self.metrics_port, self.metrics_port + 15],
            "limits": {"cpuShare": 1, "memoryMb": self.memory_mb, "maxFds": self.descriptors},
            "bounds": {"graceS": 6, "stabilityWindowMs": 4000},
            "platform": store, "cloudApi": store,
        }
        if self.has_customers:
            settings["contracts"] = ["tenants"]
            settings["bounds"] |= {"quotaWindowS": 5, "quotaOverrun": 0.1, "quotaSlack": 20}
        if self.client_limits:
            settings["clientLimits"] = self.client_limits
        self.settings = os.path.join(self.directory, f"{self.name}.json")
        with open(self.settings, "w") as file:
            json.dump(settings, file)

    async def start(self):
        log = open(os.path.join(self.directory, f"{self.name}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            self.binary, "serve", stdout=log, stderr=log,
            env={"PATH": os.environ["PATH"], "PAPAYASPINDLE_SETTINGS": self.settings},
        )
        log.close()

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

    async def fetch_metrics(self):
        reader, writer = await asyncio.open_connection(HOST, self.metrics_port)
        writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        text = (await reader.read()).decode()
        writer.close()
        return text

    def log_text(self):
        with open(os.path.join(self.directory, f"{self.name}.log"), errors="replace") as file:
            return file.read()


class Refused(Exception):
    """Raised for an ERROR answer; the argument is the error code."""


class Client:
    """A client session at one instance. `on_sent` is called with the identifier of each
    statement before it is sent."""

    def __init__(self, instance, key="u1", on_sent=lambda ident: None):
        self.instance, self.key, self.on_sent = instance, key, on_sent
        self.writer = None

    async def open(self, database):
        self.reader, self.writer = await asyncio.open_connection(HOST, self.instance.port, limit=MAX_LINE_BYTES)
        self.writer.write(f"START {database} {self.key}\r\n".encode())
        line = await asyncio.wait_for(self.reader.readline(), 3)
        if line.startswith(b"ERROR"):
            raise Refused(line.split()[1].decode())
        if not line.startswith(b"READY"):
            raise ConnectionError("the instance sent no greeting")
        return self

    async def query(self, ident, text, timeout=4):
        self.on_sent(ident)
        self.writer.write(f"QUERY {ident} {text}\r\n".encode())
        rows, code = [], None
        while True:
            line = (await asyncio.wait_for(self.reader.readline(), timeout)).decode()
            if not line.endswith("\r\n"):
                raise ConnectionError("the connection ended within an answer")
            word, _, rest = line[:-2].partition(" ")
            if word == "ROW":
                rows.append(rest)
            elif word == "ERROR":
                code = rest.split(" ")[0]
            elif word == "READY":
                if code:
                    raise Refused(code)
                return rows

    def close(self):
        if self.writer:
            self.writer.transport.abort()


class WriteLedger:
    """Outcomes of writes as clients received them."""

    def __init__(self):
        self.acknowledged, self.refused, self.unknown = set(), set(), set()
        self.attempts = 0
        self.last_success = time.monotonic()
        self.longest_gap_s = 0

    def acknowledge(self, item):
        now = time.monotonic()
        self.acknowledged.add(item)
        self.longest_gap_s = max(self.longest_gap_s, now - self.last_success)
        self.last_success = now

    def violations(self, group):
        """Compares the outcomes with the log of the group's primary and returns the violations.
        A commit that a promotion rolled back is in no log. The stand-in's replicas receive
        each commit at once, so no acknowledged commit may be missing here."""
        found = {}
        for _, _, writes in group.primary.log:
            for item in writes:
                found[item] = found.get(item, 0) + 1
        problems = [f"acknowledged write {i} is lost" for i in self.acknowledged if i not in found]
        problems += [f"refused write {i} is kept" for i in self.refused if i in found]
        problems += [f"write {i} is kept {n} times" for i, n in found.items() if n > 1]
        return problems


async def write_once(client, ledger, item):
    """Writes an item, in every third attempt within a transaction, and reads it in the same
    session."""
    ledger.attempts += 1
    sent_commit = False
    in_transaction = ledger.attempts % 3 == 0
    try:
        if in_transaction:
            await client.query(f"{item}b", "BEGIN")
            await client.query(f"{item}w", f"WRITE {item} data")
            sent_commit = True
            await client.query(f"{item}c", "COMMIT")
        else:
            sent_commit = True
            await client.query(f"{item}w", f"WRITE {item} data")
    except Refused as refusal:
        code = refusal.args[0]
        (ledger.refused if code in NO_EFFECT_CODES or not sent_commit else ledger.unknown).add(item)
        if in_transaction and not sent_commit:
            await client.query(f"{item}r", "ROLLBACK")
        return
    except (ConnectionError, asyncio.TimeoutError, OSError):
        (ledger.unknown if sent_commit else ledger.refused).add(item)
        raise
    ledger.acknowledge(item)
    try:
        rows = await client.query(f"{item}v", f"READ {item}")
    except Refused:
        return
    if rows != ["data"]:
        raise AssertionError(f"session does not see its own write {item}: {rows}")


class System:
    """Entry instances, a store and one database group, for the time of a `with` block."""

    def __init__(self, binary, instances=3, lag_s=0.05, descriptors=1000, memory_mb=260,
                 client_limits=None, tenants=None, connections=32, idle_ms=3000, zones=1, groups=("g1",),
                 store=None, start_s=15):
        """`tenants` is the list of customers, or returns it for each version of the configuration,
        `connections` the limit of connections to a member,
        `idle_ms` the time after which an idle transaction ends, `zones` the number of zones of the
        instances, `start_s` the time until they have to be ready."""
        self.binary, self.lag_s, self.descriptors = binary, lag_s, descriptors
        self.connections, self.idle_ms = connections, idle_ms
        self.memory_mb, self.client_limits, self.tenants = memory_mb, client_limits, tenants
        self.directory = tempfile.mkdtemp(prefix="papayaspindle-e2e-")
        self.names = [f"instance-{n}" for n in range(instances)]
        self.zones, self.group_names, self.start_s = zones, groups, start_s
        self.store = store or Store()
        self.version = 0
        # Group of each database that isn't routed to the first one.
        self.backends = {}
        self.databases = {"main": "primary", "views": "bounded", "ledger": "read_your_writes"}
        self.public = set()

    async def __aenter__(self):
        await self.store.start()
        self.groups = {name: Group(self.store, name, 3, self.lag_s) for name in self.group_names}
        for group in self.groups.values():
            await group.start()
        self.group = self.groups[self.group_names[0]]
        self.configure()
        self.store.allow_copies_from_now()
        self.instances = [
            Instance(self.binary, self.directory, n, self.store.port, self.descriptors,
                     self.memory_mb, self.client_limits, self.tenants is not None,
                     f"z{number % self.zones + 1}") for number, n in enumerate(self.names)
        ]
        for instance in self.instances:
            await instance.prepare()
            await instance.start()
        await self.until(self.all_ready, self.start_s, "instances are ready")
        return self

    async def __aexit__(self, *_):
        for instance in self.instances:
            instance.send(signal.SIGCONT)
            instance.send(signal.SIGKILL)
            await instance.process.wait()

    def configure(self):
        self.version += 3
        routes = [
            {"name": f"r-{d}", "host": d, "prefix": "/", "routeType": kind, "timeoutMs": 800,
             "targetLatencyMs": 200, "priority": 1, "backend": self.backends.get(d, self.group_names[0]), "attempts": 2, "public": d in self.public,
             **({} if kind == "primary" else {"maxStalenessMs": 1500})}
            for d, kind in self.databases.items()
        ]
        config = {
            "version": self.version, "routes": routes,
            "backends": [{"name": g, "maxConns": self.connections, "syncReplicas": 0} for g in self.group_names],
            "limits": {"txIdleMs": self.idle_ms},
        }
        if self.tenants:
            config["tenants"] = self.tenants() if callable(self.tenants) else self.tenants
        self.store.put("op", "config", json.dumps(config).encode())

    async def all_ready(self):
        return all(await asyncio.gather(*[i.is_ready() for i in self.instances]))

    async def heartbeat(self):
        """Writes the members' rows again at the interval of the users' sites."""
        while True:
            await asyncio.sleep(1.2)
            for group in self.groups.values():
                group.publish()

    async def until(self, condition, limit_s, what):
        end = time.monotonic() + limit_s
        while not await condition():
            if time.monotonic() > end:
                raise AssertionError(f"not within {limit_s} s: {what}; logs in {self.directory}")
            await asyncio.sleep(0.05)
