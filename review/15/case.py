"""After a drill of the store, each instance lists only itself and grants a customer's whole rate."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins-3"))
from deployment import Client, Deployment, Record, Refused, now  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
COPY_AGE_S, AWAY_S = 5, 1
ZONES = ["z-a", "z-b", "z-c", "z-a", "z-b", "z-c"]
ROUTES = {"main": ("g1", "primary"), "views": ("g2", "bounded"), "ledger": ("g3", "read_your_writes")}
RATE, BURST = 30, 15
WINDOW_S, OVERRUN, SLACK = 5, 0.1, 20
ALLOWED = (RATE * WINDOW_S + BURST) * (1 + OVERRUN) + SLACK
TENANTS = [{"name": "hot", "apiKeys": ["k-hot"], "ratePerS": RATE, "burst": BURST, "priority": 1}]


async def flood(instance, record, number, sent):
    """A client of the customer that asks for more than its limit: 25 reads a second."""
    count = 0
    while True:
        client = Client(instance, record)
        try:
            await client.open("views", "k-hot")
            while True:
                count += 1
                ident = f"f{number}x{count}"
                sent[ident] = now()
                try:
                    await client.query(ident, "READ item1")
                except Refused:
                    pass
                await asyncio.sleep(max(0, sent[ident] + 0.04 - now()))
        except (Refused, OSError, asyncio.TimeoutError):
            await asyncio.sleep(0.1)
        finally:
            client.close()


def worst_window(times):
    """Returns the largest number of times in one window, and its begin."""
    worst, first = (0, 0), 0
    for last, time in enumerate(times):
        while time - times[first] >= WINDOW_S:
            first += 1
        worst = max(worst, (last - first + 1, times[first]))
    return worst


async def run(record):
    bounds = {"quotaWindowS": WINDOW_S, "quotaOverrun": OVERRUN, "quotaSlack": SLACK,
              "strictRevoke": False, "revokeMs": 5000}
    async with Deployment(record, ZONES, ["g1", "g2", "g3"], bounds=bounds, contracts=["tenants", "quota"],
                          tenants=TENANTS) as system:
        system.configure(ROUTES)
        await system.start_instances()
        await asyncio.sleep(20)
        sent = {}
        tasks = [asyncio.create_task(flood(i, record, n, sent)) for n, i in enumerate(system.instances)]
        await asyncio.sleep(10)
        if TROUBLE:
            await system.store.drill(COPY_AGE_S, AWAY_S)
        returned = now()
        await asyncio.sleep(45)
        for task in tasks:
            task.cancel()
        runs = sorted({ident: at for group in system.groups.values()
                       for at, _, ident, _, _, _ in reversed(group.reads) if ident in sent}.items(), key=lambda r: r[1])
        record.say(f"{len(sent)} requests sent, {len(runs)} run by members")
        broken = []
        for name, part in (("until the store's return", [t for _, t in runs if t < returned]),
                           ("since the store's return", [t for _, t in runs if t >= returned])):
            count, begin = worst_window(part)
            record.say(f"{name}: {count} requests in the worst {WINDOW_S} s (from {begin:.1f}); {ALLOWED:.0f} are allowed")
            if count > ALLOWED:
                broken.append(f"{count} requests of one customer ran in the {WINDOW_S} s from {begin:.1f}, "
                              f"{begin - returned:.1f} s after the store's return; {ALLOWED:.0f} are allowed")
        return broken


def main():
    record = Record(os.path.join(HERE, "record.txt"))
    try:
        broken = asyncio.run(asyncio.wait_for(run(record), 115))
    except Exception as error:  # pylint: disable=broad-except
        record.say(f"NOT RUN: {type(error).__name__} {error}")
        return 2
    for line in broken:
        record.say(f"BROKEN {line}")
    record.say("RESULT " + ("QUOTA is broken" if broken else "the rule held"))
    return 1 if broken else 0


sys.exit(main())
