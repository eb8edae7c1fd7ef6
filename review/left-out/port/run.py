"""Clients leave flows open and use their ports again; then one front machine is stopped and started in turn."""

import asyncio
import os
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1] / "standins-2"))

from small_deployment import Caller, Deployment, Route, disturbed, main  # noqa: E402

FIN = 128
FLOWS, REUSE_S, PAUSE_S = 10, 5, 0.5


class LeavingCaller(Caller):
    """A client that ends its flows without a word while `leaves` is set."""

    leaves = True

    def send(self, port, address, flags, *rest, **data):
        if not (flags & FIN and self.leaves):
            super().send(port, address, flags, *rest, **data)


async def play(folder):
    world = Deployment(folder, 10 + os.getpid() % 90, zones=("a", "b", "b"), services=("red", "red", "red"), clients=0)
    route = Route("r-red", ("198.18.0.1", 443), "red", "unsafe")
    try:
        world.routes = [route]
        await world.open()
        callers = [LeavingCaller(world, f"127.{world.network}.3.{i + 1}", "a") for i in range(4)]
        for it in callers:
            await it.start()
        await asyncio.gather(*(it.flow(route, 1, 0) for it in callers for _ in range(FLOWS)))
        await asyncio.sleep(REUSE_S)
        for it in callers:
            it.port -= FLOWS
        flows = [asyncio.create_task(it.flow(route, 40, PAUSE_S, limit=4.0)) for it in callers for _ in range(FLOWS)]
        await asyncio.sleep(2)
        if disturbed():
            world.signal(next(it for it in world.machines if it.role == "entry" and it.zone == "a"), signal.SIGTERM)
        await asyncio.sleep(9)
        for it in flows:
            it.cancel()
        if world.resets:
            world.add_violation("FLOW", f"{len(world.resets)} of {len(flows)} flows were reset while their servers held them")
        return world.violations
    finally:
        await world.close()


main(FOLDER, play)
