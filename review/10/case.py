"""A group with one synchronous replica: its primary is released, as planned work, while a replica that can't reach the
store crashes and starts again.

Exits with 1 if a promoted member lacks a commit that a client was told of, 0 if not, 2 if the case couldn't run.
"""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
from standins import ZONES, Deployment, Writers, lost_commits, run  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DRAIN_S = 7.0
CUT_S = 5.0
CRASH_AFTER_S = 0.3  # after the primary has reported that it drains


async def trouble(group):
    """A replica crashes behind a cut between it and the store, and starts again."""
    replica = group.members["i-3"]
    replica.cut(CUT_S)
    await asyncio.sleep(0.5 + CRASH_AFTER_S)
    replica.crash()
    await asyncio.sleep(0.3)
    await replica.restart(keeps_log=False)


async def release_primary(group):
    """The new member starts first, the old one drains."""
    group.record("member i-4 starts in place of i-1")
    await group.add("i-4", ZONES[0]).start()
    await asyncio.sleep(1.0)
    faults = asyncio.create_task(trouble(group)) if TROUBLE else None
    await asyncio.sleep(0.5)
    group.members["i-1"].drain(DRAIN_S)
    if faults:
        await faults


async def main():
    async with Deployment(FOLDER, sync=1, is_fenced=True, promote_s=1.0, routes={"main": "primary"}) as deployment:
        writers = Writers(deployment.record, "main")
        tasks = [asyncio.create_task(writers.run(i, 0.02)) for i in deployment.instances for _ in range(3)]
        await asyncio.sleep(3)
        await release_primary(deployment.group)
        await asyncio.sleep(6)
        writers.is_stopped = True
        await asyncio.gather(*tasks)
        await asyncio.sleep(0.2)
        return verdict(deployment, writers)


def verdict(deployment, writers):
    record, group = deployment.record, deployment.group
    record(f"outcomes of writes: {writers.outcomes}")
    if writers.outcomes.get("acknowledged", 0) < 50 or not group.promotions:
        record("the case did not run as meant")
        return 2
    lost = lost_commits(group, writers)
    for member, item in lost:
        record(f"LOST: {item} was acknowledged to its client, and {member} was promoted without it")
    print(f"{len(lost)} acknowledged commits missing in a promoted member; outcomes {writers.outcomes}")
    return 1 if lost else 0


if __name__ == "__main__":
    sys.exit(run(main, 100))
