"""A primary is released while a replica is lost for good, and a process of the system is killed and starts again.

Exits with 1 if a machine in touch sends a request to the primary later than `drainTimeoutMs` after the store has
accepted that it is draining, 0 if not, 2 if the case couldn't run.
"""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
from standins import ZONES, Deployment, Writers, run  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DRAIN_S = 7.0  # drainTimeoutMs
EXIT_S = 10.0  # "a little longer (at times many seconds)"
IN_TOUCH_S = 4.0  # stabilityWindowMs


async def release_primary(group):
    new = group.add("i-4", ZONES[0])
    group.record("member i-4 starts in place of i-1")
    await new.start()
    await asyncio.sleep(1.0)
    group.members["i-1"].drain(EXIT_S)
    return time.monotonic()


async def main():
    async with Deployment(FOLDER, sync=1, is_fenced=True, promote_s=1.0, routes={"main": "primary"}) as deployment:
        group, late = deployment.group, []
        state = {"draining_at": None}
        started = {i.name: i.started_at for i in deployment.instances}
        senders = {}

        def on_statement(member, ident, query):
            now, name = time.monotonic(), senders.get(ident)
            if member.name != "i-1" or state["draining_at"] is None or name is None:
                return
            is_late = now - state["draining_at"] > DRAIN_S and now - started[name] > IN_TOUCH_S + 0.05
            deployment.record(f"i-1, draining for {now - state['draining_at']:.2f} s, gets {query} from {name}, "
                              f"which runs for {now - started[name]:.2f} s{': DRAIN' if is_late else ''}")
            if is_late:
                late.append(ident)

        group.on_statement = on_statement
        writers = Writers(deployment.record, "main")
        writers.on_sent = lambda instance, ident: senders.__setitem__(ident, instance.name)
        tasks = [asyncio.create_task(writers.run(i, 0.05, verb)) for i in deployment.instances
                 for verb in ("WRITE", "WRITE", "READ", "READ")]
        await asyncio.sleep(3)
        if TROUBLE:
            group.members["i-3"].crash()
            await asyncio.sleep(4.5)
        state["draining_at"] = await release_primary(group)
        if TROUBLE:
            killed = deployment.instances[0]
            await asyncio.sleep(3.2)
            deployment.record(f"{killed.name} is killed")
            await killed.kill()
            await asyncio.sleep(1.0)
            await killed.start()
            started[killed.name] = killed.started_at
            deployment.record(f"{killed.name} starts again")
            await asyncio.sleep(6)
        else:
            await asyncio.sleep(9.5)
        writers.is_stopped = True
        await asyncio.gather(*tasks)
        deployment.record(f"outcomes: {writers.outcomes}")
        if writers.outcomes.get("acknowledged", 0) < 20:
            deployment.record("the case did not run as meant")
            return 2
        print(f"{len(late)} requests reached the draining primary too late; outcomes {writers.outcomes}")
        return 1 if late else 0


if __name__ == "__main__":
    sys.exit(run(main, 100))
