"""Case 5: one status report with missing fields, from another writer, reaches a sidecar."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
from deployment import BOUNDS, ClientFlow, main  # noqa: E402


async def open_and_use(world, client, route):
    flow = ClientFlow(world, client, route)
    if not await flow.open() or await flow.request() != "answered":
        raise RuntimeError("a flow did not open")
    return flow


async def play(world, trouble):
    route = world.route_address(1)
    await world.open({route: "patio"})
    node = world.sides[0]
    flows = [await open_and_use(world, world.clients[i % 2], route) for i in range(12)]
    await asyncio.sleep(BOUNDS["stabilityWindowMs"] / 1000 + 2)
    if trouble:
        # The fields `address`, `zone`, `version` and `warmupLeftMs` are missing.
        odd = {"service": node.service, "slots": 5, "state": "ready", "seq": 1, "born": int(time.time() * 1000)}
        await world.post_report(node, "i-odd", "heartbeat", odd)
    await asyncio.sleep(3)
    await asyncio.gather(*(it.request() for it in flows))
    world.record("end", states=[it.state for it in flows])


if __name__ == "__main__":
    main(HERE, play)
