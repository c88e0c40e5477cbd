#!/usr/bin/env python3
"""Checks that an instance stays within its memory and descriptors whatever other instances and
members, operators and the store send, and whatever clients send inside open transactions.

usage: platform_misuse_peers.py BINARY SCENARIO
Guards against an instance that the platform kills because links leave their messages unfinished,
many clients send long statements inside transactions at the same time, or a member's answer
doesn't end. The checks are those of platform_misuse.py.
"""

import asyncio
import struct
import sys

from harness import System
from platform_misuse import (CLIENT_LIMITS, DESCRIPTORS, LARGE, LEGAL_SESSIONS, MEMORY_MB,
                             SMALL_SITE_MB, TENANTS, RawClient, check, is_served, until_idle)
from standin import HOST

LINKS = 12
MESSAGES_PER_LINK = 12
# Without a body, each message is only a stream and its header fields.
BODILESS_LINKS = 100
BODILESS_PER_LINK = 1000
# The longest path that fits into one HTTP/2 frame with the other fields.
LONG_PATH_BYTES = 15_000
TRANSACTIONS = 60
FORWARDED_TRANSACTIONS = 120
CONNECTIONS_PER_MEMBER = 400
PIECE_BYTES = 15_000
# Sent after the other bytes of all statements.
LAST_BYTES = 2_000
# A value is sent to the other instance with each statement of its session.
VALUE = b"v" * 400_000
# Less than the statement timeout of the routes, 800 ms.
MEMBER_DELAY_S = 0.5
READERS = 4
OPERATORS = 100
OPERATOR_REQUESTS = 50_000
# Transactions stay open while the crowd prepares its statements.
IDLE_MS = 20_000

PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
DATA, HEADERS, SETTINGS = 0, 1, 4
ACKNOWLEDGE, END_HEADERS = 1, 4
MAX_FRAME_BYTES = 16_384


def frame(kind, flags, stream, payload=b""):
    return struct.pack(">I", len(payload))[1:] + struct.pack(">BBI", kind, flags, stream) + payload


def length(size):
    """An HPACK integer with a prefix of 7 bits (RFC 7541, section 5.1)."""
    if size < 127:
        return bytes([size])
    encoded, rest = bytearray([127]), size - 127
    while rest >= 128:
        encoded.append(rest % 128 + 128)
        rest //= 128
    return bytes(encoded + bytes([rest]))


def header(name, value):
    """A literal header field without indexing."""
    return b"\0" + length(len(name)) + name + length(len(value)) + value


def request_headers(stream, method=b"Statement"):
    fields = [(b":method", b"POST"), (b":scheme", b"http"), (b":authority", b"peer"),
              (b":path", b"/peer/" + method)]
    return frame(HEADERS, END_HEADERS, stream, b"".join(header(*field) for field in fields))


class OperatorPort:
    """The port of an instance that RawClient connects to."""

    def __init__(self, port):
        self.port = port


class PeerLink:
    """An HTTP/2 connection to the peer port of an instance that finishes no message."""

    async def open(self, instance):
        self.reader, self.writer = await asyncio.open_connection(HOST, instance.metrics_port + 1)
        self.writer.write(PREFACE + frame(SETTINGS, 0, 0) + frame(SETTINGS, ACKNOWLEDGE, 0))
        self.discard = asyncio.create_task(self._discard())
        return self

    async def _discard(self):
        try:
            while await self.reader.read(65536):
                pass
        except OSError:
            pass

    async def send(self, data):
        try:
            self.writer.write(data)
            await self.writer.drain()
        except OSError:
            pass

    def close(self):
        self.discard.cancel()
        self.writer.transport.abort()


async def unfinished_peer_messages(system):
    """All messages grow at the same time and none ends."""
    links = [await PeerLink().open(system.instances[0]) for _ in range(LINKS)]
    streams = range(1, 2 * MESSAGES_PER_LINK, 2)
    for link in links:
        await link.send(b"".join(request_headers(stream) for stream in streams))
    for start in range(0, len(LARGE), MAX_FRAME_BYTES):
        piece = LARGE[start:start + MAX_FRAME_BYTES]
        for link in links:
            await link.send(b"".join(frame(DATA, 0, stream, piece) for stream in streams))
    return links


async def bodiless_peer_messages(system):
    """Messages that consist of their header fields."""
    links = [await PeerLink().open(system.instances[0]) for _ in range(BODILESS_LINKS)]
    data = b"".join(request_headers(stream) for stream in range(1, 2 * BODILESS_PER_LINK, 2))
    for link in links:
        await link.send(data)
    return links


async def long_peer_headers(system):
    """Messages whose header fields are long."""
    links = [await PeerLink().open(system.instances[0]) for _ in range(LINKS)]
    for stream in range(1, 2 * BODILESS_PER_LINK, 2):
        data = request_headers(stream, b"x" * LONG_PATH_BYTES)
        for link in links:
            await link.send(data)
    return links


async def answer_of(client):
    lines = []
    while not lines or not lines[-1].startswith(b"READY"):
        lines.append(await asyncio.wait_for(client.reader.readline(), 10))
        assert lines[-1], "a client was closed"
    return lines


async def open_transaction(instance, number):
    client = await RawClient(instance).open()
    # A member that is still opening connections answers BUSY, and a customer's rate limit TOOMANY.
    for _ in range(50):
        await client.send(b"QUERY t%d BEGIN\r\n" % number)
        await answer_of(client)
        await client.send(b"QUERY t%da WRITE small%d x\r\n" % (number, number))
        if (await answer_of(client))[-1].startswith(b"READY T"):
            return client
        await client.send(b"QUERY t%dr ROLLBACK\r\n" % number)
        await answer_of(client)
        await asyncio.sleep(0.1)
    raise AssertionError("a transaction could not be opened")


async def open_transactions(system, count):
    """Opens transactions that have run a statement at a member."""
    instances = system.instances
    return await asyncio.gather(
        *(open_transaction(instances[n % len(instances)], n) for n in range(count)))


async def statements_in_transactions(system, count=TRANSACTIONS):
    """Long statements in small pieces, whose last pieces are sent at the same time. The members
    answer late, so that the statements run at the same time."""
    clients = await open_transactions(system, count)
    system.group.stall_item, system.group.stall_s = "held", MEMBER_DELAY_S
    texts = [b"QUERY t%db WRITE held%d " % (n, n) + LARGE + b"\r\n" for n in range(len(clients))]
    end = len(texts[0]) - LAST_BYTES
    for start in range(0, end, PIECE_BYTES):
        for client, text in zip(clients, texts):
            await client.send(text[start:min(start + PIECE_BYTES, end)])
    for client, text in zip(clients, texts):
        await client.send(text[end:])
    return clients


async def statements_in_forwarded_transactions(system):
    """The same at two instances, one of which forwards the statements to the other."""
    return await statements_in_transactions(system, FORWARDED_TRANSACTIONS)


async def values_in_forwarded_transactions(system):
    """Short statements of sessions with a long value, inside forwarded transactions."""
    clients = await open_transactions(system, FORWARDED_TRANSACTIONS)
    for number, client in enumerate(clients):
        await client.send(b"QUERY t%db SET name " % number + VALUE + b"\r\n")
    for instance in system.instances:
        await until_idle(instance, 1)
    system.group.stall_item, system.group.stall_s = "held", MEMBER_DELAY_S
    for number, client in enumerate(clients):
        await client.send(b"QUERY t%dc WRITE held%d x\r\n" % (number, number))
    return clients


async def legal_transactions(system):
    """All sessions of a small site send long statements inside transactions at the same time.
    Guards against limits that close or don't answer clients inside them."""
    clients = await open_transactions(system, LEGAL_SESSIONS)
    for statement in range(2):
        for number, client in enumerate(clients):
            text = b"QUERY l%d_%d WRITE item%d " % (number, statement, number) + LARGE + b"\r\n"
            asyncio.create_task(client.send(text))
        for client in clients:
            await answer_of(client)
    return clients


async def rows_without_end(system):
    system.group.endless_item = "endless"
    clients = [await RawClient(system.instances[0]).open() for _ in range(READERS)]
    for number, client in enumerate(clients):
        await client.send(b"QUERY r%d READ endless\r\n" % number)
    await asyncio.sleep(2)
    return clients


async def operator_requests(system):
    """Requests for metrics in one go, whose responses aren't read."""
    crowd = []
    for _ in range(OPERATORS):
        client = RawClient(system.instances[0])
        client.instance = OperatorPort(system.instances[0].metrics_port)
        await client.connect()
        client.stop_reading()
        crowd.append(client)
    data = b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n" * OPERATOR_REQUESTS
    await asyncio.wait([asyncio.create_task(client.send(data)) for client in crowd], timeout=5)
    return crowd


async def store_answer_without_end(system):
    system.store.mode = "endless"
    system.instances[0].proxy.reset()
    await asyncio.sleep(4)
    system.store.mode = "ok"
    return []


SCENARIOS = {
    "unfinished_peer_messages": unfinished_peer_messages,
    "bodiless_peer_messages": bodiless_peer_messages,
    "long_peer_headers": long_peer_headers,
    "statements_in_transactions": statements_in_transactions,
    "statements_in_forwarded_transactions": statements_in_forwarded_transactions,
    "values_in_forwarded_transactions": values_in_forwarded_transactions,
    "legal_transactions": legal_transactions,
    "operator_requests": operator_requests,
    "store_answer_without_end": store_answer_without_end,
    "rows_without_end": rows_without_end,
}


async def run(binary, scenario):
    is_forwarded = scenario.endswith("_in_forwarded_transactions")
    is_legal = scenario == "legal_transactions"
    memory_mb = SMALL_SITE_MB if is_legal else MEMORY_MB
    async with System(binary, instances=2 if is_forwarded else 1, descriptors=DESCRIPTORS,
                      memory_mb=memory_mb, client_limits=None if is_legal else CLIENT_LIMITS,
                      tenants=TENANTS if is_forwarded else None,
                      connections=CONNECTIONS_PER_MEMBER,
                      idle_ms=IDLE_MS) as system:
        for instance in system.instances:
            # A new limiter of a customer's rate grants nothing for 11 s.
            write = f"WRITE calm {LARGE.decode()}"
            await system.until(lambda: is_served(instance, write), 20, "a legal message is answered")
        crowd = await SCENARIOS[scenario](system)
        for instance in system.instances:
            await until_idle(instance)
            try:
                await system.until(lambda: is_served(instance, "WRITE ordinary data"), 20,
                                   "an ordinary request is answered")
            finally:
                check(instance, memory_mb, DESCRIPTORS)
        for member in crowd:
            member.close()


if __name__ == "__main__":
    asyncio.run(run(sys.argv[1], sys.argv[2]))
