"""The whole path with the object API: operators' commands, control plane and flows.

usage: control_test.py BUILD
Starts the object API stand-in, entry instances, sidecars and upstreams of one
deployment. Services come from kumquatvalvectl, upstreams from their own
announcements. Fails when a command fails, a flow breaks, a packet reaches
another service or a drained upstream gets a new flow.
"""

import json
import subprocess
import sys
import tempfile
import urllib.request

from fleet import Fleet, free_ports, local, wait_for

FLOWS = 400


class StoreFleet(Fleet):
    """A fleet whose tables come from the object API instead of a file."""

    def start_store(self):
        self.store_port = free_ports(1)[0]
        self.start("object_api", self.build / "standins/standin_object_api", f"--port={self.store_port}")
        wait_for("the object API", self.store_is_ready)

    def store_is_ready(self):
        try:
            with urllib.request.urlopen(f"http://{local(self.store_port)}/v1/objects?prefix=/", timeout=2) as answer:
                return answer.status == 200
        except OSError:
            return False

    def start_daemon(self, name):
        path = self.write_settings(name)
        settings = json.loads(path.read_text())
        settings["object_api"] = {"urls": [f"http://{local(self.store_port)}"], "calls_per_second": 50}
        settings["seeds"] = [local(self.ports[it]["control"]) for it in self.entry_names if it != name]
        path.write_text(json.dumps(settings))
        self.start(name, self.build / "apps/kumquatvalved", f"--settings={path}")

    def publish(self):
        """Does nothing: the table writers publish the tables."""

    def ctl(self, *arguments):
        """Runs kumquatvalvectl and returns its output; raises RuntimeError when it fails."""
        done = subprocess.run(
            [str(self.build / "apps/kumquatvalvectl"), *arguments, f"--api=http://{local(self.store_port)}",
             f"--team={self.name}", "--output=json", "--wait_timeout_ms=60000"],
            capture_output=True, text=True, timeout=90, check=False)
        if done.returncode != 0:
            raise RuntimeError(f"{arguments} ended with {done.returncode}: {done.stdout}{done.stderr}")
        return done.stdout

    def service_file(self, slots_factor=1):
        path = self.directory / "services.yaml"
        services = {f"/teams/{self.name}/services/{it['name']}":
                    {"addresses": [f"{it['address']}/tcp"], "slots": it["slots"] * slots_factor}
                    for it in self.services}
        path.write_text(json.dumps({"services": services}))
        return str(path)


def run(fleet):
    fleet.start_store()
    fleet.start_processes()
    fleet.ctl("create", fleet.service_file(), "--wait")
    fleet.wait_ready([*fleet.entry_names, *fleet.upstream_service])
    fleet.start_fabric()
    caller = fleet.start_caller(flows=FLOWS, rate=300, interval_ms=500)
    wait_for("the caller", lambda: fleet.counts(caller))
    wait_for("all flows to be answered", lambda: fleet.counts(caller)["answered_flows"] == FLOWS)
    drained = next(iter(fleet.upstream_service))
    fleet.ctl("drain", drained, "--wait")
    admitted = fleet.status(drained)["flows"]["admitted"]
    later = fleet.start_caller(flows=FLOWS, rate=300, number=2, interval_ms=500)
    wait_for("the second caller", lambda: fleet.counts(later))
    wait_for("the second caller's flows", lambda: fleet.counts(later)["answered_flows"] == FLOWS)
    if fleet.status(drained)["flows"]["admitted"] != admitted:
        raise RuntimeError("a drained upstream got a new flow")
    if fleet.status(drained)["open_flows"] == 0:
        raise RuntimeError("the drained upstream held no flow, so nothing was tested")
    wrong = sum(it["wrong_service"] for it in fleet.upstream_counts().values())
    passed = wrong == 0
    for it in (caller, later):
        fleet.ask(fleet.ports[it]["control"], {"finish": True})
        passed = fleet.wait_exit(it) == 0 and passed
        print((fleet.directory / f"{it}.log").read_text().strip().splitlines()[-1])
    return passed


def main():
    with tempfile.TemporaryDirectory() as directory:
        fleet = StoreFleet(sys.argv[1], directory, "kalahari", entries=4)
        try:
            passed = run(fleet)
        except Exception:
            for name in ("object_api", "entry-0", "order-desk-0"):
                log = fleet.directory / f"{name}.log"
                print(f"-- {name}\n" + (log.read_text()[-3000:] if log.exists() else "no log"))
            for name in ("entry-0", "order-desk-0"):
                print(name, json.dumps(fleet.status(name)))
            raise
        finally:
            fleet.stop()
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
