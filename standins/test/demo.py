"""Runs many flows through both deployments at their present sizes.

usage: demo.py BUILD [--flows N] [--seconds N] [--seed N] [--directory DIR]
Prints the services and endpoints, live counts and a summary. Exit status: 0
when all flows were answered, none broke and no packet came from or reached
another service, 1 otherwise.
"""

import argparse
import sys
import tempfile
import time

from fleet import DEPLOYMENTS, Fleet, local, wait_for

CALLERS = 2


def start(options, directory):
    fleets = []
    for number, name in enumerate(DEPLOYMENTS):
        fleets.append(Fleet(options.build, f"{directory}/{name}", name, seed=options.seed, number=number,
                            trace_one_in=1000))
    for fleet in fleets:
        fleet.start_all()
        print(f"deployment {fleet.name}, region {fleet.layout['region']}, "
              f"zones {', '.join(fleet.layout['zones'])}")
        for it in fleet.services:
            print(f"  service {it['name']} at {it['address']}/tcp: {len(it['members'])} upstreams, "
                  f"{it['slots']} slots each")
        for it in fleet.entry_names:
            print(f"  {it} takes packets at {local(fleet.ports[it]['data'])}/udp, "
                  f"scrape http://{local(fleet.ports[it]['status'])}/metrics")
        print(f"  fabric takes callers' packets at {local(fleet.fabric['callers'])}/udp")
        print(f"  logs and spans in {fleet.directory}", flush=True)
    return fleets


def sum_counts(fleets):
    sums = {}
    for fleet in fleets:
        for key in fleet.callers:
            counts = fleet.counts(key) or {}
            for name, it in counts.items():
                if isinstance(it, int):
                    sums[name] = sums.get(name, 0) + it
    return sums


def run(options, directory):
    fleets = []
    try:
        fleets = start(options, directory)
        share = options.flows // (CALLERS * len(fleets))
        for fleet in fleets:
            fleet.callers = [fleet.start_caller(flows=share, rate=500, number=i + 1, interval_ms=5000)
                             for i in range(CALLERS)]
            for it in fleet.callers:
                wait_for("a caller", lambda it=it, fleet=fleet: fleet.counts(it))
        expected_flows = share * CALLERS * len(fleets)
        began = time.monotonic()
        answered = 0
        while answered < expected_flows or time.monotonic() - began < options.seconds:
            time.sleep(2)
            now = sum_counts(fleets)
            answered = now.get("answered_flows", 0)
            print(f"open {now['open']} answered flows {answered} requests {now['requests']} "
                  f"answers {now['answers']} retransmissions {now['retransmissions']} broken {now['broken']} "
                  f"wrong service {now['wrong_service']}", flush=True)
            if time.monotonic() - began > options.limit:
                print("gave up waiting for the flows")
                break
        resident = {"entry": 0, "sidecar": 0}
        for fleet in fleets:
            for it in [*fleet.entry_names, *fleet.upstream_service]:
                status = fleet.status(it)
                resident[status["role"]] = max(resident[status["role"]], status["resident_bytes"])
        at_upstreams = sum(it["wrong_service"] for fleet in fleets for it in fleet.upstream_counts().values())
        carried = sum_counts(fleets)
        for fleet in fleets:
            for it in fleet.callers:
                fleet.ask(fleet.ports[it]["control"], {"finish": True})
        statuses = [fleet.wait_exit(it) for fleet in fleets for it in fleet.callers]
        print(f"summary: {carried['flows']} flows, {carried['answers']} answers, {carried['refused']} refused, "
              f"{carried['broken']} broken flows, {carried['wrong_service'] + at_upstreams} wrong-service packets")
        print(f"largest resident memory: entry instance {resident['entry'] >> 10} kB, "
              f"sidecar {resident['sidecar'] >> 10} kB")
        passed = not any(statuses) and at_upstreams == 0 and answered >= expected_flows
        print("passed" if passed else f"failed: callers ended with {statuses}")
        return 0 if passed else 1
    finally:
        for fleet in fleets:
            fleet.stop()


def main():
    parser = argparse.ArgumentParser(usage=__doc__)
    parser.add_argument("build")
    parser.add_argument("--flows", type=int, default=12000)
    parser.add_argument("--seconds", type=int, default=20)
    parser.add_argument("--limit", type=int, default=300)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--directory")
    options = parser.parse_args()
    if options.directory:
        return run(options, options.directory)
    with tempfile.TemporaryDirectory() as directory:
        return run(options, directory)


if __name__ == "__main__":
    sys.exit(main())
