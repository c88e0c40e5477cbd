"""Replaces a replica of a group with syncReplicas 1 as planned work, on a platform that checks no fences,
while the other replica receives nothing and the primary crashes."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))
from platform_standins import System, main  # noqa: E402


async def scenario(trouble):
    async with System(FOLDER, fenced=False, sync=1) as system:
        group, record = system.group, system.record
        primary, leaving, deaf = group.members.values()
        broken = []

        def on_promotion(member):
            missing = system.missing(member)
            broken.extend(missing)
            record.say(f"check: {member.name} is promoted; {len(missing)} of "
                       f"{len(system.acknowledged)} acknowledged writes aren't in its log, "
                       f"{len(system.missing(leaving))} aren't in the log of {leaving.name}")

        group.promoted = on_promotion
        system.load(9, "main", 0.03)
        await asyncio.sleep(4)
        leaving.draining = True
        leaving.report()
        record.say(f"plan: {leaving.name} reports that it is draining (release)")
        await asyncio.sleep(0.5)
        if trouble:
            deaf.deaf = True
            record.say(f"trouble: {deaf.name} receives nothing (replica_lag deaf crash, 6 s)")
        await asyncio.sleep(2)
        if trouble:
            primary.crash()
            record.say(f"trouble: {primary.name} crashes")
            await asyncio.sleep(4)
            deaf.deaf = False
            await primary.restart()
            record.say("trouble: over")
        await asyncio.sleep(5)
        leader = group.primary
        lost = system.missing(leader)
        record.say(f"end: {len(system.acknowledged)} writes acknowledged, {len(lost)} of them not in "
                   f"the log of the primary {getattr(leader, 'name', 'none')}")
        for ident in broken[:5]:
            record.say(f"lost: {ident}")
        record.say("LOST is broken" if broken else "LOST is kept")
        return bool(broken)


main(scenario)
