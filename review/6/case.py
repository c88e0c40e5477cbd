"""A group with one synchronous replica is released member by member, as planned work.

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
GAP_S = 1.0  # the pause between two members of a release


async def release(deployment):
    """Replaces half of the members, one after the other: the new one starts first, the old one drains."""
    group = deployment.group
    for n, name in enumerate(["i-1", "i-2"]):
        new = group.add(f"i-{n + 4}", ZONES[n])
        deployment.record(f"member {new.name} starts in place of {name}")
        await new.start()
        if n == 0:
            # The first new member has received the log before any member drains.
            await asyncio.sleep(1.0)
        group.members[name].drain(DRAIN_S)
        await asyncio.sleep(GAP_S)


async def main():
    async with Deployment(FOLDER, sync=1, is_fenced=True, promote_s=1.0, routes={"main": "primary"}) as deployment:
        writers = Writers(deployment.record, "main")
        tasks = [asyncio.create_task(writers.run(i, 0.02)) for i in deployment.instances for _ in range(3)]
        await asyncio.sleep(3)
        if TROUBLE:
            await release(deployment)
        await asyncio.sleep(6)
        writers.is_stopped = True
        await asyncio.gather(*tasks)
        await asyncio.sleep(0.2)
        return verdict(deployment, writers)


def verdict(deployment, writers):
    record, group = deployment.record, deployment.group
    record(f"outcomes of writes: {writers.outcomes}")
    if writers.outcomes.get("acknowledged", 0) < 50 or (TROUBLE and not group.promotions):
        record("the case did not run as meant")
        return 2
    lost = lost_commits(group, writers)
    for member, item in lost:
        record(f"LOST: {item} was acknowledged to its client, and {member} was promoted without it")
    print(f"{len(lost)} acknowledged commits missing in a promoted member; outcomes {writers.outcomes}")
    return 1 if lost else 0


if __name__ == "__main__":
    sys.exit(run(main, 100))
