"""A small deployment on loopback addresses for the cases 6 to 10 of the review.

It starts the project's daemon with the commands and the settings templates of
deploy/, and restarts a process that has ended after a short delay, as the
platform does. Store, servers and clients are the stand-ins of platform/test/.
Everything that was sent, answered and run goes to record.txt.
"""

import asyncio
import json
import os
import pathlib
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse
import zlib

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "platform" / "test"))

from soak_world import Caller, Store, Upstream, ip_number  # noqa: E402

# The platform restarts a process "after a short delay".
RESTART_DELAY_S = 0.3
PROBE_INTERVAL_S = 0.5
TIME_LIMIT_S = 110

# A list returns "about 500 or 1 MB at most" in one response.
PAGE_ITEMS, PAGE_BYTES = 500, 1 << 20

HELD, BROKEN, NOT_RUN = 0, 1, 2


# The platform's names in settings, objects and calls, with placeholders.
NAMES = json.loads((pathlib.Path(__file__).parent / "platform.json").read_text())


class CannotRun(Exception):
    """The case could not be played, which says nothing about the rule."""


def lookup(fields, name):
    for part in name.split("."):
        if isinstance(fields, list):
            fields = fields[int(part)] if int(part) < len(fields) else None
        else:
            fields = fields.get(part) if isinstance(fields, dict) else None
    return fields


def as_text(value):
    if value is None:
        return ""
    if isinstance(value, float) and value.is_integer():
        value = int(value)
    return value if isinstance(value, str) else json.dumps(value)


def render(text, fields):
    """Fills in a template of the deploy file as DEPLOY.md describes it."""
    def section(match):
        items = lookup(fields, match[1]) or []
        parts = [match[2].replace("{{.}}", as_text(it)).replace("{{,}}", "," if i + 1 < len(items) else "")
                 for i, it in enumerate(items)]
        return "".join(parts)
    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda it: as_text(lookup(fields, it[1])), text)


class PagingStore(Store):
    """The platform's store with lists in several pages."""

    async def answer(self, method, target, body):
        path, _, query = target.partition("?")
        parameters = dict(urllib.parse.parse_qsl(query))
        kind, _, name = path.removeprefix(NAMES["objects_path"]).partition("/")
        if method != "GET" or name or "watch" in parameters:
            return await super().answer(method, target, body)
        items, size, more = [], 0, False
        for (of_kind, of_name), thing in sorted(self.objects.items()):
            if of_kind != kind or of_name <= parameters.get("after", ""):
                continue
            size += len(json.dumps(thing))
            more = bool(items) and (size > PAGE_BYTES or len(items) == PAGE_ITEMS)
            if more:
                break
            items.append(thing)
        return 200, {"items": items, "more": more, "at": self.revision}


def fill_in(value, fields):
    """Replaces the placeholders in all texts of a value."""
    if isinstance(value, dict):
        return {key: fill_in(it, fields) for key, it in value.items()}
    if isinstance(value, list):
        return [fill_in(it, fields) for it in value]
    return value.format(**fields) if isinstance(value, str) else value


class Machine:
    """A machine with one process of the system."""

    def __init__(self, name, ip, zone, role, service=""):
        self.name, self.ip, self.zone, self.role, self.service = name, ip, zone, role, service
        self.process, self.store_port = None, 0
        self.ready, self.misses, self.should_run = False, 0, True
        self.starts, self.disturbed_at = 0, 0.0


class Deployment:
    """Machines, store, servers, routers and clients; the stand-ins call it `world`."""

    def __init__(self, folder, network, bounds=None, zones=("a", "a", "b"), services=("red", "red", "red", "blue"),
                 clients=6):
        # Some 120 ports from a random base, to not meet those of other programs.
        base = 20000 + (os.getpid() % 300) * 40
        (self.packet_port, self.hop_port, self.ready_port, self.app_port, self.outbound_port, self.control_port,
         self.store_base) = range(base, base + 7)
        self.folder, self.network = folder, network
        self.bounds = {"configApplyMs": 3000, "drainMs": 3000, "graceS": 6, "addrReuseS": 2, "recoveryS": 12,
                       "stabilityWindowMs": 4000} | (bounds or {})
        self.zones, self.services, self.client_count = zones, services, clients
        self.deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.store, self.machines, self.upstreams, self.callers, self.routes = PagingStore(), [], {}, [], []
        self.version, self.serial, self.requests, self.violations, self.resets = 0, 0, {}, [], []
        self.drain_limit = self.bounds["drainMs"] / 1000
        self.stopping, self.temporary = False, pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.started_at, self.tasks = time.monotonic(), []
        self.record = open(folder / "record.txt", "w", encoding="utf-8")

    # The record.

    def log(self, text):
        self.record.write(f"{time.monotonic() - self.started_at:8.3f} {text}\n")
        self.record.flush()

    def add_violation(self, rule, what):
        self.violations.append(f"{rule}: {what}")
        self.log(f"VIOLATION {rule}: {what}")

    # What the stand-ins call.

    def new_request(self, route, caller, port):
        self.serial += 1
        request = f"q{self.serial}"
        self.requests[request] = {"route": route, "client": f"{caller.ip}:{port}", "sent": time.monotonic()}
        self.log(f"{request} sent by {caller.ip}:{port} to {route.address[0]}:{route.address[1]}")
        return request

    def is_request_of(self, request, caller, port):
        return request in self.requests and self.requests[request]["client"] == f"{caller.ip}:{port}"

    def record_run(self, upstream, packet, request):
        if request not in self.requests:
            self.add_violation("UNASKED", f"{upstream.name} got {request!r}")
            return False
        first = "run" not in self.requests[request]
        if first:
            self.requests[request]["run"] = (time.monotonic(), upstream)
            self.log(f"{request} run by {upstream.name} of {upstream.service}")
        return first

    def random_service_time(self):
        return 0.02

    def on_reset(self, request):
        """A client got a reset. Notes it when the server that ran the flow's last request still holds the flow; the
        servers of these cases send no resets."""
        self.log(f"{request} reset")
        client = self.requests[request]["client"]
        runs = [it["run"] for it in self.requests.values() if it["client"] == client and "run" in it]
        server = max(runs, key=lambda it: it[0])[1] if runs else None
        ip, port = client.split(":")
        if server and server.alive and (ip_number(ip), int(port)) in server.flows:
            self.resets.append((request, server))
            self.log(f"{request}: the flow was reset while {server.name} held it")

    def choose_entry(self, zone, number):
        """Chooses a node of the zone in rotation as `hash` = mod does."""
        entries = [it for it in self.machines if it.role == "entry" and it.ready]
        local = [it for it in entries if it.zone == zone] or entries
        if not local:
            local = [it for it in self.machines if it.role == "entry" and it.zone == zone]
        return local[zlib.crc32(repr(number).encode()) % len(local)] if local else None

    # Processes.

    def settings_fields(self, machine):
        seeds = [f"{it.ip}:{self.control_port}" for it in self.machines if it.role == "entry"][:3]
        fields = fill_in(NAMES["settings"], {
            "name": machine.name, "zone": machine.zone, "ip": machine.ip, "service": machine.service,
            "app": self.app_port, "packets": self.packet_port, "ready": self.ready_port, "hops": self.hop_port,
            "control": self.control_port, "outbound": self.outbound_port,
            "store": f"{self.store_ip}:{machine.store_port}"})
        return fields | {"seeds": seeds, "bounds": self.bounds}

    def write_settings(self, machine):
        template = ROOT / self.deploy["roles"][machine.role]["template"]
        text = render(template.read_text(), self.settings_fields(machine))
        (self.temporary / f"{machine.name}.yaml").write_text(text)

    def start(self, machine):
        self.write_settings(machine)
        role = self.deploy["roles"][machine.role]
        fields = self.settings_fields(machine)
        program, *arguments = role["run"].split()
        arguments = [re.sub(r"^--settings=.*", f"--settings={self.temporary}/{machine.name}.yaml", it)
                     for it in arguments]
        environment = {it: os.environ[it] for it in ("PATH", "HOME", "LANG") if it in os.environ}
        environment |= {key: render(text, fields) for key, text in role.get("env", {}).items()}
        with open(self.temporary / f"{machine.name}.log", "ab") as log:
            machine.process = subprocess.Popen([ROOT / program, *arguments], cwd=ROOT, env=environment, stdout=log,
                                               stderr=log)
        machine.starts += 1
        self.log(f"{machine.name} started")

    def signal(self, machine, number):
        machine.disturbed_at = time.monotonic()
        if machine.process.poll() is None:
            machine.process.send_signal(number)
            self.log(f"{machine.name} gets {signal.Signals(number).name}")

    async def keep_running(self, machine):
        while not self.stopping:
            if machine.should_run and machine.process.poll() is not None:
                self.log(f"{machine.name} ended with status {machine.process.returncode}")
                await asyncio.sleep(RESTART_DELAY_S)
                if not self.stopping and machine.should_run:
                    self.start(machine)
            await asyncio.sleep(0.05)

    async def probe_readiness(self, machine):
        """Probes a node twice a second; two misses take it out of rotation."""
        while not self.stopping:
            ready = False
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection(machine.ip, self.ready_port), 0.4)
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                ready = b" 200 " in await asyncio.wait_for(reader.readline(), 0.4)
                writer.close()
            except (OSError, asyncio.TimeoutError):
                pass
            machine.misses = 0 if ready else machine.misses + 1
            before, machine.ready = machine.ready, ready or (machine.ready and machine.misses < 2)
            if before != machine.ready:
                self.log(f"{machine.name} is {'in' if machine.ready else 'out of'} rotation")
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def status(self, machine):
        """The daemon's status page; used only to wait until the deployment has started."""
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(machine.ip, self.ready_port), 1)
            writer.write(b"GET /status HTTP/1.1\r\nHost: x\r\n\r\n")
            answer = await asyncio.wait_for(reader.read(), 1)
            writer.close()
            return json.loads(answer.split(b"\r\n\r\n", 1)[1])
        except (OSError, asyncio.TimeoutError, ValueError, IndexError):
            return {}

    # Set-up.

    async def open(self):
        self.store_ip = f"127.{self.network}.9.1"
        for i, zone in enumerate(self.zones):
            self.machines.append(Machine(f"front-{zone}-{i}", f"127.{self.network}.1.{i + 1}", zone, "entry"))
        for i, service in enumerate(self.services):
            self.machines.append(Machine(f"side-{i}", f"127.{self.network}.2.{i + 1}", "ab"[i % 2], "sidecar",
                                         service))
        for machine in self.machines:
            machine.store_port = await self.store.listen(machine.name, self.store_ip)
        self.publish()
        for machine in self.machines:
            self.start(machine)
            self.spawn(self.keep_running(machine))
            if machine.role == "entry":
                self.spawn(self.probe_readiness(machine))
            else:
                await self.new_upstream(machine)
        for i in range(self.client_count):
            caller = Caller(self, f"127.{self.network}.3.{i + 1}", "ab"[i % 2])
            await caller.start()
            self.callers.append(caller)
        await self.wait_until_usable()

    def spawn(self, coroutine):
        self.tasks.append(asyncio.create_task(coroutine))

    async def wait_until_usable(self, seconds=20):
        """Waits until every entry instance can use every server."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            states = [await self.status(it) for it in self.machines if it.role == "entry"]
            if all(it.ready for it in self.machines if it.role == "entry") and all(
                    sum(u["may_take"] for u in it.get("upstreams", [])) == len(self.services) for it in states):
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the deployment did not start")

    async def new_upstream(self, machine):
        upstream = Upstream(self, machine, machine.service, heartbeat_interval=0.77)
        await upstream.start()
        self.upstreams[machine.name] = upstream
        self.log(f"server {upstream.name} of {machine.service} started")
        return upstream

    # The operator.

    def publish(self):
        """Writes the desired state; the store's response is its confirmation."""
        self.version += 3
        spec = {"version": self.version, "services": [], "limits": NAMES["limits"],
                "routes": [fill_in(NAMES["route"], {"name": it.name, "ip": it.address[0], "port": it.address[1],
                                                    "kind": it.kind, "service": it.service}) for it in self.routes]}
        self.store.put("config", "main", spec)
        self.log(f"operator: version {self.version} with {[it.name for it in self.routes]} is confirmed")
        return spec

    async def close(self):
        self.stopping = True
        for task in self.tasks:
            task.cancel()
        for upstream in self.upstreams.values():
            if upstream.alive:
                upstream.crash()
        for machine in self.machines:
            if machine.process and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
            if machine.process:
                machine.process.wait()
        self.record.close()
        if os.environ.get("KEEP_LOGS"):
            print(self.temporary, file=sys.stderr)
        else:
            shutil.rmtree(self.temporary, ignore_errors=True)


class Route:
    def __init__(self, name, address, service, kind="safe"):
        self.name, self.address, self.service, self.kind = name, address, service, kind


def disturbed():
    """False with TROUBLE=0: the case is played without its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


async def play_within_limit(play, folder):
    """Ends the case, and with it all its processes, also after a signal."""
    task = asyncio.current_task()
    for it in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        asyncio.get_running_loop().add_signal_handler(it, task.cancel)
    return await asyncio.wait_for(play(folder), TIME_LIMIT_S)


def main(folder, play):
    """Runs `play(folder)`, which returns the violations of the rule; exits with 1, 0 or 2."""
    try:
        violations = asyncio.run(play_within_limit(play, folder))
    except (Exception, asyncio.CancelledError) as ex:  # Anything that went wrong here says nothing about the rule.
        print(f"could not run: {ex!r}")
        sys.exit(NOT_RUN)
    for it in violations:
        print(it)
    print("the rule was broken" if violations else "the rule held")
    sys.exit(BROKEN if violations else HELD)
