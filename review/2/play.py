"""Case 2: a route gets another service, then one entry instance is stopped and started as planned work."""

import asyncio
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
from deployment import ClientFlow, main  # noqa: E402


async def keep_using(world, flow, seconds, pause=2.0):
    """Sends a request every `pause` seconds."""
    for _ in range(int(seconds / pause)):
        if flow.state != "open":
            return
        await flow.request()
        await asyncio.sleep(pause)


async def play(world, trouble):
    route = world.route_address(1)
    await world.open({route: "patio"})
    flows = [ClientFlow(world, world.clients[i % 2], route) for i in range(16)]
    for flow in flows:
        if not await flow.open():
            raise RuntimeError("a flow did not open")
    users = [asyncio.create_task(keep_using(world, it, 24)) for it in flows]
    await asyncio.sleep(3)
    world.put_config({route: "evidencia"})
    await asyncio.sleep(6)
    if trouble:
        node = world.entries[0]
        world.disturb(node, signal.SIGTERM, planned=True)
    await asyncio.gather(*users)
    world.record("end", states=[it.state for it in flows])


if __name__ == "__main__":
    main(HERE, play)
