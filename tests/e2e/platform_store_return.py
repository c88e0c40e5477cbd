#!/usr/bin/env python3
"""Checks real processes whose store comes back from an older copy of itself.

usage: platform_store_return.py BINARY SCENARIO [--instances N] [--zones N] [--age S] [--reads N] [--writes N]
Guards against instances that keep their copies of the store's tables after such a return: they
handle requests as only an older configuration allows, and their calls exceed the store's rates.
Also guards against instances that replace a configuration that was in force by the older one of
the copy, until the operator has written the newest again.
Prints what clients saw and the calls to the store.
"""

import argparse
import asyncio
import collections
import signal
import sys
import time

from harness import Client, Refused, System
from rowstore import Store

# Rates and the time of an answer at the users' smallest sites.
READS_PER_S, WRITES_PER_S, ANSWER_S = 2000, 400, 0.004
# At the users' sites, a configuration must be in force within 3 s (5 s where there are readers).
APPLY_S, APPLY_LARGE_S = 3, 5
MANY_INSTANCES = 12
AWAY_S = 1
# Time after the bound during which requests are checked.
CHECK_S = 4


class Scenario:
    """What happens around the change of the configuration."""

    def __init__(self, returns=1, change_after_s=0.5, kills=0, age_s=8, instances=7, drops_history=False,
                 rewrite_s=0, resets_calls=True, changes_before=False):
        """With `changes_before`, the change is in force when the store is lost, and the copy is of
        the configuration before it. `rewrite_s` and `resets_calls` are as in Store.return_to_copy."""
        self.returns, self.change_after_s, self.kills = returns, change_after_s, kills
        self.age_s, self.instances, self.drops_history = age_s, instances, drops_history
        self.rewrite_s, self.resets_calls = rewrite_s, resets_calls
        self.changes_before = changes_before


SCENARIOS = {
    "none": Scenario(returns=0),
    "history": Scenario(returns=0, drops_history=True),
    "once": Scenario(),
    "at_return": Scenario(change_after_s=0),
    "brief": Scenario(age_s=2),
    "old": Scenario(age_s=18),
    "twice": Scenario(returns=2),
    "restart": Scenario(kills=1),
    "restart_all": Scenario(kills=7),
    "readers": Scenario(instances=14),
    "rewritten_late": Scenario(rewrite_s=0.7, changes_before=True),
    "rewritten_late_twice": Scenario(rewrite_s=0.7, changes_before=True, returns=2, age_s=12),
    "rewritten_late_readers": Scenario(rewrite_s=0.7, changes_before=True, instances=14, age_s=10),
    "calls_held": Scenario(resets_calls=False, changes_before=True),
    "calls_held_late": Scenario(resets_calls=False, rewrite_s=0.7, changes_before=True),
}


class Probes:
    """Requests with routes that the change drops, adds and moves to another group."""

    def __init__(self, system):
        self.system = system
        self.runs = {}  # identifier -> group that ran the request
        self.count = 0
        self.refusals = collections.Counter()  # (database, code) of routes that must be served
        for name, group in system.groups.items():
            group.on_statement = lambda caller, ident, has_run, name=name: self.runs.setdefault(ident, name)

    async def ask(self, instance):
        """Returns what is handled as only the older configuration allows."""
        older = []
        for database in ("dropped", "added", "moved"):
            self.count += 1
            ident = f"probe{self.count}"
            client = Client(instance)
            try:
                await client.open(database)
                await client.query(ident, "READ item")
                code = None
            except Refused as refusal:
                code = refusal.args[0]
            except (OSError, asyncio.TimeoutError):
                code = "none"
            finally:
                client.close()
            if (database == "dropped" and code is None) or (database == "added" and code == "NODB"):
                older.append(database)
            if database == "moved" and self.runs.get(ident) == "g1":
                older.append(database)
            if database != "dropped" and code is not None:
                self.refusals[database, code] += 1
        return older

    async def ask_until(self, end):
        """Asks all instances until `end`. Returns the number of requests, the number of those that
        are handled as only the older configuration allows, and the instances that did so."""
        cases, asked, behind = 0, 0, set()
        while time.monotonic() < end:
            answers = await asyncio.gather(*[self.ask(i) for i in self.system.instances])
            asked += 3 * len(answers)
            for instance, older in zip(self.system.instances, answers):
                cases += len(older)
                if older:
                    behind.add(instance.name)
            await asyncio.sleep(0.5 if len(answers) < 50 else 1)
        return asked, cases, behind


async def drop_history(store):
    while True:
        store.forget_history()
        await asyncio.sleep(0.01)


def count_calls(store, since):
    """Returns the calls in each second from `since` on."""
    calls = collections.Counter()
    for (second, _), number in store.calls.items():
        calls[second - int(since)] += number
    last = int(time.monotonic() - since)
    return [calls[second] for second in range(last)]


def change_routes(system):
    del system.databases["dropped"]
    system.databases["added"] = "primary"
    system.backends["moved"] = "g2"
    system.configure()


async def lose_store(system, scenario):
    for number in range(scenario.returns):
        if number > 0:
            await asyncio.sleep(3)
        lost = await system.store.return_to_copy(scenario.age_s, AWAY_S, scenario.rewrite_s, scenario.resets_calls)
        print(f"the store is back without its last {lost} versions", flush=True)
    for instance in system.instances[:scenario.kills]:
        instance.send(signal.SIGKILL)
        await instance.process.wait()
        await instance.start()


async def change_after_return(system, scenario, apply_s):
    """Returns what Probes.ask_until does for a change that is acknowledged after the return."""
    await lose_store(system, scenario)
    await asyncio.sleep(scenario.change_after_s)
    change_routes(system)
    await asyncio.sleep(apply_s)
    return await Probes(system).ask_until(time.monotonic() + CHECK_S), []


async def change_before_return(system, scenario, apply_s):
    """The same for a change that is in force when the store is lost. Also returns problems."""
    change_routes(system)
    await asyncio.sleep(apply_s)
    probes, problems = Probes(system), []
    losing = asyncio.create_task(lose_store(system, scenario))
    span_s = AWAY_S * scenario.returns + 3 * (scenario.returns - 1) + scenario.rewrite_s + apply_s + CHECK_S
    outcome = await probes.ask_until(time.monotonic() + span_s)
    await losing
    if probes.refusals:
        problems.append(f"served routes were refused: {dict(probes.refusals)}")
    # The next version is in force in time, too.
    system.databases["next"] = "primary"
    system.configure()

    end = time.monotonic() + apply_s
    while set(versions := await read_versions(system)) != {system.version}:
        if time.monotonic() > end:
            problems.append(f"the newest version is {system.version}, instances have {versions}")
            break
        await asyncio.sleep(0.05)
    return outcome, problems


async def read_version(instance):
    """Returns the configuration version of an instance; None if it doesn't answer."""
    try:
        text = await asyncio.wait_for(instance.fetch_metrics(), 2)
    except (OSError, asyncio.TimeoutError):
        return None
    value = text.partition("papayaspindle_configuration_version ")[2]
    return int(value.split("\n")[0]) if value else None


async def read_versions(system):
    """Returns the configuration version of each instance."""
    return await asyncio.gather(*[read_version(instance) for instance in system.instances])


async def run(binary, scenario, zones):
    store = Store(scenario.reads, scenario.writes, ANSWER_S)
    many = scenario.instances > MANY_INSTANCES
    apply_s = APPLY_LARGE_S if many else APPLY_S
    async with System(binary, instances=scenario.instances, groups=("g1", "g2"), zones=zones, store=store,
                      start_s=15 if scenario.instances < 50 else 120) as system:
        heartbeat = asyncio.create_task(system.heartbeat())
        system.databases |= {"dropped": "primary", "moved": "primary"}
        system.configure()
        # The copy is newer than the start of the instances.
        await asyncio.sleep(scenario.age_s + 2)
        begin, limited = time.monotonic(), store.rate_limited
        dropping = asyncio.create_task(drop_history(store)) if scenario.drops_history else None
        change = change_before_return if scenario.changes_before else change_after_return
        (asked, cases, behind), problems = await change(system, scenario, apply_s)
        heartbeat.cancel()
        if dropping:
            dropping.cancel()
        calls = count_calls(store, begin)
        limited = store.rate_limited - limited
        print(
            f"{scenario.instances} instances: {cases} of {asked} requests handled as only the older configuration "
            f"allows, at {len(behind)} instances; calls to the store in each second from the loss on: "
            f"{calls}, {limited} over its rates", flush=True,
        )
        if cases:
            problems.append(f"{len(behind)} instances are not on the acknowledged configuration")
        if limited:
            problems.append(f"{limited} calls exceed the rates of the store")
        assert not problems, f"{'; '.join(problems)}; logs in {system.directory}"


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("binary")
    parser.add_argument("scenario", choices=SCENARIOS)
    parser.add_argument("--instances", type=int)
    parser.add_argument("--zones", type=int, default=1)
    parser.add_argument("--age", type=float)
    parser.add_argument("--reads", type=int, default=READS_PER_S)
    parser.add_argument("--writes", type=int, default=WRITES_PER_S)
    arguments = parser.parse_args()
    scenario = SCENARIOS[arguments.scenario]
    scenario.instances = arguments.instances or scenario.instances
    scenario.age_s = arguments.age or scenario.age_s
    scenario.reads, scenario.writes = arguments.reads, arguments.writes
    try:
        asyncio.run(run(arguments.binary, scenario, arguments.zones))
    except AssertionError as problem:
        print(f"failed: {problem}", flush=True)
        sys.exit(1)


if __name__ == "__main__":
    main()
