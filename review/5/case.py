"""Accepted arrays of the largest allowed size end one leader after the other for memory."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from sites2 import piimaring  # noqa: E402
from standins2 import World, now, run_case  # noqa: E402

ARRAYS = 20
BACK_AFTER_S = 4.0
WATCHED_S = 60.0
URGENT = "req-900000"


class Platform:
    """Ends a controller whose memory passes the limit of its settings, and starts it again, as the deploy page says."""

    def __init__(self, world, limit_mb):
        self.world, self.limit_mb, self.ends, self.most = world, limit_mb, [], 0.0

    async def run(self):
        controllers = self.world.controllers
        back = {}
        while True:
            await asyncio.sleep(0.1)
            for name, process in controllers.processes.items():
                if name in back:
                    if now() >= back[name]:
                        del back[name]
                        controllers.spawn(name)
                    continue
                if process.poll() is not None:
                    back[name] = now() + BACK_AFTER_S
                    continue
                held = controllers.memory_mb(name)
                self.most = max(self.most, held)
                if held > self.limit_mb:
                    self.world.record.write(f"platform: {name} holds {held:.1f} MB of {self.limit_mb:.0f} MB and is ended")
                    self.ends.append((now(), name))
                    controllers.signal(name, signal.SIGKILL)
                    back[name] = now() + BACK_AFTER_S


async def case(trouble):
    site = piimaring()
    async with World(FOLDER, site) as world:
        users, fleet = world.users, world.fleet
        await world.machines(3, "hall16", ["tartu", "parnu", "tartu"])
        platform = Platform(world, site["resources"]["mem_mb"])
        watch = asyncio.ensure_future(platform.run())
        for number in range(1, ARRAYS + 1):
            spec = users.job(f"req-{number:06d}", run_s=90.0, shell="route-sheets", crew="veokid", rank="normal",
                             nuts=100_000 if trouble else 29, vcpus=8.0, memoryGb=23.0)
            await users.submit(spec)
        accepted = now()
        spec = users.job(URGENT, run_s=5.0, shell="tank-alarms", crew="veokid", rank="high", nuts=1, vcpus=2.0,
                         memoryGb=5.5, harvestS=20.0)
        status, _ = await users.submit(spec)
        stage = await users.until(URGENT, ("done",), WATCHED_S, 2.0)
        watch.cancel()
        started = [entry for entry in fleet.starts if entry[1].startswith(URGENT)]
        summary = (f"{ARRAYS} arrays accepted; {len(platform.ends)} controllers ended for memory, at most "
                   f"{platform.most:.1f} MB of {platform.limit_mb:.0f} MB; {URGENT} (accepted: {status}) is {stage} after "
                   f"{now() - accepted:.0f} s, starts of it: {len(started)}; worker leases that ran out: "
                   f"{len(fleet.expiries)}")
        world.record.write(summary)
        print(summary)
        if len(platform.ends) >= 5 and status in (200, 201) and stage != "done" and not started:
            return ["must_run: " + summary]
        return []


run_case(case)
