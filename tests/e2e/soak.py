#!/usr/bin/env python3
"""Randomized soak test. Faults are injected into real processes from outside, and the outcomes
that clients received are compared with the log of the primary.

usage: soak.py BINARY [--seeds 1,2,...] [--seconds S]
Prints one line for each seed. The exit status is 1 when a guarantee was violated or the
service did not recover.
"""

import argparse
import asyncio
import random
import signal
import sys

from harness import System, WriteLedger
from platform_path import load

PROXY_MODES = ["delay", "silent", "one_way", "refuse"]


async def inject_faults(system, rng, end):
    """Starts random faults, which may overlap, until `end` in the time of the event loop."""
    loop = asyncio.get_running_loop()

    def later(delay, action):
        loop.call_later(delay, action)

    def set_mode(proxy, mode):
        proxy.mode = mode

    while loop.time() < end:
        kind = rng.choice(["kill", "stop", "term", "member", "primary", "store", "proxy", "reset", "config"])
        instance = rng.choice(system.instances)
        member = rng.choice(list(system.group.members.values()))
        length = rng.uniform(0.3, 3)
        if kind == "kill" or kind == "term":
            instance.send(signal.SIGKILL if kind == "kill" else signal.SIGTERM)
            await instance.process.wait()
            await instance.start()
        elif kind == "stop":
            instance.send(signal.SIGSTOP)
            later(length, lambda i=instance: i.send(signal.SIGCONT))
        elif kind == "member" or kind == "primary":
            target = system.group.primary if kind == "primary" else member
            others = [m for m in system.group.members.values() if m is not target and m.is_alive]
            if target.is_alive and others:
                target.crash()
                system.group.publish()
                later(length, target.restart)
        elif kind == "store":
            system.store.mode = rng.choice(["busy", "lost"])
            later(length, lambda: setattr(system.store, "mode", "ok"))
        elif kind == "proxy":
            proxy = rng.choice([instance.proxy, member.proxy])
            set_mode(proxy, rng.choice(PROXY_MODES))
            later(length, lambda p=proxy: set_mode(p, "pass"))
        elif kind == "reset":
            rng.choice([instance.proxy, member.proxy]).reset()
        else:
            system.configure()
        await asyncio.sleep(rng.uniform(0.05, 0.6))


async def run(binary, seed, seconds):
    rng = random.Random(seed)
    async with System(binary, instances=3) as system:
        ledger, stop = WriteLedger(), asyncio.Event()
        clients = [asyncio.create_task(load(system, ledger, stop, n)) for n in range(8)]
        loop = asyncio.get_running_loop()
        await inject_faults(system, rng, loop.time() + seconds)
        await asyncio.sleep(3.2)
        for member in system.group.members.values():
            if not member.is_alive:
                member.restart()
        last_success_at_end_of_faults = ledger.last_success

        async def serves():
            return ledger.last_success > last_success_at_end_of_faults + 0.1

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
    all_passed = True
    for seed in arguments.seeds.split(","):
        try:
            all_passed = asyncio.run(run(arguments.binary, int(seed), arguments.seconds)) and all_passed
        except AssertionError as problem:
            print(f"seed {seed}: {problem}", flush=True)
            all_passed = False
    sys.exit(0 if all_passed else 1)


if __name__ == "__main__":
    main()
