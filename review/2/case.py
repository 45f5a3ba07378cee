import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from standins import HALL16, Site, job, main, piimaring, trouble  # noqa: E402

NEXT = {"write_rps": 28.0, "value_kb": 2.0, "txn_ops": 10}   # as in kit/change
# TROUBLE: 1 = all; 0 = none. For comparison only: "ends" = the leader's end and the cut without
# lower limits; "nocut" = lower limits and the leader's end, and every machine can be reached.
LOWERS, ENDS, CUTS = trouble() in ("1", "nocut"), trouble() != "0", trouble() in ("1", "ends")


async def case(site):
    record, store = site.record, site.store

    def note(node, transaction, status, answer):
        puts = [(c["put"], len(c["value"]["t"])) for c in transaction.get("apply") or []
                if c.get("put", "").startswith("run/")]
        if puts:
            record.log(f"state service: {node} writes {puts} ->", status, answer)
    store.after = note
    await site.set_up()
    machines = [await site.add_machine(f"n-00000{i}", "hall16", z)
                for i, z in ((1, "tartu"), (2, "parnu"), (3, "tartu"))]
    for c in site.controllers.values():
        await c.start()
    await site.wait_ready()

    # Two arrays are accepted under the settings of today and wait: all machines still boot.
    first = job("req-000101", "tank-alarms", 160, 0.1, 0.3, rank="high")
    second = job("req-000102", "route-sheets", 160, 0.1, 0.3, rank="normal")
    site.world.run_s.update({first["ref"]: 300.0, second["ref"]: 300.0, second["ref"] + "/0": 3.0})
    await site.submit_until_accepted("kernel-0", first)
    await site.submit_until_accepted("kernel-1", second)

    # The upgrade: every controller is restarted, one after the other, with settings that announce
    # the next limits.
    site.write_settings(piimaring(next=NEXT))
    for c in site.controllers.values():
        await c.kill()
        await asyncio.sleep(1.0)
        await c.start()
        await site.wait(c.ready, 20, f"{c.name} ready")
    await site.wait_ready()
    await asyncio.sleep(4.0)

    if LOWERS:
        store.lower(NEXT["value_kb"], NEXT["txn_ops"], NEXT["write_rps"])

        # One answer takes 450 ms: "usually under 10 ms and occasionally a few hundred".
        slow = [True]

        async def hook(node, method, path, value):
            if path == "/multi" and slow and any(
                    c.get("put", "").startswith("run/" + first["ref"]) for c in value["apply"]):
                slow.clear()
                record.log("state service: this transaction is answered after 450 ms")
                answer = await store.answer(node, method, path, value, 0)
                await asyncio.sleep(0.45)
                return answer
        store.hook = hook

    machines[0].start()
    await asyncio.sleep(0.06)
    machines[1].start()

    def running(ref):
        return sum(bool(site.world.on.get(f"{ref}/{i}")) for i in range(160))

    await site.wait(lambda: running(first["ref"]) >= 159 and running(second["ref"]) >= 158, 25,
                    "both arrays running")
    # The second array's task 0 ends after 3 s; its end is written a few seconds later.
    await asyncio.sleep(10.0)
    machines[2].start()          # a third machine comes up and stays idle
    await asyncio.sleep(2.0)
    record.log("running:", running(first["ref"]), running(second["ref"]))

    if ENDS:
        # The leader ends while the machine of the second array can't be reached. The cut is
        # shorter than the worker's lease, so the tasks run on.
        leader = site.controllers[store.leader()]
        if CUTS:
            machines[1].cut = True
            record.log(f"machine {machines[1].name} is cut off for 15 s")
        await leader.kill()
        await asyncio.sleep(4.0)
        await leader.start()
        await asyncio.sleep(11.0)
        machines[1].cut = False
        record.log(f"machine {machines[1].name} is reachable again")
    else:
        await asyncio.sleep(15.0)
    await asyncio.sleep(5.0)
    record.log("running:", running(first["ref"]), running(second["ref"]))


main(case, lambda: Site(HERE, [HALL16], piimaring(), cloud_lag_s=4.0))
