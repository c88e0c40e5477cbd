"""After a drill of the store, some instances never apply an acknowledged configuration."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins-3"))
from deployment import Client, Deployment, Record, Refused, now  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
COPY_AGE_S, AWAY_S = 6, 1
# Bounds of the deployment: configApplyMs 3,000, stretched by maxSkewMs 12,000 at most.
APPLY_S = 3 + 12
ZONES = ["z-a", "z-b", "z-c", "z-a"]
ROUTES = {"main": ("g1", "primary"), "views": ("g2", "bounded"), "ledger": ("g3", "read_your_writes")}


async def try_read(instance, record, database, ident):
    """Returns what the client is told: `served`, a code, or `none`."""
    client = Client(instance, record)
    try:
        await client.open(database)
        await client.query(ident, "READ item1")
        return "served"
    except Refused as refusal:
        return refusal.args[0]
    except (OSError, asyncio.TimeoutError):
        return "none"
    finally:
        client.close()


def ran_at(system, ident):
    """Returns the service that ran the request."""
    return next((g.name for g in system.groups.values() if any(r[2] == ident for r in g.reads)), "-")


async def load(instance, record, number):
    """An ordinary client: a few reads and writes a second."""
    count = 0
    while True:
        client = Client(instance, record)
        try:
            await client.open("ledger")
            while True:
                count += 1
                await client.query(f"w{number}x{count}", f"WRITE k{number}x{count} data")
                await client.query(f"r{number}x{count}", f"READ k{number}x{count}")
                await asyncio.sleep(0.3)
        except (Refused, OSError, asyncio.TimeoutError):
            await asyncio.sleep(0.2)
        finally:
            client.close()


async def run(record):
    async with Deployment(record, ZONES, ["g1", "g2", "g3"]) as system:
        system.configure(ROUTES | {"dropped": ("g1", "primary"), "moved": ("g1", "primary")})
        await system.start_instances()
        clients = [asyncio.create_task(load(i, record, n)) for n, i in enumerate(system.instances)]
        await asyncio.sleep(10)
        if TROUBLE:
            await system.store.drill(COPY_AGE_S, AWAY_S)
        # Soon after the return, the operator drops two routes, and then adds one of them
        # again for another service, and a new one.
        await asyncio.sleep(0.5)
        system.configure(ROUTES)
        await asyncio.sleep(0.3)
        system.configure(ROUTES | {"moved": ("g2", "primary"), "added": ("g1", "primary")})
        acknowledged = now()
        await asyncio.sleep(APPLY_S + 2)
        broken = []
        for attempt in range(2):
            for instance in system.instances:
                ident = f"p{attempt}-{instance.name}"
                dropped = await try_read(instance, record, "dropped", ident + "-d")
                added = await try_read(instance, record, "added", ident + "-a")
                await try_read(instance, record, "moved", ident + "-m")
                service = ran_at(system, ident + "-m")
                record.say(f"{now() - acknowledged:.1f} s after the acknowledgement, {instance.name}:"
                           f" dropped route {dropped}, added route {added}, moved route run by {service}")
                if dropped == "served":
                    broken.append(f"{instance.name} runs a request with the dropped route")
                if added == "NODB":
                    broken.append(f"{instance.name} refuses the added route with NODB")
                if service == "g1":
                    broken.append(f"{instance.name} has a request run by the old service g1, the route names g2")
            await asyncio.sleep(4)
        for task in clients:
            task.cancel()
        return broken


def main():
    record = Record(os.path.join(HERE, "record.txt"))
    try:
        broken = asyncio.run(asyncio.wait_for(run(record), 110))
    except Exception as error:  # pylint: disable=broad-except
        record.say(f"NOT RUN: {type(error).__name__} {error}")
        return 2
    for line in sorted(set(broken)):
        record.say(f"BROKEN {line}")
    record.say("RESULT " + ("CONFIG is broken" if broken else "the rule held"))
    return 1 if broken else 0


sys.exit(main())
