"""Another writer leaves an odd entry beside the desired state, and desired states come in quick succession."""

import asyncio
import json
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
ROOT = FOLDER.parents[1]
sys.path.insert(0, str(ROOT / "standins-2"))

from small_deployment import CannotRun, Deployment, Route, disturbed, main  # noqa: E402

VALUE_BYTES = 1 << 20
CHANGES, GAP_S = 12, 0.05


def odd_entry(revision):
    meta = {"name": "a-of-another-writer", "rev": revision, "created": revision, "finalizers": [], "deleting": False}
    entry = {"meta": meta, "spec": None, "status": None}
    one = len(json.dumps("f-000000")) + len(", ")
    meta["finalizers"] = [f"f-{i:06d}" for i in range((VALUE_BYTES - len(json.dumps(entry))) // one)]
    return entry


async def play(folder):
    world = Deployment(folder, 10 + os.getpid() % 90, services=("red", "red", "red"), clients=4)
    try:
        world.routes = [Route("r-0", ("198.18.0.1", 443), "red"), Route("r-dropped", ("198.18.0.2", 443), "red")]
        dropped = world.routes[1]
        await world.open()
        if disturbed():
            world.store.revision += 1
            entry = odd_entry(world.store.revision)
            world.store.objects[("config", entry["meta"]["name"])] = entry
            world.store.add_event("config", entry, False)
            world.log("another writer left an entry beside config/main")
        await asyncio.sleep(5)
        world.routes = world.routes[:1]
        for i in range(CHANGES):
            world.routes = world.routes + [Route(f"r-{i + 1}", ("198.18.0.3", 1000 + i), "red")]
            world.publish()
            await asyncio.sleep(GAP_S)
        confirmed = time.monotonic()
        await asyncio.sleep(world.bounds["configApplyMs"] / 1000 + 3)
        newest = world.routes[-1]
        ran = refused = 0
        for _ in range(5):
            for it in world.callers:
                ran += (await it.flow(dropped, 1, 0, limit=1.0))[1] == "done"
                refused += (await it.flow(newest, 1, 0, limit=1.0))[1] == "reset"
        if ran or refused:
            world.add_violation("CONFIG", f"{ran} of 20 requests ran on a dropped route, {refused} of 20 flows were refused on "
                                          f"the newest one, {time.monotonic() - confirmed:.0f} s after the confirmation")
        return world.violations
    finally:
        await world.close()


main(FOLDER, play)
