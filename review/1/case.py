"""Cuts the primary off from the store on a platform that checks no fences, while a route is removed whose
transactions are still open."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))
from platform_standins import Answer, Client, System, main  # noqa: E402

PAUSE_S = 2.7  # below txIdleMs (3 s)


async def transact_forever(system, client, database):
    """Sends transactions of one write with a pause before the COMMIT."""
    while True:
        try:
            if client.writer is None:
                await client.open(database)
            await client.query("BEGIN")
            try:
                await client.query(f"WRITE k{client.number}x{client.count} data")
                await asyncio.sleep(PAUSE_S)
                ident, _ = await client.query("COMMIT")
                system.acknowledged[ident] = True
            except Answer as refusal:
                if client.state != "I":
                    await client.query("ROLLBACK")
                if refusal.args[0] == "NODB":
                    return
            await asyncio.sleep(0.2)
        except (Answer, OSError, ConnectionError, asyncio.TimeoutError):
            client.close()
            await asyncio.sleep(0.2)


async def scenario(trouble):
    routes = {"main": "primary", "other": "primary"}
    async with System(FOLDER, fenced=False, sync=0, routes=routes) as system:
        group, record = system.group, system.record
        primary = group.primary
        for number in range(12):
            client = Client(system, system.instances[number % 3], number)
            system.tasks.append(asyncio.create_task(transact_forever(system, client, "other")))
            await asyncio.sleep(0.24)
        await asyncio.sleep(2)
        if trouble:
            primary.cut_from_store = True
            record.say(f"trouble: {primary.name} is cut off from the store (primary_cut core, 5 s)")
        await asyncio.sleep(4)
        del system.routes["other"]
        system.configure()
        record.say("plan: the route of the database 'other' is removed (config_change route)")
        await asyncio.sleep(1)
        if trouble:
            primary.cut_from_store = False
            record.say("trouble: over")
        await asyncio.sleep(7)
        broken = sorted(i for i in group.run_at_old_primary if i in system.acknowledged)
        lost = system.missing(group.primary)
        record.say(f"end: {len(system.acknowledged)} transactions acknowledged; "
                   f"{len(group.run_at_old_primary)} committed at the old primary after the "
                   f"promotion, {len(broken)} of them acknowledged; {len(lost)} acknowledged ones "
                   f"are in no log")
        for ident in broken[:5]:
            record.say(f"committed at the old primary and acknowledged: {ident}")
        record.say("ONE is broken" if broken else "ONE is kept")
        return bool(broken)


main(scenario)
