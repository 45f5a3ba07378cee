"""The only machine that a job may use fails every task, and the cloud has others to give."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from sites2 import terminali  # noqa: E402
from standins2 import World, now, run_case  # noqa: E402

WATCHED_S = 85.0
JOB = "req-000001"


async def case(trouble):
    async with World(FOLDER, terminali(), boot_s=5.0) as world:
        users, fleet = world.users, world.fleet
        large = (await world.machines(1, "mtis32", ["tbilisi"]))[0]
        await world.machines(2, "kvali8", ["tbilisi", "batumi"])
        fleet.workers[large].sick = trouble
        spec = users.job(JOB, run_s=8.0, shell="tile-render", crew="render", nuts=4, vcpus=8.0, memoryGb=8.3,
                         breeds=["mtis32"], harvestS=60.0)
        status, _ = await users.submit(spec)
        assert status in (200, 201), f"not accepted: {status}"
        began = now()
        stage = await users.until(JOB, ("done",), WATCHED_S, 2.0)
        starts = [round(at - began, 1) for at, task, _, _, _ in fleet.starts if task.startswith(JOB)]
        errors = sum(why == "error" for _, _, _, _, why in fleet.ends)
        rented = [names for what, _, names in world.cloud.log if what == "rent"]
        summary = (f"{JOB} is {stage}; starts after s: {starts}, failed: {errors}, machines rented: {rented}; "
                   f"controllers ended: {world.controllers.dead()}")
        world.record.write(summary)
        print(summary)
        if stage != "done" and errors and not rented and all(at < 10.0 for at in starts):
            return ["must_run: " + summary]
        return []


run_case(case)
