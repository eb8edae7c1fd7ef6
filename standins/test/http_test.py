"""HTTP requests of a standard client through the whole path.

usage: http_test.py BUILD
A gateway accepts TCP connections on a loopback port and relays them through its
own TCP stack (lwIP), the fabric, the entry instances and the sidecars to
upstreams with the same stack. Guards against packets that only the minimal TCP
of the other stand-ins accepts.
"""

import sys
import tempfile
import urllib.request

from fleet import Fleet, free_ports, local, wait_for

REQUESTS = 20


class HttpFleet(Fleet):
    """A fleet whose upstreams have a full TCP stack (lwIP)."""

    def start_upstream(self, name):
        service = self.upstream_service[name]
        host, port = service["address"].split(":")
        self.start(f"upstream-{name}", self.build / "standins/lwip_upstream", f"--name={name}",
                   f"--data={local(self.ports[name]['upstream'])}", f"--address={host}", f"--port={port}")


def get(port):
    with urllib.request.urlopen(f"http://{local(port)}/", timeout=20) as answer:
        return answer.read().decode()


def run(fleet):
    fleet.start_all()
    listen, data = free_ports(2)
    service = fleet.services[0]
    fleet.start("gateway", fleet.build / "standins/lwip_gateway", f"--listen={local(listen)}",
                f"--data={local(data)}", f"--fabric={local(fleet.fabric['callers'])}",
                f"--service={service['address']}")
    wait_for("the gateway", lambda: "listening" in (fleet.directory / "gateway.log").read_text())
    answers = [get(listen) for _ in range(REQUESTS)]
    expected = {f"answer of {it}\n" for it in service["members"]}
    print(f"{len(answers)} answers from {len(set(answers))} upstreams")
    return set(answers) <= expected


def main():
    with tempfile.TemporaryDirectory() as directory:
        fleet = HttpFleet(sys.argv[1], directory, "kalahari")
        try:
            return 0 if run(fleet) else 1
        except Exception:
            print(fleet.status("entry-0"), fleet.status("order-desk-0"), fleet.ask(fleet.fabric["control"], {}))
            raise
        finally:
            fleet.stop()


if __name__ == "__main__":
    sys.exit(main())
