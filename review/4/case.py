"""On a platform that checks no fences, sends writes to a group with syncReplicas 1 while one replica can't
reach the store and the other receives nothing, and then crashes the primary."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))
from platform_standins import System, main  # noqa: E402


async def scenario(trouble):
    async with System(FOLDER, fenced=False, sync=1) as system:
        group, record = system.group, system.record
        primary, near, deaf = group.members.values()
        broken = []

        def on_promotion(member):
            missing = system.missing(member)
            broken.extend(missing)
            record.say(f"check: {member.name} is promoted; {len(missing)} of "
                       f"{len(system.acknowledged)} acknowledged writes aren't in its log")

        group.promoted = on_promotion
        system.load(9, "main", 0.03)
        await asyncio.sleep(3)
        if trouble:
            near.report()
            near.cut_from_store = True
            record.say(f"trouble: {near.name} is cut off from the store (srv_cut, 5 s)")
            await asyncio.sleep(1.5)
            deaf.deaf = True
            record.say(f"trouble: {deaf.name} receives nothing (replica_lag deaf crash, 6.5 s)")
            await asyncio.sleep(2.4)
            primary.crash()
            record.say(f"trouble: {primary.name} crashes")
            await asyncio.sleep(1.1)
            near.cut_from_store = False
            near.report()
            record.say(f"trouble: {near.name} reaches the store again")
            await asyncio.sleep(1.5)
            deaf.deaf = False
            await primary.restart()
            record.say("trouble: over")
        else:
            await asyncio.sleep(6.5)
        await asyncio.sleep(6)
        lost = system.missing(group.primary)
        record.say(f"end: {len(system.acknowledged)} writes acknowledged, {len(lost)} of them not in "
                   f"the log of the primary {group.primary.name}")
        for ident in broken[:5]:
            record.say(f"lost: {ident}")
        record.say("LOST is broken" if broken else "LOST is kept")
        return bool(broken)


main(scenario)
