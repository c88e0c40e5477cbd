"""Where the platform doesn't check fences: while a crashed primary is replaced, POST /promote is slow, then its address
is cut off for two seconds, then it works again.

Exits with 1 if the platform receives a lower token than it has seen, 0 if not, 2 if the case couldn't run.
"""

import asyncio
import base64
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
from standins import Deployment, Door, Writers, run  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PRIMARY_DOWN_S = 7.0
SLOW_S = 0.46  # then the calls that are open are reset
DARK_S = 2.1


class PlatformFault:
    """Follows the leadership row: begins when an instance has written that it calls the platform now."""

    def __init__(self, deployment, door):
        self.deployment, self.door, self.record = deployment, door, deployment.record
        self.has_begun, self.is_over, self.is_slow, self.open = False, False, False, set()
        deployment.store.on_write = self.on_write

    def on_write(self, row):
        if not row["key"].startswith("leadership/"):
            return
        value = base64.b64decode(row["value"]).decode()
        self.record(f"row {row['key']} = {value}")
        if " calling " in value and not self.has_begun:
            self.has_begun = self.is_slow = True
            asyncio.ensure_future(self.play())

    async def serve(self, reader, writer):
        if self.is_slow:
            self.open.add(writer)
            await asyncio.sleep(10)
        else:
            await self.deployment.cloud.serve(reader, writer)

    async def play(self):
        self.record("POST /promote is slow")
        await asyncio.sleep(SLOW_S)
        self.record("the address of POST /promote is cut off; open calls are reset and not carried out")
        self.door.go_dark()
        for writer in self.open:
            writer.transport.abort()
        await asyncio.sleep(DARK_S)
        self.is_slow, self.is_over = False, True
        self.record("POST /promote works again")
        self.door.come_back()


async def main():
    deployment = Deployment(FOLDER, sync=0, is_fenced=False, promote_s=0.3, routes={"main": "primary"})
    fault = PlatformFault(deployment, None) if TROUBLE else None
    door = Door(fault.serve if fault else deployment.cloud.serve)
    if fault:
        fault.door = door
    deployment.cloud_address = door.address
    async with deployment:
        writers = Writers(deployment.record, "main")
        tasks = [asyncio.create_task(writers.run(i, 0.05)) for i in deployment.instances for _ in range(2)]
        await asyncio.sleep(3)
        # The primary crashes with and without the platform's fault.
        primary = deployment.group.members["i-1"]
        primary.crash()
        await asyncio.sleep(PRIMARY_DOWN_S)
        await primary.restart(keeps_log=True)
        await asyncio.sleep(4)
        writers.is_stopped = True
        await asyncio.gather(*tasks)
        return verdict(deployment, writers, fault)


def verdict(deployment, writers, fault):
    record = deployment.record
    record(f"outcomes of writes: {writers.outcomes}")
    if writers.outcomes.get("acknowledged", 0) < 20 or not deployment.cloud.calls or (fault and not fault.is_over):
        record("the case did not run as meant")
        return 2
    lower = [call for call in deployment.cloud.calls if call[4] < call[5]]
    for _, group, member, holder, token, newest in lower:
        record(f"ONE: {holder} promotes {member} of {group} with token {token}, although {newest} was sent before")
    print(f"{len(lower)} of {len(deployment.cloud.calls)} calls with a lower token; outcomes {writers.outcomes}")
    return 1 if lower else 0


if __name__ == "__main__":
    sys.exit(run(main, 100))
