#!/usr/bin/env python3
"""End-to-end test of the platform path with real processes and stand-ins for the store and
the members.

usage: platform_path.py BINARY
Guards against instances that do not serve, sessions that don't see their own writes,
promotions that lose or repeat writes, routes that do not come into force, and stops that
interrupt requests.
"""

import asyncio
import signal
import sys
import time

from harness import Client, Refused, System, WriteLedger, write_once


async def load(system, ledger, stop, number):
    """Writes until `stop` is set; after a failure, reconnects to the next instance."""
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

    # At the users' sites, a configuration must come into force within 3 s.
    await system.until(matches, 3, f"{database} answers {code}")


async def run(binary):
    async with System(binary) as system:
        ledger, stop = WriteLedger(), asyncio.Event()
        clients = [asyncio.create_task(load(system, ledger, stop, n)) for n in range(6)]
        await asyncio.sleep(1)
        assert len(ledger.acknowledged) > 50, "the path does not serve writes"

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

        # At the users' sites, a change of primary may take 7 s at most.
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
        assert "papayaspindle_statement_served" in metrics, "metrics are not served"
        await asyncio.sleep(0.5)
        stop.set()
        await asyncio.gather(*clients)
        problems = ledger.violations(system.group)
        assert not problems, problems[:5]
        assert "drain_started" in stopped.log_text(), "the stop is not logged"
        print(
            f"{ledger.attempts} writes, {len(ledger.acknowledged)} acknowledged, "
            f"{len(ledger.unknown)} unknown, {len(ledger.refused)} refused, gap {gap:.1f} s"
        )


if __name__ == "__main__":
    asyncio.run(run(sys.argv[1]))
