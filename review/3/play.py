"""Case 3: a server crashes and starts again beside its sidecar, and its first status report is lost."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
from deployment import STABILITY_S, ClientFlow, main  # noqa: E402


async def open_and_use(world, client, route):
    flow = ClientFlow(world, client, route)
    if await flow.open():
        await flow.request()
    return flow


async def play(world, trouble):
    route = world.route_address(1)
    await world.open({route: "patio"})
    node = world.sides[0]
    await asyncio.sleep(2)
    if trouble:
        world.servers[node.name].crash()
        await asyncio.sleep(1.5)
        await world.start_server(node, lost_reports=1)
    # Clients open flows and use them within the second after the server's start.
    flows = []
    for i in range(10):
        flows.append(await open_and_use(world, world.clients[i % 2], route))
    world.record("pause")
    # Longer than the stability window after the last disturbance, shorter than the idle timeout.
    await asyncio.sleep(STABILITY_S + 4)
    await asyncio.gather(*(it.request() for it in flows if it.state == "open"))
    world.record("end", states=[it.state for it in flows])


if __name__ == "__main__":
    main(HERE, play)
