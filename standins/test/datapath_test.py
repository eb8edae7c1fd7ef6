"""Flows of callers through real daemons while processes are killed and restarted.

usage: datapath_test.py BUILD CASE
Every packet of a flow goes to an entry instance chosen at random. A case fails
when a flow breaks, a packet comes from another service, an answer belongs to
another flow or request, or an upstream receives a packet of another service or
one that it cannot parse.
"""

import signal
import sys
import tempfile

from fleet import Fleet, wait_for

FLOWS = 600


def start(fleet):
    fleet.start_all()
    caller = fleet.start_caller(flows=FLOWS, rate=400, interval_ms=500)
    wait_for("the caller", lambda: fleet.counts(caller))
    wait_for("all flows to be answered", lambda: fleet.counts(caller)["answered_flows"] == FLOWS)
    return caller


def wait_for_more_answers(fleet, caller, more):
    before = fleet.counts(caller)["answers"]
    wait_for(f"{more} more answers", lambda: fleet.counts(caller)["answers"] >= before + more)


def finish_flows(fleet, caller):
    """Closes each flow after its next answer; returns a list of failures."""
    fleet.ask(fleet.ports[caller]["control"], {"finish": True})
    upstreams = fleet.upstream_counts()
    status = fleet.wait_exit(caller)
    counts = (fleet.directory / f"{caller}.log").read_text().strip().splitlines()[-1]
    print(f"{fleet.name}: {counts}")
    faults = []
    if status != 0:
        faults.append(f"{caller} ended with {status}")
        for it in fleet.upstream_service:
            daemon = fleet.status(it) or {}
            faults.append(f"{it}: flows {daemon.get('flows')} drops {daemon.get('drops')}")
    for name, it in upstreams.items():
        for key in ("wrong_service", "bad_packets", "bad_requests"):
            if it is None or it[key] != 0:
                faults.append(f"upstream {name}: {it}")
    return faults


def case_spray(fleet, caller):
    """Guards against entry instances that route the packets of one flow to different sidecars."""
    wait_for_more_answers(fleet, caller, FLOWS)


def case_entry_kill(fleet, caller):
    """Guards against per-flow state in an entry instance: flows would break when it is killed."""
    fleet.kill("entry-0", signal.SIGKILL)
    fleet.wait_exit("entry-0")
    fleet.set_entries(fleet.entry_names[1:])
    wait_for_more_answers(fleet, caller, 2 * FLOWS)


def case_entry_rolling_restart(fleet, caller):
    """Guards against flows that break when entry instances are restarted one by one."""
    for it in fleet.entry_names:
        fleet.set_entries([other for other in fleet.entry_names if other != it])
        fleet.kill(it, signal.SIGTERM)
        status = fleet.wait_exit(it)
        if status != 0:
            raise RuntimeError(f"{it} ended with {status}")
        fleet.start_daemon(it)
        fleet.wait_ready([it])
        fleet.publish()
        fleet.set_entries(fleet.entry_names)
        wait_for_more_answers(fleet, caller, FLOWS // 2)


def case_sidecar_kill(fleet, caller):
    """Guards against flows that break when their sidecar is killed while the upstream runs on."""
    for it in ("order-desk-0", "artwork-1") if fleet.name == "kalahari" else ("patio-0", "evidencia-1"):
        fleet.kill(it, signal.SIGKILL)
        fleet.wait_exit(it)
        fleet.dead.add(it)
        fleet.publish()
        wait_for_more_answers(fleet, caller, FLOWS // 2)
        fleet.start_daemon(it)
        wait_for(f"{it} to answer", lambda it=it: fleet.status(it))
        fleet.dead.remove(it)
        fleet.publish()
        wait_for_more_answers(fleet, caller, 2 * FLOWS)


def case_sidecar_drain(fleet, caller):
    """Guards against a draining sidecar that exits before its last flow has ended."""
    it = "order-desk-1" if fleet.name == "kalahari" else "patio-1"
    fleet.draining.add(it)
    fleet.publish()
    fleet.kill(it, signal.SIGTERM)
    wait_for("the drain to start", lambda: fleet.status(it)["stopping"])
    wait_for_more_answers(fleet, caller, FLOWS)
    if fleet.status(it)["open_flows"] == 0:
        raise RuntimeError("the drained sidecar held no flow, so nothing was tested")
    fleet.ask(fleet.ports[caller]["control"], {"finish": True})
    status = fleet.wait_exit(it)
    if status != 0:
        raise RuntimeError(f"{it} ended with {status}")


CASES = {
    "spray": case_spray,
    "entry_kill": case_entry_kill,
    "entry_rolling_restart": case_entry_rolling_restart,
    "sidecar_kill": case_sidecar_kill,
    "sidecar_drain": case_sidecar_drain,
}


def run(build, case, deployment):
    with tempfile.TemporaryDirectory() as directory:
        fleet = Fleet(build, directory, deployment)
        try:
            caller = start(fleet)
            CASES[case](fleet, caller)
            faults = finish_flows(fleet, caller)
        except (RuntimeError, TypeError) as ex:
            faults = [str(ex)]
            faults += [f"{it}: {fleet.counts(it)}" for it in fleet.ports if it.startswith("caller")]
            faults += [f"{it}: ended with {process.returncode}: {fleet.last_line(it)}"
                       for it, process in fleet.processes.items() if process.poll() is not None]
        finally:
            fleet.stop()
    for it in faults:
        print(f"{deployment} {case}: {it}")
    return not faults


def main():
    build, case = sys.argv[1:3]
    deployments = sys.argv[3:] or ["kalahari", "tarima"]
    passed = [run(build, case, it) for it in deployments]
    return 0 if all(passed) else 1


if __name__ == "__main__":
    sys.exit(main())
