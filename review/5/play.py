"""Case 5: a server restarts twice while the time of day of its machine is stepped back; later it drains."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
from deployment import BOUNDS, ClientFlow, main  # noqa: E402

STEP_MS = 2400


async def open_flows(world, client, route):
    """Opens a flow for each request, as clients of short flows do."""
    while True:
        flow = ClientFlow(world, client, route)
        if await flow.open():
            await flow.request()
        await asyncio.sleep(0.01)


async def play(world, trouble):
    route = world.route_address(1)
    await world.open({route: "patio"})
    node = world.sides[0]
    await asyncio.sleep(2)
    if trouble:
        # The server goes down and up by turns, with a period of 1.4 s. Between the two starts the time of day of its
        # machine is stepped back, so the second start has the earlier time.
        world.servers[node.name].crash()
        await asyncio.sleep(0.7)
        await world.start_server(node)
        await asyncio.sleep(0.7)
        world.servers[node.name].crash()
        await asyncio.sleep(0.7)
        world.record("clock_step", node=node.name, ms=-STEP_MS)
        await world.start_server(node, born_ms=int(time.time() * 1000) - STEP_MS)
    # All disturbances end; the machines are in touch again long before the drain. Traffic begins after the restarts.
    await asyncio.sleep(1)
    load = [asyncio.create_task(open_flows(world, world.clients[i % 2], route)) for i in range(4)]
    await asyncio.sleep(12)
    server = world.servers[node.name]
    server.draining = True
    await world.wait(lambda: server.drain_confirmed_at is not None, 5)
    await asyncio.sleep(BOUNDS["drainMs"] / 1000 + 5)
    for it in load:
        it.cancel()
    for at, late, port in world.late_syns:
        world.violation("DRAIN", f"{late.id} got the first packet of flow {port} "
                                 f"{at - late.drain_confirmed_at:.1f} s after its drain was confirmed")
    server.alive = False


if __name__ == "__main__":
    main(HERE, play)
