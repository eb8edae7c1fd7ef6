"""Starts daemons and stand-ins on loopback and reads their counts.

Only processes that were started here are killed, each by its own process id.
"""

import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import time
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent

# Services of docs/design.md, section 1: (name, upstreams, slots per upstream).
DEPLOYMENTS = {
    "kalahari": {
        "region": "khomas",
        "zones": ["khomas-a", "khomas-b", "khomas-c", "khomas-d"],
        "services": [("order-desk", 7, 4), ("artwork", 4, 4)],
    },
    "tarima": {
        "region": "gye",
        "zones": ["gye-norte", "gye-sur", "gye-duran"],
        "services": [("patio", 7, 5), ("evidencia", 3, 5)],
    },
}
ROWS = 512
# Timeout of every wait for a condition; it only ends runs that would hang.
WAIT_TIMEOUT_S = 90


# Ports below this one are often used by services.
LOWEST_PORT = 20000

# Ports returned by free_ports() so far. The ports of a second fleet are chosen
# before the first fleet binds its own, so the kernel could offer some twice.
ALLOCATED_PORTS = set()


def port_range():
    """The ports below the ephemeral ones; all unprivileged ones where these leave too few."""
    first_ephemeral = int(pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    return (LOWEST_PORT, first_ephemeral) if first_ephemeral >= LOWEST_PORT + 2000 else (LOWEST_PORT, 65536)


def free_ports(n):
    """Returns n ports that are free for TCP and UDP on loopback.

    They lie below the ephemeral ports where possible: between this call and the
    start of the program that gets a port, the kernel could give an ephemeral one
    to a socket of another program.
    """
    ports = []
    low, high = port_range()
    while len(ports) < n:
        port = random.randrange(low, high)
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp, \
                socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ALLOCATED_PORTS:
            ALLOCATED_PORTS.add(port)
            ports.append(port)
    return ports


def wait_for(what, condition, limit=WAIT_TIMEOUT_S):
    """Polls condition() until it returns a true value and returns that value.

    Raises RuntimeError after `limit` seconds.
    """
    end = time.monotonic() + limit
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(0.05)
    raise RuntimeError(f"gave up waiting for: {what}")


def local(port):
    return f"127.0.0.1:{port}"


class Fleet:
    """One deployment: its entry instances, sidecars, upstreams and fabric."""

    def __init__(self, build, directory, deployment, entries=4, seed=1, number=0, trace_one_in=0):
        self.build = pathlib.Path(build)
        self.directory = pathlib.Path(directory)
        self.directory.mkdir(parents=True, exist_ok=True)
        self.name = deployment
        self.layout = DEPLOYMENTS[deployment]
        self.seed = seed
        self.number = number
        self.trace_one_in = trace_one_in
        self.processes = {}
        self.version = 0
        self.dead = set()
        self.draining = set()
        self.entry_names = [f"entry-{i}" for i in range(entries)]
        self.services = []
        self.upstream_service = {}
        for index, (name, upstreams, slots) in enumerate(self.layout["services"]):
            members = [f"{name}-{i}" for i in range(upstreams)]
            address = f"10.{20 + number}.0.{index + 1}:80"
            self.services.append({"id": 1000 * (number + 1) + index, "name": name, "members": members,
                                  "slots": slots, "address": address})
            for it in members:
                self.upstream_service[it] = self.services[-1]
        names = self.entry_names + list(self.upstream_service)
        ports = iter(free_ports(3 * len(names) + 3 * len(self.upstream_service) + 3))
        self.ports = {it: {"data": next(ports), "control": next(ports), "status": next(ports)} for it in names}
        for it in self.upstream_service:
            self.ports[it].update(upstream=next(ports), announce=next(ports), upstream_control=next(ports))
        self.fabric = {"callers": next(ports), "answers": next(ports), "control": next(ports)}
        self.tables = self.directory / "tables.json"

    def start(self, key, *arguments):
        """Starts a program under a key; its output is appended to {key}.log."""
        with open(self.directory / f"{key}.log", "a", encoding="utf-8") as log:
            self.processes[key] = subprocess.Popen([str(it) for it in arguments], stdout=log, stderr=log)

    def write_settings(self, name):
        """Writes the settings file of a daemon and returns its path."""
        sidecar = name in self.upstream_service
        zones = self.layout["zones"]
        ports = self.ports[name]
        settings = {
            "role": "sidecar" if sidecar else "entry",
            "instance": name,
            "availability_zone": zones[int(name.rsplit("-", 1)[1]) % len(zones)],
            "region": self.layout["region"],
            "data": local(ports["data"]),
            "control": local(ports["control"]),
            "status": local(ports["status"]),
            "fabric": local(self.fabric["answers"]),
            "object_api": {"urls": ["http://127.0.0.1:9"]},
            "keys": {"flow_hash": "01" * 32, "forward": "02" * 32},
        }
        if sidecar:
            settings["upstream"] = {"data": local(ports["upstream"]), "announce": local(ports["announce"])}
        if self.trace_one_in:
            settings["trace_file"] = str(self.directory / f"{name}.spans")
            settings["trace_one_in"] = self.trace_one_in
        path = self.directory / f"{name}.yaml"
        path.write_text(json.dumps(settings))
        return path

    def start_daemon(self, name):
        path = self.write_settings(name)
        self.start(name, self.build / "apps/kumquatvalved", f"--settings={path}", f"--static_tables={self.tables}")

    def start_upstream(self, name):
        service = self.upstream_service[name]
        ports = self.ports[name]
        self.start(f"upstream-{name}", self.build / "standins/standin_upstream", f"--name={name}",
                   f"--service={service['name']}", f"--address={service['address']}", f"--slots={service['slots']}",
                   f"--data={local(ports['upstream'])}", f"--sidecar={local(ports['announce'])}",
                   f"--control={local(ports['upstream_control'])}", f"--team={self.name}", f"--seed={self.seed}")

    def start_all(self):
        self.start_processes()
        self.publish()
        self.wait_ready([*self.entry_names, *self.upstream_service])
        self.start_fabric()

    def start_processes(self):
        for it in self.upstream_service:
            self.start_upstream(it)
        for it in [*self.entry_names, *self.upstream_service]:
            self.start_daemon(it)
        for it in [*self.entry_names, *self.upstream_service]:
            wait_for(f"{it} to answer", lambda it=it: self.status(it))

    def start_fabric(self):
        self.start("fabric", self.build / "standins/standin_fabric", f"--callers={local(self.fabric['callers'])}",
                   f"--answers={local(self.fabric['answers'])}", f"--control={local(self.fabric['control'])}",
                   f"--seed={self.seed}", "--entries=" + ",".join(local(self.ports[it]["data"])
                                                                  for it in self.entry_names))
        wait_for("the fabric", lambda: self.ask(self.fabric["control"], {}))

    def publish(self):
        """Writes the static tables and the members, which a deployment gets from the control plane."""
        self.version += 1
        peers = []
        for it in [*self.entry_names, *self.upstream_service]:
            status = self.status(it)
            if status:
                self.ports[it]["incarnation"] = status["incarnation"]
            peers.append({"instance": it, "incarnation": self.ports[it]["incarnation"],
                          "state": "dead" if it in self.dead else "alive", "data": local(self.ports[it]["data"])})
        services = []
        for service in self.services:
            members = service["members"]
            owners = [i for i, it in enumerate(members) if it not in self.draining]
            services.append({
                "id": service["id"], "version": self.version, "addresses": [service["address"]],
                "upstreams": [{"instance": it, "incarnation": self.ports[it]["incarnation"],
                               "data": local(self.ports[it]["data"]), "control": local(self.ports[it]["control"]),
                               "zone": self.layout["zones"][i % len(self.layout["zones"])], "slots": service["slots"],
                               "draining": it in self.draining} for i, it in enumerate(members)],
                "owner": [owners[row % len(owners)] for row in range(ROWS)],
                "backup": [owners[(row + 1) % len(owners)] for row in range(ROWS)],
            })
        partial = self.tables.with_suffix(".new")
        partial.write_text(json.dumps({"services": services, "peers": peers}))
        os.replace(partial, self.tables)

    def start_caller(self, flows, rate, number=1, **options):
        """Starts a caller process with one address; returns its key."""
        key = f"caller-{number}"
        self.ports[key] = {"control": free_ports(1)[0]}
        services = ",".join(f"{it['name']}={it['address']}" for it in self.services)
        self.start(key, self.build / "standins/standin_caller", f"--address=10.9.{self.number}.{number}",
                   f"--fabric={local(self.fabric['callers'])}", f"--control={local(self.ports[key]['control'])}",
                   f"--services={services}", f"--flows={flows}", f"--open_per_second={rate}",
                   f"--seed={self.seed + number}", *[f"--{k}={v}" for k, v in options.items()])
        return key

    def counts(self, key):
        return self.ask(self.ports[key]["control"], {})

    def upstream_counts(self):
        return {it: self.ask(self.ports[it]["upstream_control"], {}) for it in self.upstream_service}

    def set_entries(self, names):
        """Lets the fabric send packets to these entry instances only, as its health check would."""
        return self.ask(self.fabric["control"], {"entries": [local(self.ports[it]["data"]) for it in names]})

    def status(self, name):
        try:
            with urllib.request.urlopen(f"http://{local(self.ports[name]['status'])}/status", timeout=2) as answer:
                return json.load(answer)
        except OSError:
            return None

    def wait_ready(self, names):
        for it in names:
            wait_for(f"{it} to be ready", lambda it=it: (self.status(it) or {}).get("ready"))

    def kill(self, key, number=signal.SIGKILL):
        self.processes[key].send_signal(number)

    def wait_exit(self, key):
        return self.processes[key].wait(timeout=WAIT_TIMEOUT_S)

    @staticmethod
    def ask(port, request):
        """Sends a JSON request to a stand-in's control socket; returns its reply, None without one."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as it:
            it.settimeout(2)
            it.connect(("127.0.0.1", port))
            try:
                it.send(json.dumps(request).encode())
                return json.loads(it.recv(65536))
            except OSError:
                return None

    def last_line(self, key):
        """The last line that a program wrote; empty when it wrote none."""
        lines = (self.directory / f"{key}.log").read_text().strip().splitlines()
        return lines[-1] if lines else ""

    def stop(self):
        for it in self.processes.values():
            if it.poll() is None:
                it.kill()
        for it in self.processes.values():
            it.wait()
