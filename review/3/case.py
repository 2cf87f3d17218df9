"""A machine with half of an array's tasks is taken back without notice; the controllers keep within the next limits."""
import asyncio
import pathlib
import rig as R

PIECES, CPUS = 1200, 0.05
WAIT_S = 90.0  # LATER of the hunt deployments


def setup(rig):
    # Site file of the deployment with services: what the state service's limits become after the upgrade.
    rig.next_limits = {"next": {"value_kb": 2.0, "txn_ops": 4, "write_rps": 15.0}}


async def scenario(rig):
    # Six cheap machines, of which one is taken.
    first = await rig.add_worker("civic-core", "caboolture", standby=True)
    second = await rig.add_worker("civic-core", "redcliffe", standby=True)
    for i in range(4):
        await rig.add_worker("depot-box", rig.ZONES[i % 2], standby=True)
    for i in range(rig.n):
        rig.start_controller(i)
    await rig.leader(20)

    spec = rig.job("j-000001", pieces=PIECES, vcpus=CPUS, memory=0.05, run_s=16.0, flavours=["civic-core"])
    # Every other task is short: of the long ones, none is next to another by its index.
    rig.jobs["j-000001"]["runs"] = [3.0 if i % 2 == 0 else 30.0 for i in range(PIECES)]
    await rig.submit(spec)
    accepted = rig.now()
    finished = rig.jobs.setdefault("finished", set())
    while len(finished) < PIECES // 2:
        if rig.now() > accepted + 25:
            raise R.CannotRun("the tasks do not end")
        await asyncio.sleep(0.1)
    await asyncio.sleep(2 * rig.worker_settings["report_s"])  # the controllers have seen them end
    if R.TROUBLE:
        busiest = first if len(first.tasks) > len(second.tasks) else second
        other = second if busiest is first else first
        rig.log("machine taken", host=busiest.host, tasks=len(busiest.tasks), finished=len(finished))
        busiest.power_off()
        rig.cloud.hosts.remove(busiest)
        await asyncio.sleep(rig.worker_settings["lease_s"])  # its lease is over: nothing of it can still run
    else:
        other = second

    waiting_since, longest, status = None, 0.0, None
    while rig.now() < 116.0:
        code, body = await rig.poll("j-000001", int(rig.now()) % rig.n)
        if code == 200:
            status = body
            if body["status"] == "done":
                break
        live = [t for t in other.tasks.values() if t.status != "exited"]
        free = other.capacity[0] - len(live) * CPUS
        waits = not live and free >= CPUS and len(finished) < PIECES
        if not waits:
            waiting_since = None
        elif waiting_since is None:
            waiting_since = rig.now()
        if waiting_since is not None:
            longest = max(longest, rig.now() - waiting_since)
        if longest > WAIT_S + 1:
            break
        await asyncio.sleep(0.5)
    rig.log("result", largest_report_bytes=max(w.largest_report for w in rig.workers),
            largest_command_bytes=max(w.largest_command for w in rig.workers), longest_wait_s=longest, finished=len(finished), last_answer=status)
    if longest > WAIT_S:
        return ["%d tasks of j-000001 waited for more than %.0f s while %s had %.0f CPUs free and took no task"
                % (PIECES - len(finished), WAIT_S, other.host, free)]
    return []


R.main(pathlib.Path(__file__).resolve().parent, scenario, limit_s=119, setup=setup)
