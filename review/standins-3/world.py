"""Stand-ins for the scripted cases: platform, routers, servers and clients on loopback addresses.

The store and the packet format are those of platform/test/soak_world.py. The
programs run with the commands and templates of the deploy file. A case adds
its own order of events; only what clients and servers see is judged.
"""

import asyncio
import dataclasses
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "platform" / "test"))

from soak_world import ACK, FIN, RETURNED, RST, SYN, Packet, Store, decode, ip_number, open_udp  # noqa: E402

# The platform's names for fields and calls.
NAMES = json.loads(pathlib.Path(__file__).with_name("platform.json").read_text())
BOUNDS = {"seedLagS": 3, "addrReuseS": 2, "stabilityWindowMs": 4000, "ackMs": 5000, "syncS": 4, "drainMs": 3000,
          "graceS": 6, "lossSlackMs": 200, "configApplyMs": 3000, "downgradeMs": 250, "maxStretchMs": 12000,
          "recoveryS": 12, "reorderMs": 2000, "maxFlowS": 60}
HEARTBEAT_S = 1.2
RESTART_DELAY_S = 0.5
RESET_RANGE = 76800
TIME_LIMIT_S = 100
SYN_WAITS = (0.2, 0.4, 0.8)


def value_of(fields, path, current=None):
    if path == ".":
        return current
    value = fields
    for part in path.split("."):
        if isinstance(value, list):
            value = value[int(part)] if part.isdigit() and int(part) < len(value) else None
        elif isinstance(value, dict):
            value = value.get(part)
        else:
            return None
    return value


def as_text(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    return ",".join(map(as_text, value)) if isinstance(value, list) else str(value)


def render(template, fields):
    """Fills in a template as DEPLOY.md tells; only what the templates of the deploy file use."""
    def section(match):
        items = value_of(fields, match[1]) or []
        return "".join(match[2].replace("{{.}}", as_text(it)).replace("{{,}}", "," if i + 1 < len(items) else "")
                       for i, it in enumerate(items))
    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda it: as_text(value_of(fields, it[1])), text)


@dataclasses.dataclass(eq=False)
class Node:
    """A machine with one process of the system."""
    name: str
    role: str
    ip: str
    zone: str
    service: str = ""
    seeds: tuple = ()
    process: subprocess.Popen = None
    store_port: int = 0
    in_rotation: bool = False
    misses: int = 2
    keep: bool = True


class World:
    def __init__(self):
        self.bounds, self.heartbeat_s, self.service_fields = dict(BOUNDS), HEARTBEAT_S, {}
        self.random = random.Random()
        self.net = f"127.{self.random.randrange(20, 250)}.{self.random.randrange(1, 250)}"
        ports = self.random.sample(range(20000, 30000), 7)
        (self.packet_port, self.ready_port, self.control_port, self.hop_port, self.app_port, self.outbound_port,
         _) = ports
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="kumquatvalve-case-"))
        self.deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.store, self.nodes, self.tasks, self.log = Store(), [], [], []
        self.start_time = time.monotonic()
        self.broken = []
        self.version = 7
        self.processes = []

    def record(self, text):
        self.log.append(f"{time.monotonic() - self.start_time:8.3f} {text}")

    def add_break(self, text):
        self.broken.append(text)
        self.record("BROKEN " + text)

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.append(task)
        return task

    # Machines.

    def fields(self, node):
        front = node.role == "entry"
        listen = {NAMES["packets"]: f"{node.ip}:{self.packet_port}", "ready": f"{node.ip}:{self.ready_port}",
                  "control": f"{node.ip}:{self.control_port}"}
        if not front:
            listen["outbound"] = f"{node.ip}:{self.outbound_port}"
        return {"node": node.name, "role": node.role, "machineClass": "front" if front else "side",
                "serves": self.deploy["roles"][node.role]["serves"], "ip": node.ip, "zone": node.zone, "region": "r",
                "listen": listen, NAMES["internal_ports"]: [self.hop_port, self.hop_port + 15],
                "seeds": list(node.seeds), "heartbeatIntervalMs": int(self.heartbeat_s * 1000), "bounds": self.bounds,
                "hash": "mod", "deploymentMode": "agent", "service": node.service,
                "app": f"{node.ip}:{self.app_port}",
                "platform": {"address": f"{self.net}.250:{node.store_port}", "deploymentMode": "objects",
                             "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576}}

    def start(self, node):
        role = self.deploy["roles"][node.role]
        fields = self.fields(node)
        settings = self.folder / f"{node.name}.settings"
        settings.write_text(render((ROOT / role["template"]).read_text(), fields))
        words = [f"--settings={settings}" if it.startswith("--settings=") else it for it in role["run"].split()]
        environment = {it: os.environ[it] for it in ("PATH", "HOME", "LANG") if it in os.environ}
        environment |= {key: render(text, fields) for key, text in role.get("env", {}).items()}
        environment["KUMQUATVALVE_CONFIG"] = str(settings)
        with open(self.folder / f"{node.name}.log", "ab") as log:
            node.process = subprocess.Popen([str(ROOT / words[0])] + words[1:], cwd=ROOT, env=environment,
                                            stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        self.processes.append(node.process)
        self.record(f"{node.name} started")

    async def add_machine(self, node):
        node.store_port = await self.store.listen(node.name, f"{self.net}.250")
        self.nodes.append(node)
        self.start(node)
        self.spawn(self.keep_running(node))
        if node.role == "entry":
            self.spawn(self.probe(node))

    async def keep_running(self, node):
        """Restarts the process a short time after its end, as the platform does."""
        while True:
            await asyncio.sleep(0.02)
            if node.keep and node.process.poll() is not None:
                self.record(f"{node.name} ended with {node.process.returncode}")
                await asyncio.sleep(RESTART_DELAY_S)
                self.start(node)

    async def get(self, ip, port, path, timeout=0.5):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, port), timeout)
            writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            answer = await asyncio.wait_for(reader.read(), timeout)
            writer.close()
            return answer
        except (OSError, asyncio.TimeoutError):
            return b""

    async def probe(self, node):
        """The routers' readiness probe: twice a second, two misses take the node out of rotation."""
        while True:
            ready = b" 200 " in (await self.get(node.ip, self.ready_port, "/readyz")).split(b"\r\n")[0]
            node.misses = 0 if ready else node.misses + 1
            rotation = ready or (node.in_rotation and node.misses < 2)
            if rotation != node.in_rotation:
                self.record(f"{node.name} is {'in' if rotation else 'out of'} rotation")
            node.in_rotation = rotation
            await asyncio.sleep(0.5)

    def choose_entry(self, number):
        entries = [it for it in self.nodes if it.role == "entry"]
        ready = [it for it in entries if it.in_rotation]
        if 2 * len(ready) < len(entries):
            ready = entries
        return ready[number % len(ready)]

    async def terminate(self, node):
        """SIGTERM, and SIGKILL after graceS; `keep_running` starts the process again."""
        process = node.process
        self.record(f"{node.name} gets SIGTERM")
        process.send_signal(signal.SIGTERM)
        end = time.monotonic() + self.bounds["graceS"]
        while process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.02)
        if process.poll() is None:
            process.kill()

    def put_config(self, routes):
        self.version += 3
        self.store.put("config", "main", {
            "version": self.version, "services": [{"name": it} | self.service_fields for it in sorted({r[2] for r in routes})],
            "limits": {NAMES["idle_timeout"]: 12000},
            "routes": [{"name": f"r-{host}", "host": host, NAMES["port"]: f"/{port}/", "type": "safe",
                        "timeoutMs": 3000, NAMES["target_latency"]: 200, "priority": 1, "service": service}
                       for host, port, service in routes]})
        self.record(f"config version {self.version} confirmed: {routes}")

    async def wait_until(self, condition, seconds, what):
        end = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > end:
                raise CannotRun(f"timeout: {what}")
            await asyncio.sleep(0.02)

    async def close(self):
        for it in self.tasks:
            it.cancel()
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=2)
        for it in self.processes:
            if it.poll() is None:
                it.send_signal(signal.SIGCONT)
                it.kill()
            it.wait()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder)


class CannotRun(Exception):
    pass


class Server:
    """A boot of a server on a side machine."""

    def __init__(self, world, node, slots=5, work_s=0.03, name=None):
        self.world, self.node, self.slots, self.work_s = world, node, slots, work_s
        self.born = int(time.time() * 1000)
        self.name = name or f"i-{self.born:x}-{node.name}"
        self.flows, self.ended, self.sequence, self.state = {}, set(), 0, "ready"
        self.alive, self.confirmed, self.packets = True, 0, 0
        self.drain_confirmed_at, self.cold_until, self.first_packets = None, 0, []

    async def start(self):
        self.transport = await open_udp((self.node.ip, self.world.app_port), self.receive)
        self.world.record(f"{self.name} runs on {self.node.name}")
        self.beats = self.world.spawn(self.beat())

    async def beat(self):
        while self.alive:
            await self.report()
            await asyncio.sleep(self.world.heartbeat_s)

    def body(self):
        return {"service": self.node.service, "address": f"{self.node.ip}:{self.world.app_port}",
                "zone": self.node.zone, "version": "v1", "slots": self.slots, "state": self.state,
                NAMES["warm_up_left"]: self.warm_up_left_ms(), "seq": self.sequence, "born": self.born}

    def status_line(self):
        return "200 OK"

    def warm_up_left_ms(self):
        return max(0, round(1000 * (self.cold_until - time.monotonic())))

    async def report(self):
        self.sequence += 1
        state = self.state
        status = await self.post(f"{self.name}/heartbeat", self.body())
        if status == 200:
            self.confirmed += 1
            if state == "draining" and self.drain_confirmed_at is None:
                self.drain_confirmed_at = time.monotonic()
                self.world.record(f"{self.name} has its drain confirmed")
        return status

    async def post(self, path, body):
        """Sends a status report of this machine; 0 when there is no answer within a second."""
        text = json.dumps(body).encode()
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.node.ip, self.world.control_port), 1)
            writer.write(f"POST {NAMES['reports']}{path} HTTP/1.1\r\nHost: x\r\nContent-Type: application/json"
                         f"\r\nContent-Length: {len(text)}\r\n\r\n".encode() + text)
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            status = int(line.split()[1])
        except (OSError, asyncio.TimeoutError, IndexError, ValueError):
            status = 0
        self.world.record(f"status report {path} {body.get('state', '')} seq {body.get('seq', '')}: {status}")
        return status

    async def leave(self, stay_s):
        """Reports draining until that is confirmed, stays, deregisters and exits."""
        self.state = "draining"
        while await self.report() != 200:
            await asyncio.sleep(0.2)
        await asyncio.sleep(stay_s)
        await self.post(f"{self.name}/deregister", {"born": self.born})
        self.stop()

    def stop(self):
        self.alive, self.stopped_at = False, time.monotonic()
        self.beats.cancel()
        self.transport.close()
        self.world.record(f"{self.name} has ended")

    def send(self, packet):
        self.transport.sendto(packet.encode(), (self.node.ip, self.world.outbound_port))

    def receive(self, raw):
        packet, intact = decode(raw)
        if not intact:
            self.world.add_break(f"UNASKED {self.name} got a changed packet")
            return
        self.packets += 1
        key = (packet.src, packet.sport)
        if packet.flags & SYN:
            if key not in self.flows:
                self.first_packets.append((time.monotonic(), packet.sport))
            self.flows.setdefault(key, {"isn": random.getrandbits(31), "next": packet.seq + 1, "sent": 0,
                                        "open": False, "runs": {}})
            flow = self.flows[key]
            self.reply(packet, SYN | ACK, flow["isn"], packet.seq + 1)
            return
        flow = self.flows.get(key)
        if flow is None and key in self.ended:
            self.reply(packet, ACK if packet.flags & FIN else RST, packet.ack, packet.seq + 1)
            return
        if flow is None or (not flow["open"] and packet.ack != (flow["isn"] + 1) % 2**32):
            self.send(Packet(**vars(packet) | {"flags": packet.flags | RETURNED}))
            return
        if packet.flags & RST:
            del self.flows[key]
            return
        if not flow["open"]:
            flow["open"] = True
            self.world.record(f"{self.name} has flow {packet.sport} open")
        if packet.data and packet.seq not in flow["runs"]:
            flow["runs"][packet.seq] = None
            flow["next"] = packet.seq + len(packet.data)
            self.world.spawn(self.run(packet, key, flow))
        elif packet.data and flow["runs"][packet.seq]:
            self.send(flow["runs"][packet.seq])
        elif packet.flags & FIN:
            del self.flows[key]
            self.ended.add(key)
            self.reply(packet, FIN | ACK, flow["isn"] + 1 + flow["sent"], packet.seq + 1)

    def reply(self, packet, flags, seq, ack, data=b""):
        answer = Packet(packet.dst, packet.dport, packet.src, packet.sport, flags, seq % 2**32, ack % 2**32, data)
        self.send(answer)
        return answer

    async def run(self, packet, key, flow):
        request = re.search(rb"Kumquatvalve-Request-Id: (\S+)", packet.data)[1].decode()
        status = self.status_line()
        self.world.record(f"{self.name} runs {request}: {status}")
        await asyncio.sleep(self.work_s)
        if not self.alive or key not in self.flows:
            return
        body = f"{request} by {self.name}".encode()
        answer = (f"HTTP/1.1 {status}\r\nKumquatvalve-Server-Stamp: {self.name}\r\nContent-Length: {len(body)}\r\n\r\n"
                  .encode() + body)
        flow["runs"][packet.seq] = self.reply(packet, ACK, flow["isn"] + 1 + flow["sent"], flow["next"], answer)
        flow["sent"] += len(answer)


class Client:
    """A host that opens flows with long pauses between their requests."""

    def __init__(self, world, ip):
        self.world, self.ip, self.waiting = world, ip, {}

    async def start(self):
        self.transport = await open_udp((self.ip, self.world.packet_port), self.receive)

    def receive(self, raw):
        packet, intact = decode(raw)
        if not intact and not (packet.flags & RST and not packet.data):
            self.world.add_break("MIXED a client got a changed packet")
        elif packet.dport in self.waiting:
            self.waiting[packet.dport].put_nowait(packet)

    def flow(self, port, host, service_port):
        return Flow(self, port, host, service_port)


class Flow:
    def __init__(self, client, port, host, service_port):
        self.client, self.world, self.port, self.host, self.service_port = (client, client.world, port, host,
                                                                            service_port)
        self.isn, self.queue, self.seq, self.ack, self.is_open = random.getrandbits(31), asyncio.Queue(), 0, 0, False
        self.answered, self.server, self.serial = 0, None, 0
        client.waiting[port] = self.queue

    def send(self, flags, data=b""):
        packet = Packet(ip_number(self.client.ip), self.port, ip_number(self.host), self.service_port, flags,
                        self.seq % 2**32, self.ack % 2**32, data)
        entry = self.world.choose_entry(self.port)
        self.client.transport.sendto(packet.encode(), (entry.ip, self.world.packet_port))
        return entry.name

    async def next_packet(self, seconds):
        try:
            return await asyncio.wait_for(self.queue.get(), seconds)
        except asyncio.TimeoutError:
            return None

    async def open(self):
        """Returns "open", "reset" or "silent"."""
        for i, wait in enumerate(SYN_WAITS):
            self.seq, self.ack = self.isn, i
            self.send(SYN)
            packet = await self.next_packet(wait)
            if packet and packet.flags & RST:
                return "reset"
            if packet:
                self.seq, self.ack, self.is_open = self.isn + 1, packet.seq + 1, True
                self.send(ACK)
                return "open"
        return "silent"

    async def request(self, limit=3.0):
        """Returns "answered", "reset" or "silent"."""
        self.serial += 1
        name = f"q-{self.port}-{self.serial}"
        data = f"GET / HTTP/1.1\r\nHost: x\r\nKumquatvalve-Request-Id: {name}\r\n\r\n".encode()
        end, wait = time.monotonic() + limit, 0.2
        while time.monotonic() < end:
            entry = self.send(ACK, data)
            self.world.record(f"client sends {name} through {entry}")
            step = min(end, time.monotonic() + wait)
            while (left := step - time.monotonic()) > 0:
                packet = await self.next_packet(left)
                if packet is None:
                    break
                if packet.flags & RST:
                    # Only a number near the last acknowledgment resets an open flow.
                    if (packet.seq - self.ack + RESET_RANGE) % 2**32 > 2 * RESET_RANGE:
                        continue
                    self.world.record(f"client gets a reset on flow {self.port} for {name}")
                    return "reset"
                if packet.data and packet.seq == self.ack % 2**32:
                    self.seq += len(data)
                    self.ack += len(packet.data)
                    if f"\r\n\r\n{name} by ".encode() not in packet.data:
                        self.world.add_break(f"MIXED {name} got {packet.data!r}")
                    self.server = packet.data.rsplit(b" by ", 1)[1].decode()
                    if not packet.data.startswith(b"HTTP/1.1 200"):
                        self.world.record(f"client gets a failure for {name} from {self.server}")
                        return "failed"
                    self.answered += 1
                    self.world.record(f"client gets the answer to {name} from {self.server}")
                    return "answered"
            wait = min(2 * wait, 1.6)
        self.world.record(f"client gives up {name}")
        return "silent"


def run_case(play, folder):
    """Plays a case and exits: status 1 broken, 0 held, 2 could not run."""
    async def main():
        world = World()
        trouble = os.environ.get("TROUBLE", "1") != "0"
        status = 2
        try:
            await asyncio.wait_for(play(world, trouble), TIME_LIMIT_S)
            status = 1 if world.broken else 0
        except (CannotRun, OSError, asyncio.TimeoutError) as ex:
            world.record(f"cannot run: {ex}")
        finally:
            await world.close()
            world.record(f"trouble {'on' if trouble else 'off'}: " +
                         ("BROKEN" if status == 1 else "held" if status == 0 else "could not run"))
            (pathlib.Path(folder) / "record.txt").write_text("\n".join(world.log) + "\n")
            print(world.log[-1].strip(), *world.broken[:5], sep="\n")
        return status
    status = asyncio.new_event_loop().run_until_complete(main())
    sys.stdout.flush()
    # A task that missed its cancellation must not keep the process.
    os._exit(status)
