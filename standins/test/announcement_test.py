"""What a sidecar does when its upstream's announcement changes while the object API is down.

usage: announcement_test.py BUILD CASE
No table can tell the sidecar of the change then. The callers of the service
have to get their answers from its other upstreams.

other_service: guards against packets of a service that reach an upstream which
has announced another one at the same address.
withdrawal: guards against new flows at an upstream that withdrew its
announcement, as it does before it ends.
"""

import json
import sys
import tempfile
import time
import urllib.request

from control_test import StoreFleet
from fleet import local, wait_for

FLOWS = 300
# An upstream announces itself when it starts.
ANNOUNCEMENT_TIME_S = 2


def start_upstream_of(fleet, name, service):
    """Starts an upstream of a service at the addresses of the upstream `name`."""
    ports = fleet.ports[name]
    fleet.start(f"upstream-{name}", fleet.build / "standins/standin_upstream", f"--name={name}",
                f"--service={service['name']}", f"--address={service['address']}", f"--slots={service['slots']}",
                f"--data={local(ports['upstream'])}", f"--sidecar={local(ports['announce'])}",
                f"--control={local(ports['upstream_control'])}", f"--team={fleet.name}", f"--seed={fleet.seed}")


def start_without_store(fleet):
    """Starts all processes and kills the object API when the tables are in force."""
    fleet.start_store()
    fleet.start_processes()
    fleet.ctl("create", fleet.service_file(), "--wait")
    fleet.wait_ready([*fleet.entry_names, *fleet.upstream_service])
    fleet.start_fabric()
    fleet.kill("object_api")


def end_upstream(fleet, name):
    fleet.kill(f"upstream-{name}")
    fleet.wait_exit(f"upstream-{name}")


def other_service(fleet):
    start_without_store(fleet)
    moved = fleet.services[0]["members"][0]
    end_upstream(fleet, moved)
    start_upstream_of(fleet, moved, fleet.services[1])
    wait_for("the next upstream", lambda: fleet.ask(fleet.ports[moved]["upstream_control"], {}))
    time.sleep(ANNOUNCEMENT_TIME_S)
    before = fleet.upstream_counts()[moved]["wrong_service"]
    caller = fleet.start_caller(flows=FLOWS, rate=300, interval_ms=500)
    wait_for("the caller", lambda: fleet.counts(caller))
    wait_for("the flows", lambda: fleet.counts(caller)["flows"] == FLOWS)
    time.sleep(1)
    wrong = fleet.upstream_counts()[moved]["wrong_service"] - before
    print(f"packets of another service at {moved}: {wrong}")
    print(json.dumps(fleet.counts(caller)))
    if wrong == 0:
        wait_for("all flows to be answered", lambda: fleet.counts(caller)["answered_flows"] == FLOWS)
    return wrong == 0


def withdrawal(fleet):
    start_without_store(fleet)
    left = fleet.services[0]["members"][0]
    end_upstream(fleet, left)
    withdraw = urllib.request.Request(f"http://{local(fleet.ports[left]['announce'])}/announcement", method="DELETE")
    with urllib.request.urlopen(withdraw, timeout=2):
        pass
    time.sleep(1)
    before = fleet.status(left)["flows"]["admitted"]
    caller = fleet.start_caller(flows=FLOWS, rate=300, interval_ms=500)
    wait_for("the caller", lambda: fleet.counts(caller))
    wait_for("the flows", lambda: fleet.counts(caller)["flows"] == FLOWS)
    time.sleep(1)
    admitted = fleet.status(left)["flows"]["admitted"] - before
    print(f"new flows at {left}: {admitted}")
    print(json.dumps(fleet.counts(caller)))
    if admitted == 0:
        wait_for("all flows to be answered", lambda: fleet.counts(caller)["answered_flows"] == FLOWS)
    return admitted == 0


CASES = {it.__name__: it for it in (other_service, withdrawal)}


def main():
    with tempfile.TemporaryDirectory() as directory:
        fleet = StoreFleet(sys.argv[1], directory, "kalahari", entries=2)
        try:
            passed = CASES[sys.argv[2]](fleet)
        finally:
            fleet.stop()
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
