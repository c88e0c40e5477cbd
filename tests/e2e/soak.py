#!/usr/bin/env python3
"""Randomized soak: faults are injected from outside into real processes, and the promises
are checked from what clients and members see.

usage: soak.py BINARY [--seeds 1,2,...] [--seconds S]
Prints one line for each seed; exit status 1 when a promise was broken.
"""

import argparse
import asyncio
import random
import signal
import sys

from harness import Ledger, System
from platform_path import load

PROXY_MODES = ["delay", "silent", "one_way", "refuse"]


async def disturb(system, chance, end):
    """Injects faults in series until the time is over; they may overlap."""
    loop = asyncio.get_running_loop()

    def later(delay, action):
        loop.call_later(delay, action)

    def set_mode(proxy, mode):
        proxy.mode = mode

    while loop.time() < end:
        kind = chance.choice(["kill", "stop", "term", "member", "primary", "store", "proxy", "reset", "config"])
        instance = chance.choice(system.instances)
        member = chance.choice(list(system.group.members.values()))
        length = chance.uniform(0.3, 3)
        if kind == "kill" or kind == "term":
            instance.send(signal.SIGKILL if kind == "kill" else signal.SIGTERM)
            await instance.process.wait()
            await instance.start()
        elif kind == "stop":
            instance.send(signal.SIGSTOP)
            later(length, lambda i=instance: i.send(signal.SIGCONT))
        elif kind == "member" or kind == "primary":
            target = system.group.primary if kind == "primary" else member
            others = [m for m in system.group.members.values() if m is not target and m.lives]
            if target.lives and others:
                target.crash()
                system.group.publish()
                later(length, target.restart)
        elif kind == "store":
            system.store.mode = chance.choice(["busy", "lost"])
            later(length, lambda: setattr(system.store, "mode", "ok"))
        elif kind == "proxy":
            proxy = chance.choice([instance.proxy, member.proxy])
            set_mode(proxy, chance.choice(PROXY_MODES))
            later(length, lambda p=proxy: set_mode(p, "pass"))
        elif kind == "reset":
            chance.choice([instance.proxy, member.proxy]).reset()
        else:
            system.configure()
        await asyncio.sleep(chance.uniform(0.05, 0.6))


async def run(binary, seed, seconds):
    chance = random.Random(seed)
    async with System(binary, instances=3) as system:
        ledger, stop = Ledger(), asyncio.Event()
        clients = [asyncio.create_task(load(system, ledger, stop, n)) for n in range(8)]
        loop = asyncio.get_running_loop()
        await disturb(system, chance, loop.time() + seconds)
        await asyncio.sleep(3.2)
        for member in system.group.members.values():
            if not member.lives:
                member.restart()
        calm_at = ledger.last_success

        async def serves():
            return ledger.last_success > calm_at + 0.1

        await system.until(serves, 12, "service after the faults")
        stop.set()
        await asyncio.gather(*clients)
        problems = ledger.violations(system.group)
        print(
            f"seed {seed}: {ledger.attempts} writes, {len(ledger.acknowledged)} acknowledged, "
            f"{len(ledger.unknown)} unknown, {len(ledger.refused)} refused, "
            f"{'broken: ' + '; '.join(problems[:3]) if problems else 'promises kept'}"
            f"{' (' + system.directory + ')' if problems else ''}",
            flush=True,
        )
        return not problems


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("binary")
    parser.add_argument("--seeds", default="1,2")
    parser.add_argument("--seconds", type=float, default=6)
    arguments = parser.parse_args()
    kept = True
    for seed in arguments.seeds.split(","):
        try:
            kept = asyncio.run(run(arguments.binary, int(seed), arguments.seconds)) and kept
        except AssertionError as problem:
            print(f"seed {seed}: {problem}", flush=True)
            kept = False
    sys.exit(0 if kept else 1)


if __name__ == "__main__":
    main()
