"""Case 1: all machines lose power and come back; each server starts some time after the sidecar beside it."""

import asyncio
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
from deployment import BOUNDS, ClientFlow, main  # noqa: E402

SERVERS = 10
DOWN_S = 1.6
# The first server starts this long after the machines, the others one after the other.
FIRST_SERVER_S, NEXT_SERVER_S = 0.9, 0.3
REQUESTS_PER_S = 60
TIME_LIMIT_S, TRIES = 3.0, 3
MEASURED_S = 10


async def one_request(world, client, route, served):
    """Sends a request of kind `safe` on a flow of its own; tries again twice within the time limit."""
    begun, done = time.monotonic(), False
    for _ in range(TRIES):
        left = begun + TIME_LIMIT_S - time.monotonic()
        if done or left < 0.1:
            break
        flow = ClientFlow(world, client, route)
        done = await flow.open() and await flow.request(left) == "answered"
        flow.close()
    served.append((begun, done))


async def send_requests(world, route, served):
    tasks = set()
    while True:
        task = asyncio.create_task(one_request(world, world.clients[world.serial % 2], route, served))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1 / REQUESTS_PER_S)


def share_served(served, since, until):
    done = [it for begun, it in served if since <= begun < until]
    return sum(done) / len(done) if done else 0.0


async def lose_power(world):
    """All processes and servers end at the same moment. All machines are back after `DOWN_S`."""
    for node in world.nodes:
        node.keep = False
        world.disturb(node, signal.SIGKILL)
    for server in world.servers.values():
        server.crash()
    await asyncio.sleep(DOWN_S)
    for node in world.nodes:
        node.process.wait()
        node.in_rotation = False
        world.start_process(node)
        node.keep = True
    await asyncio.sleep(FIRST_SERVER_S)
    for node in world.sides:
        await world.start_server(node)
        await asyncio.sleep(NEXT_SERVER_S)


async def play(world, trouble):
    route = world.route_address(1)
    await world.open({route: "patio"})
    served = []
    load = asyncio.create_task(send_requests(world, route, served))
    began = time.monotonic()
    await asyncio.sleep(8)
    # The final fault comes right after a desired state was confirmed.
    world.put_config({route: "patio", world.route_address(2): "patio"})
    fault_at = time.monotonic()
    if trouble:
        await lose_power(world)
    back_at = time.monotonic()
    world.record("machines_back")
    measured_from = back_at + BOUNDS["recoveryS"]
    await asyncio.sleep(BOUNDS["recoveryS"] + MEASURED_S + TIME_LIMIT_S + 0.5)
    load.cancel()
    before = share_served(served, began, fault_at - TIME_LIMIT_S)
    after = share_served(served, measured_from, measured_from + MEASURED_S)
    for node in world.entries:
        upstreams = (await world.status(node)).get("upstreams", [])
        world.record("view", entry=node.name, may_take=sum(it["may_take"] for it in upstreams), of=len(upstreams))
    world.record("served", before=f"{before:.3f}", after=f"{after:.3f}")
    print(f"served before the fault: {before:.1%}, later than recoveryS after it: {after:.1%}")
    if before >= 0.25 and after < 0.25:
        world.violation("RECOVER", f"{after:.1%} of the requests sent later than recoveryS after the machines were "
                                   f"back were served, {before:.1%} before the fault")


if __name__ == "__main__":
    main(HERE, play, services=(("patio", SERVERS),), slots=2, work_s=0.2)
