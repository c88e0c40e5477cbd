#!/usr/bin/env python3
"""Checks the memory and descriptors of one instance with clients that are idle, that never
read or that request the largest answers.

usage: platform_bounds.py BINARY
Guards against an instance that exceeds the limits of its machine because of idle sessions,
clients that never read or answers of the largest size. The platform kills such an instance.
"""

import asyncio
import os
import sys

from harness import Client, Refused, System

# Limits of the smallest machine at the users' sites: 160 MB and 4,300 descriptors, of which
# 200 are for files.
MEMORY_KB = 160 * 1024
DESCRIPTORS = 4300
SOCKETS = DESCRIPTORS - 200
# About the number of sessions of the largest site, here all at one instance.
IDLE_SESSIONS = 3900
# Together with the rest of its line, slightly shorter than the longest message of 1 MiB.
LARGE_VALUE = "x" * 1_000_000
UNREAD_CLIENTS = 20
READS_AHEAD = 40


def memory_kb(instance):
    with open(f"/proc/{instance.process.pid}/status") as file:
        return next(int(line.split()[1]) for line in file if line.startswith("VmRSS"))


def check(instance, what):
    memory = memory_kb(instance)
    descriptors = len(os.listdir(f"/proc/{instance.process.pid}/fd"))
    print(f"{what}: {memory / 1024:.1f} MB, {descriptors} descriptors")
    assert memory < MEMORY_KB, f"{what}: {memory} KB"
    assert descriptors <= SOCKETS, f"{what}: {descriptors} descriptors"


async def idle_sessions(system, instance):
    sessions = []
    for number in range(IDLE_SESSIONS):
        client = await Client(instance).open("ledger")
        await client.query(f"idle{number}", f"SET name value-{number}")
        sessions.append(client)
    check(instance, f"{IDLE_SESSIONS} idle sessions")
    refused = 0
    for _ in range(2 * (SOCKETS - IDLE_SESSIONS)):
        try:
            sessions.append(await Client(instance).open("ledger"))
        except (OSError, ConnectionError, asyncio.TimeoutError):
            refused += 1
    assert refused > 0, "no session beyond the limit was closed"
    check(instance, "sessions beyond the limit")
    await sessions[0].query("still1", "WRITE item data")
    rows = await sessions[0].query("still2", "READ item")
    assert rows == ["data"], "an open session is not served at the limit"
    for client in sessions:
        client.close()

    async def are_closed():
        return len(os.listdir(f"/proc/{instance.process.pid}/fd")) < SOCKETS - IDLE_SESSIONS

    await system.until(are_closed, 10, "descriptors of closed sessions are free again")


async def clients_that_never_read(system, instance):
    writer = await Client(instance).open("ledger")
    await writer.query("large1", f"WRITE large {LARGE_VALUE}", timeout=10)
    rows = await writer.query("large2", "READ large", timeout=10)
    assert rows == [LARGE_VALUE], "the largest answer is not returned unchanged"
    unread = []
    for number in range(UNREAD_CLIENTS):
        client = await Client(instance).open("main")
        client.reader._transport.pause_reading()
        for read in range(READS_AHEAD):
            client.writer.write(f"QUERY u{number}x{read} READ large\r\n".encode())
        unread.append(client)
    for _ in range(20):
        await asyncio.sleep(0.25)
        assert memory_kb(instance) < MEMORY_KB, f"{memory_kb(instance)} KB"
    check(instance, f"{UNREAD_CLIENTS} clients that never read")

    async def is_served():
        try:
            client = await Client(instance).open("ledger")
            await client.query(f"beside{id(client)}", "WRITE item data")
            client.close()
            return True
        except (OSError, ConnectionError, Refused, asyncio.TimeoutError):
            return False

    await system.until(is_served, 10, "another client is served meanwhile")
    for client in unread:
        client.close()


async def run(binary):
    async with System(binary, instances=1, descriptors=DESCRIPTORS) as system:
        instance = system.instances[0]
        await idle_sessions(system, instance)
        await clients_that_never_read(system, instance)
        assert instance.process.returncode is None, "the instance has ended"


if __name__ == "__main__":
    asyncio.run(run(sys.argv[1]))
