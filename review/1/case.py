import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from standins import HALL16, HANG, Site, job, main, piimaring, trouble  # noqa: E402

# TROUBLE: 1 = all; 0 = none. For comparison only: "nocut" = all but the cut of the second machine;
# "answered" = all but the lost answer; "nonotice" = all but the notice.
TROUBLE = trouble() != "0"
HELD, TWO = "req-000101", "req-000102"


class StateTroubles:
    """Two transactions of the leader about the job of two tasks get no answer. The first one is
    carried out at once, the second one late, after the leader has ended."""

    def __init__(self, site):
        self.site, self.store, self.record = site, site.store, site.record
        self.lost, self.late = None, None

    async def hook(self, node, method, path, value):
        tasks = path == "/multi" and next(
            (c["value"]["t"] for c in value["apply"] if c.get("put") == f"run/{TWO}/00000"), None)
        if not tasks:
            return None
        if value == self.lost or value == self.late:
            self.record.log("state service: a copy of that transaction arrives")
            return None
        if self.lost is None and all(isinstance(t, list) for t in tasks):
            self.lost = value
            if trouble() == "answered":
                return None
            status, answer = self.store.transaction(value, 0)
            self.record.log("state service:", tasks, f"is carried out at once -> {status}, and the"
                            " answer is lost")
            return HANG
        if self.late is None and isinstance(tasks[0], list) and tasks[0][1] == 2:
            self.late = value
            self.record.log("state service:", tasks, "gets no answer and is carried out in 6 s")
            self.site.background.append(asyncio.create_task(self.carry_out_late(value)))
            return HANG
        self.record.log("state service:", tasks, f"from {node}")
        return None

    async def carry_out_late(self, value):
        await asyncio.sleep(6.0)
        self.record.log("state service: carried out late ->", *self.store.transaction(value, 0))


async def case(site):
    record, store, world = site.record, site.store, site.world
    await site.set_up()
    first = await site.add_machine("n-000001", "hall16", "tartu", spot=True)
    second = await site.add_machine("n-000002", "hall16", "parnu")
    third = await site.add_machine("n-000003", "hall16", "tartu")

    holds_up = [True]

    async def handler(method, path, body):
        answer = await first.handle(method, path, body)
        if TROUBLE and path == "/commands" and HELD.encode() in body and holds_up:
            holds_up.clear()
            record.log(f"machine {first.name}: the answer to a command is held up for 1.8 s")
            await asyncio.sleep(1.8)
        return answer
    first.handler = handler
    for c in site.controllers.values():
        await c.start()
    first.start()
    await site.wait_ready()
    await asyncio.sleep(3.0)
    if TROUBLE:
        troubles = StateTroubles(site)
        store.hook = troubles.hook

    # A job of one task takes half of the first machine. While the answer to its start is held up,
    # a job of two tasks follows: its task 0 fits on the first machine, its task 1 finds no room.
    world.run_s.update({HELD: 300.0, TWO: 300.0})
    await site.submit_until_accepted("kernel-0", job(HELD, "route-sheets", 1, 8.0, 16.0))
    await site.wait(lambda: first.tasks, 10, "the first job's start")
    await site.submit_until_accepted("kernel-0", job(TWO, "route-sheets", 2, 8.0, 16.0))
    await asyncio.sleep(0.25)
    second.start()               # a second machine comes up and takes task 1
    if TROUBLE:
        await site.wait(lambda: troubles.lost, 10, "the transaction with both starts")
        if trouble() != "nonotice":
            first.give_notice(15.0)
    await site.wait(lambda: world.on.get(f"{TWO}/0"), 20, f"{TWO}/0 runs")
    record.log(f"{TWO}/0 is on", world.on[f"{TWO}/0"])

    if TROUBLE:
        # The leader ends while the second machine can't be reached. The cut is shorter than the
        # worker's lease, so the tasks run on. A third machine comes up.
        leader = site.controllers[store.leader()]
        if trouble() != "nocut":
            second.cut = True
            record.log(f"machine {second.name} is cut off for 12 s")
        await leader.kill()
        await asyncio.sleep(1.0)
        third.start()
        await asyncio.sleep(3.0)
        await leader.start()
        await asyncio.sleep(8.0)
        second.cut = False
        record.log(f"machine {second.name} is reachable again")
    else:
        third.start()
        await asyncio.sleep(12.0)
    await asyncio.sleep(3.0)


main(case, lambda: Site(HERE, [HALL16], piimaring(), cloud_lag_s=4.0))
