#!/usr/bin/env python3
"""End-to-end run of the platform path: real processes, stand-ins of store and members.

usage: platform_path.py BINARY
Guards against: a path that does not serve, sessions that miss their own writes, promotions
that lose or double writes, routes that do not come into force, stops that cut requests.
"""

import asyncio
import signal
import sys
import time

from harness import Client, Ledger, Refused, System, write_once


async def load(system, ledger, stop, number):
    """A client that reconnects to the next instance after a failure."""
    count = 0
    while not stop.is_set():
        instance = system.instances[(number + count) % len(system.instances)]
        try:
            client = await Client(instance).open("ledger")
            while not stop.is_set():
                count += 1
                await write_once(client, ledger, f"c{number}x{count}")
                await asyncio.sleep(0.005)
            client.close()
        except (OSError, ConnectionError, Refused, asyncio.TimeoutError):
            count += 1
            await asyncio.sleep(0.02)


async def expect_code(system, database, code):
    async def matches():
        try:
            client = await Client(system.instances[0]).open(database)
            client.close()
            return code is None
        except Refused as refusal:
            return refusal.args[0] == code

    # The bound of the users' sites for a configuration to come into force.
    await system.until(matches, 3, f"{database} answers {code}")


async def run(binary):
    async with System(binary) as system:
        ledger, stop = Ledger(), asyncio.Event()
        clients = [asyncio.create_task(load(system, ledger, stop, n)) for n in range(6)]
        await asyncio.sleep(1)
        assert len(ledger.acknowledged) > 50, "the path serves"

        await expect_code(system, "unknown", "NODB")
        system.databases["added"] = "bounded"
        system.configure()
        await expect_code(system, "added", None)
        del system.databases["added"]
        system.store.forget_history()
        system.configure()
        await expect_code(system, "added", "NODB")

        old = system.group.primary
        old.crash()
        system.group.publish()
        crashed_at = time.monotonic()

        async def promoted():
            return system.group.primary is not old and ledger.last_success > crashed_at + 0.2

        # The users' bound for a change of primary is 7 s.
        await system.until(promoted, 7, "writes after the loss of the primary")
        gap = time.monotonic() - crashed_at
        old.restart()

        stopped = system.instances[0]
        stopped.send(signal.SIGTERM)
        status = await asyncio.wait_for(stopped.process.wait(), 7)
        assert status == 0, f"a stopped instance ends with {status}"
        await stopped.start()
        await system.until(system.all_ready, 10, "a restarted instance is ready")
        metrics = await system.instances[1].fetch_metrics()
        assert "papayaspindle_statement_served" in metrics, "metrics are served"
        await asyncio.sleep(0.5)
        stop.set()
        await asyncio.gather(*clients)
        problems = ledger.violations(system.group)
        assert not problems, problems[:5]
        assert "drain_started" in stopped.log_text(), "a stop is logged"
        print(
            f"{ledger.attempts} writes, {len(ledger.acknowledged)} acknowledged, "
            f"{len(ledger.unknown)} unknown, {len(ledger.refused)} refused, gap {gap:.1f} s"
        )


if __name__ == "__main__":
    asyncio.run(run(sys.argv[1]))
