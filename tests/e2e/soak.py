#!/usr/bin/env python3
"""Randomized soak test. Faults are injected into real processes from outside, and the outcomes
that clients received are compared with the log of the primary.

usage: soak.py BINARY [--seeds 1,2,...] [--seconds S] [--customers] [--returns]
Prints one line for each seed. The exit status is 1 when a guarantee was violated or the
service did not recover. With --customers, clients have the keys of customers, whose keys and
limits change during the faults; guards against statements in a wrong name, use of withdrawn
keys, exceeded limits, keys that others see, and customers that are no longer served.
With --returns, the store also comes back from older copies of itself; guards against instances
that don't apply the newest configuration afterwards or go back to an older one, calls above the
store's rates, and promotion tokens that are used twice.
"""

import argparse
import asyncio
import random
import signal
import sys
import time

from customers import (
    APPLY_S, CUSTOMERS, LOADS, OVER_LIMIT, Tenants, Watch, customer_load, stranger_load, transaction_load,
)
from harness import HOST, System, WriteLedger
from platform_path import load
from platform_store_return import ANSWER_S, APPLY_S as APPLY_SMALL_S, READS_PER_S, WRITES_PER_S, read_version, read_versions
from rowstore import Store

# Time in calm operation in which no call may exceed the store's rates.
CALM_S = 3
VERSION_POLL_S = 0.2
PROXY_MODES = ["delay", "silent", "one_way", "refuse"]


class Returns:
    """Returns of the store to older copies during the faults."""

    def __init__(self, system, rng, lose_contact, are_late):
        self.system, self.rng, self.lose_contact, self.are_late = system, rng, lose_contact, are_late
        self.tasks, self.count = [], 0

    def start(self):
        """Starts a return, in one of four cases a second one soon after it."""
        rng = self.rng
        plans = [
            (rng.uniform(1, 20), rng.uniform(0.3, 1.5), rng.choice([0, 0.3, 1]), rng.random() < 0.7, rng.uniform(0.1, 2))
            for _ in range(rng.choice([1, 1, 1, 2]))
        ]
        self.tasks.append(asyncio.create_task(self._run(plans)))

    async def _run(self, plans):
        for age_s, away_s, rewrite_s, resets_calls, pause_s in plans:
            rewrite_s *= self.are_late
            self.lose_contact(self.system.instances, away_s + rewrite_s)
            if not self.system.store.is_away:
                self.count += 1
            await self.system.store.return_to_copy(age_s, away_s, rewrite_s, resets_calls)
            await asyncio.sleep(pause_s)


class VersionWatch:
    """Reads the configuration versions of all instances again and again. No process may go back to
    an older version than it had."""

    def __init__(self, system):
        self.system, self.problems = system, []
        self.newest = {}  # process id -> version

    async def run(self):
        while True:
            await asyncio.gather(*[self._check(instance) for instance in self.system.instances])
            await asyncio.sleep(VERSION_POLL_S)

    async def _check(self, instance):
        process = instance.process.pid
        version = await read_version(instance)
        # The answer may come from a process that was started since.
        if version is None or instance.process.pid != process:
            return
        newest = self.newest.get(process, 0)
        if version < newest:
            self.problems.append(f"{instance.name} went back from version {newest} to {version}")
        self.newest[process] = max(newest, version)


async def inject_faults(system, rng, end, watch=None, with_returns=False):
    """Starts random faults, which may overlap, until `end` in the time of the event loop. Returns
    the number of returns of the store."""
    loop = asyncio.get_running_loop()

    def later(delay, action):
        loop.call_later(delay, action)

    def set_mode(proxy, mode):
        proxy.mode = mode

    def lose_contact(instances, length):
        for lost in instances if watch else []:
            watch.contacts[lost.name].lose(length)

    kinds = ["kill", "stop", "term", "member", "primary", "store", "proxy", "reset", "config"]
    # A customer's key that is withdrawn is known again to an instance that starts before the
    # operator has written the newest configuration; the checks of keys don't provide for that.
    returns = Returns(system, rng, lose_contact, are_late=watch is None)
    if with_returns:
        kinds += ["return", "return", "config"]
    while loop.time() < end:
        if watch and rng.random() < 0.5:
            watch.tenants.change()
            system.configure()
        kind = rng.choice(kinds)
        instance = rng.choice(system.instances)
        member = rng.choice(list(system.group.members.values()))
        length = rng.uniform(0.3, 3)
        if kind == "kill" or kind == "term":
            instance.send(signal.SIGKILL if kind == "kill" else signal.SIGTERM)
            await instance.process.wait()
            await instance.start()
        elif kind == "stop":
            instance.send(signal.SIGSTOP)
            lose_contact([instance], length)
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
            lose_contact(system.instances, length)
            later(length, lambda: setattr(system.store, "mode", "ok"))
        elif kind == "proxy":
            proxy = rng.choice([instance.proxy, member.proxy])
            set_mode(proxy, rng.choice(PROXY_MODES))
            lose_contact([instance], length if proxy is instance.proxy else 0)
            later(length, lambda p=proxy: set_mode(p, "pass"))
        elif kind == "return":
            returns.start()
        elif kind == "reset":
            rng.choice([instance.proxy, member.proxy]).reset()
        else:
            system.configure()
        await asyncio.sleep(rng.uniform(0.05, 1 if watch else 0.6))
    await asyncio.gather(*returns.tasks)
    return returns.count


async def expect_newest_version(system, limit_s):
    """Returns the violation if an instance doesn't have the newest version within `limit_s`."""
    end = time.monotonic() + limit_s
    while set(versions := await read_versions(system)) != {system.version}:
        if time.monotonic() > end:
            return [f"the newest version is {system.version}, instances have {versions} after {limit_s} s"]
        await asyncio.sleep(0.05)
    return []


async def check_after_returns(system, rng, are_late):
    """Checks after the faults that all instances have the newest configuration, apply another one
    in time after a last return, and call the store within its rates. Returns the violations and a
    summary."""
    store = system.store
    problems = await expect_newest_version(system, APPLY_S)
    # Far enough back that the revisions don't reach the old ones again before the check.
    lost = await store.return_to_copy(rng.uniform(8, 20), 0.5, rng.choice([0, 0.4]) * are_late, rng.random() < 0.7)
    begin, limited = int(time.monotonic()), store.rate_limited
    await asyncio.sleep(0.5)
    system.configure()
    problems += await expect_newest_version(system, APPLY_SMALL_S)
    await asyncio.sleep(CALM_S)
    if store.rate_limited > limited:
        problems.append(f"{store.rate_limited - limited} calls exceed the rates of the store")
    problems += store.reused_tokens
    seconds = range(begin + 1, int(time.monotonic()))
    most = {method: max(store.calls[second, method] for second in seconds) for method in store.limits}
    return problems, f"{lost} versions lost last, at most {most['GET']} reads and {most['POST']} writes a second, "


async def run(binary, seed, seconds, with_customers, with_returns=False):
    rng = random.Random(seed)
    tenants = Tenants(random.Random(seed + 1)) if with_customers else None
    store = Store(READS_PER_S, WRITES_PER_S, ANSWER_S) if with_returns else None
    async with System(binary, instances=3, tenants=tenants and tenants.describe, store=store) as system:
        ledger, stop = WriteLedger(), asyncio.Event()
        watch = None
        if tenants:
            watch = Watch(tenants, system.names)
            clients = start_customers(system, watch, ledger, stop, seed)
            # Limiters that were never listed before grant nothing for 11 s.
            await expect_customers_served(system, watch)
        else:
            clients = [asyncio.create_task(load(system, ledger, stop, n)) for n in range(8)]
        loop = asyncio.get_running_loop()
        heartbeat = asyncio.create_task(system.heartbeat()) if with_returns else None
        versions = VersionWatch(system)
        watching = asyncio.create_task(versions.run()) if with_returns else None
        returns = await inject_faults(system, rng, loop.time() + seconds, watch, with_returns)
        if tenants:
            tenants.restore()
            system.configure()
        await asyncio.sleep(3.2)
        for member in system.group.members.values():
            if not member.is_alive:
                member.restart()
        last_success_at_end_of_faults = ledger.last_success

        async def serves():
            return ledger.last_success > last_success_at_end_of_faults + 0.1

        if not watch:
            await system.until(serves, 12, "service after the faults")
        else:
            await expect_customers_served(system, watch)
            await withdraw_keys(system, watch)
            await expect_customers_served(system, watch)
            await expect_refusals(system, watch)
        problems, summary = [], ""
        if with_returns:
            problems, summary = await check_after_returns(system, rng, are_late=watch is None)
            problems += versions.problems
            summary = f"longest time without a write {ledger.longest_gap_s:.1f} s, {returns} returns, {summary}"
            heartbeat.cancel()
            watching.cancel()
        stop.set()
        await asyncio.gather(*clients)
        problems += ledger.violations(system.group)
        if watch:
            fullest = watch.check_rates()
            await watch.check_texts(system)
            problems += watch.problems
            rates = ", ".join(f"{name} {share:.2f}" for name, share in fullest.items())
            summary += (
                f"{len(tenants.versions)} versions, {watch.statements} statements of customers, "
                f"{watch.unauthorized} NOAUTH, {watch.public_reads} public reads, fullest windows: {rates}, "
            )
        print(
            f"seed {seed}: {ledger.attempts} writes, {len(ledger.acknowledged)} acknowledged, "
            f"{len(ledger.unknown)} unknown, {len(ledger.refused)} refused, {summary}"
            f"{'broken: ' + '; '.join(problems[:3]) if problems else 'promises kept'}"
            f"{f' ({len(problems)}, {system.directory})' if problems else ''}",
            flush=True,
        )
        return not problems


def start_customers(system, watch, ledger, stop, seed):
    """Starts the clients of all customers, and one without a key."""
    watch.attach(system.group)
    watch.delays = asyncio.create_task(watch.measure_delays())
    system.databases["board"] = "bounded"
    system.public.add("board")
    system.configure()
    clients = [
        customer_load(system, watch, ledger, stop, name, number, random.Random(f"{seed} {name} {number}"))
        for name, (count, _) in LOADS.items()
        for number in range(count)
    ]
    clients += [
        transaction_load(system, watch, stop, name, random.Random(f"{seed} transaction {name}"))
        for name in ["steady", "several", "several", "brief"]
    ]
    clients.append(stranger_load(system, watch, stop, random.Random(f"{seed} stranger")))
    return [asyncio.create_task(client) for client in clients]


async def withdraw_keys(system, watch):
    """Withdraws keys while sessions and transactions use them, without other faults, so that no
    loss of contact with the store postpones the time from which they must be refused."""
    watch.tenants.withdraw_some()
    system.configure()
    await asyncio.sleep(APPLY_S + 2)
    watch.tenants.restore()
    system.configure()


async def expect_customers_served(system, watch):
    """Waits until each customer that stays below its limit is served from now on."""
    begin = time.monotonic()
    names = [name for name, _, _, _ in CUSTOMERS if name not in OVER_LIMIT]

    async def all_served():
        # A violation ends the wait: it says more than a time limit.
        return bool(watch.problems) or all(watch.last_run.get(name, 0) > begin for name in names)

    await system.until(all_served, 30, f"all customers below their limits are served: {names}")


async def expect_refusals(system, watch):
    """Checks the answers to unknown keys and databases, after which the connection ends."""
    for instance in system.instances:
        for database, code in [("ledger", "NOAUTH"), ("none", "NODB")]:
            reader, writer = await asyncio.open_connection(HOST, instance.port)
            writer.write(f"START {database} unknown\r\n".encode())
            answer = await asyncio.wait_for(reader.read(), 10)
            if not answer.startswith(f"ERROR {code} ".encode()):
                watch.report(f"START {database} with an unknown key is answered with {answer}")
            writer.close()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("binary")
    parser.add_argument("--seeds", default="1,2")
    parser.add_argument("--seconds", type=float, default=6)
    parser.add_argument("--customers", action="store_true")
    parser.add_argument("--returns", action="store_true")
    arguments = parser.parse_args()
    all_passed = True
    for seed in arguments.seeds.split(","):
        try:
            passed = asyncio.run(run(arguments.binary, int(seed), arguments.seconds, arguments.customers,
                                     arguments.returns))
            all_passed = passed and all_passed
        except (AssertionError, asyncio.TimeoutError) as problem:
            print(f"seed {seed}: {problem!r}", flush=True)
            all_passed = False
    sys.exit(0 if all_passed else 1)


if __name__ == "__main__":
    main()
