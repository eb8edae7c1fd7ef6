"""The settings give `graceS` as a fraction, and the processes are stopped and started in turn."""

import asyncio
import os
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from small_deployment import CannotRun, Deployment, Route, disturbed, main  # noqa: E402

GRACE_S = 6.5
GAP_S = 2.0
PAUSE_S = 0.1


async def requests(world, count):
    """Sends requests from all clients; returns how many were answered."""
    ends = []
    for i in range(count):
        route = world.routes[i % len(world.routes)]
        ends += await asyncio.gather(*(it.flow(route, 1, 0) for it in world.callers))
        await asyncio.sleep(PAUSE_S)
    world.log(f"flows ended: {ends}")
    return sum(end == "done" for _, end in ends), len(ends)


async def play(folder):
    world = Deployment(folder, 10 + os.getpid() % 90)
    try:
        world.routes = [Route("r-red", ("198.18.0.1", 443), "red"), Route("r-blue", ("198.18.0.2", 443), "blue")]
        await world.open()
        answered, sent = await requests(world, 4)
        if answered != sent:
            raise CannotRun(f"{answered} of {sent} requests answered before the change")
        if disturbed():
            world.bounds["graceS"] = GRACE_S
            world.log(f"the settings files change: graceS is {GRACE_S}")
        for machine in world.machines:
            world.write_settings(machine)
        starts = {it.name: it.starts for it in world.machines}
        for machine in world.machines:
            world.signal(machine, signal.SIGTERM)
            await asyncio.sleep(GAP_S)
        # Every process has ended after `graceS` at the latest; then the time for recovery.
        await asyncio.sleep(world.bounds["graceS"] + world.bounds["recoveryS"])
        failed = []
        for machine in world.machines:
            runs = machine.process.poll() is None
            world.log(f"{machine.name}: {machine.starts - starts[machine.name]} starts, "
                      f"{'runs' if runs else 'does not run'}")
            if not runs or machine.starts - starts[machine.name] > 1:
                failed.append(machine.name)
        answered, sent = await requests(world, 4)
        if failed:
            world.add_violation("Fault", f"{len(failed)} of {len(world.machines)} programs do not start: {failed}")
        if 4 * answered < sent:
            world.add_violation("RECOVER", f"{answered} of {sent} requests were answered "
                                           f"{world.bounds['recoveryS']} s after the last restart")
        return world.violations
    finally:
        await world.close()


main(FOLDER, play)
