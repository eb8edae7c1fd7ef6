"""Another writer leaves one odd entry among those of the servers; then all processes are killed."""

import asyncio
import json
import os
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from small_deployment import PAGE_BYTES, CannotRun, Deployment, Route, disturbed, main  # noqa: E402

RECORDS = "kumquatvalve-upstreams"
VALUE_BYTES = 1 << 20


def odd_entry(revision):
    """An object within `valueBytes` that has nothing but many finalizers."""
    meta = {"name": "0-of-another-writer", "rev": revision, "created": revision, "finalizers": [], "deleting": False}
    entry = {"meta": meta, "spec": None, "status": None}
    one = len(json.dumps("f-000000")) + len(", ")
    meta["finalizers"] = [f"f-{i:06d}" for i in range((VALUE_BYTES - len(json.dumps(entry))) // one)]
    return entry


async def requests(world, count):
    """Sends requests from all clients; returns how many were answered."""
    ends = []
    for i in range(count):
        route = world.routes[i % len(world.routes)]
        ends += await asyncio.gather(*(it.flow(route, 1, 0) for it in world.callers))
        await asyncio.sleep(0.1)
    world.log(f"flows ended: {[end for _, end in ends]}")
    return sum(end == "done" for _, end in ends), len(ends)


async def play(folder):
    world = Deployment(folder, 10 + os.getpid() % 90)
    try:
        world.routes = [Route("r-red", ("198.18.0.1", 443), "red"), Route("r-blue", ("198.18.0.2", 443), "blue")]
        await world.open()
        if disturbed():
            world.store.revision += 1
            entry = odd_entry(world.store.revision)
            size = len(json.dumps(entry))
            if not VALUE_BYTES - 100 < size <= min(VALUE_BYTES, PAGE_BYTES):
                raise CannotRun(f"the odd entry has {size} bytes")
            world.store.objects[(RECORDS, entry["meta"]["name"])] = entry
            world.store.add_event(RECORDS, entry, False)
            world.log(f"another writer created {RECORDS}/{entry['meta']['name']}, {size} bytes")
        await asyncio.sleep(2)
        answered, sent = await requests(world, 4)
        if 4 * answered < sent:
            raise CannotRun(f"{answered} of {sent} requests answered before the final fault")
        world.log("all processes are killed")
        for machine in world.machines:
            world.signal(machine, signal.SIGKILL)
        await asyncio.sleep(2)
        if any(it.process.poll() is not None for it in world.machines):
            raise CannotRun("a process was not started again")
        await asyncio.sleep(world.bounds["recoveryS"])
        answered, sent = await requests(world, 8)
        ready = [it.name for it in world.machines if it.role == "entry" and it.ready]
        world.log(f"in rotation: {ready}")
        if 4 * answered < sent:
            world.add_violation("RECOVER", f"{answered} of {sent} requests were answered that were sent later than "
                                           f"{world.bounds['recoveryS']} s after the processes were back")
        return world.violations
    finally:
        await world.close()


main(FOLDER, play)
