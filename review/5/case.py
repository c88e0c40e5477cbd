"""Kills all instances while a promotion is being prepared in a group with syncReplicas 1, on a platform
that checks no fences; the primary was down for 3 s and comes back with its log."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))
from platform_standins import System, main  # noqa: E402

RECOVER_S = 12


async def scenario(trouble):
    async with System(FOLDER, fenced=False, sync=1) as system:
        group, record = system.group, system.record
        primary = group.primary
        system.operate(12, "main", 0.05)
        started = time.monotonic()
        await asyncio.sleep(4)
        fault = time.monotonic()
        if trouble:
            primary.crash()
            record.say(f"trouble: {primary.name} crashes (srv_crash primary, 3 s)")
            await asyncio.sleep(0.9)
            system.kill_all()
            record.say("trouble: all processes of the system are killed (final fault kill_all, 1 s)")
            await asyncio.sleep(1.0)
            await system.start_all()
            record.say("trouble: the machines are back")
            await asyncio.sleep(1.1)
            await primary.restart()
            record.say(f"trouble: {primary.name} is back with its log")
        back = time.monotonic()
        await asyncio.sleep(RECOVER_S + 12)
        before, of_before = system.served(started, fault)
        after, of_after = system.served(back + RECOVER_S, time.monotonic() - 2)
        paused = [m.name for m in group.members.values() if m.paused_term]
        record.say(f"before the fault: {before} of {of_before} requests served")
        record.say(f"sent later than {RECOVER_S} s after all are back: {after} of {of_after} served")
        record.say(f"primary: {getattr(group.primary, 'name', 'none')}; paused replicas: {paused}")
        is_broken = of_after > 0 and before * 4 >= of_before and after * 4 < of_after
        record.say("RECOVER is broken" if is_broken else "RECOVER is kept")
        return is_broken


main(scenario)
