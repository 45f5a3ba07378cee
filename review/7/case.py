"""A job that must not use spot machines waits while other jobs run on spot machines."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from sites2 import piimaring  # noqa: E402
from standins2 import World, run_case  # noqa: E402

WATCHED_S = 85.0
JOB = "req-100000"


async def case(trouble):
    async with World(FOLDER, piimaring(), boot_s=5.0) as world:
        users, fleet = world.users, world.fleet
        await world.machines(2, "hall16", ["tartu", "parnu"], windfall=True)

        async def route_sheets():
            for number in range(1, 9):
                spec = users.job(f"req-{number:06d}", run_s=30.0, shell="route-sheets", crew="veokid", nuts=2, vcpus=8.0,
                                 memoryGb=23.0, windfall=True)
                await users.submit(spec)
                await asyncio.sleep(60.0 / 3.9)

        others = asyncio.ensure_future(route_sheets()) if trouble else None
        await asyncio.sleep(5.0)
        spec = users.job(JOB, run_s=8.0, shell="payout-prep", crew="veokid", nuts=1, vcpus=2.0, memoryGb=6.4,
                         windfall=False, harvestS=40.0)
        status, _ = await users.submit(spec)
        assert status in (200, 201), f"not accepted: {status}"
        stage = await users.until(JOB, ("done",), WATCHED_S, 2.0)
        starts = [entry for entry in fleet.starts if entry[1].startswith(JOB)]
        rented = [names for what, _, names in world.cloud.log if what == "rent"]
        done = sum(f"req-{number:06d}/{task}" in fleet.done for number in range(1, 9) for task in range(2))
        summary = (f"{JOB} is {stage}; {len(starts)} starts of it, machines rented: {rented}, {done} tasks of other jobs "
                   f"completed meanwhile; controllers ended: {world.controllers.dead()}")
        world.record.write(summary)
        print(summary)
        if others:
            others.cancel()
        if stage != "done" and not starts and not rented and (done >= 8 or not trouble):
            return ["must_run: " + summary]
        return []


run_case(case)
