"""A small deployment on loopback addresses: the project's daemons as separate processes, and stand-ins for the rest.

The store comes from platform/test/soak_world.py. Routers, servers and clients
are written here from the protocol page. Nothing here changes a clock, the
network settings or a file outside the temporary folder and the case's folder.
"""

import asyncio
import collections
import dataclasses
import json
import os
import pathlib
import random
import re
import shlex
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import zlib

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "platform" / "test"))
from soak_world import Store  # noqa: E402

SYN, ACK, FIN, RST, BOUNCED = 4, 16, 128, 8, 1
HEAD = struct.Struct(">IIB5sHIIHHII")  # seq ack flags pad dport dst src sport len sum echo

# Bounds of the site tarima-lb-grown.
BOUNDS = {"seedLagS": 3, "addrReuseS": 2, "stabilityWindowMs": 5000, "ackMs": 8000, "syncS": 6, "drainMs": 5000,
          "graceS": 6, "lossSlackMs": 200, "configApplyMs": 5000, "downgradeMs": 250, "maxStretchMs": 15000,
          "recoveryS": 15, "reorderMs": 2000, "maxFlowS": 60}
HEARTBEAT_S = 1.2
# The platform's names for fields and calls, with placeholders for the values.
PLATFORM = json.loads((pathlib.Path(__file__).resolve().parent / "platform.json").read_text())
STABILITY_S = BOUNDS["stabilityWindowMs"] / 1000
# A process that ended is started again after this time.
RESTART_DELAY_S = 0.3
RETRANSMIT_S, RETRANSMIT_MAX_S, MAX_RETRANSMISSIONS = 0.2, 1.6, 8
# A reset counts for an open flow when its number is this close to the client's last `ack`.
RESET_WINDOW = 76800


def number(ip):
    return struct.unpack(">I", socket.inet_aton(ip))[0]


@dataclasses.dataclass
class Packet:
    src: int
    sport: int
    dst: int
    dport: int
    flags: int
    seq: int = 0
    ack: int = 0
    data: bytes = b""

    def keyed_sum(self):
        head = struct.pack(">IIBHIIH", self.seq & 0xffffffff, self.ack & 0xffffffff, self.flags & ~BOUNCED, self.dport,
                           self.dst, self.src, self.sport)
        return zlib.crc32(b"key of the stand-ins" + head + self.data)

    def encode(self, echo=0):
        return HEAD.pack(self.seq & 0xffffffff, self.ack & 0xffffffff, self.flags, bytes(5), self.dport, self.dst,
                         self.src, self.sport, len(self.data), self.keyed_sum(), echo) + self.data


def decode(raw):
    """Returns the packet, whether its sender wrote it so, its sum and its echo field."""
    seq, ack, flags, _, dport, dst, src, sport, size, total, echo = HEAD.unpack_from(raw)
    packet = Packet(src, sport, dst, dport, flags, seq, ack, raw[HEAD.size:])
    return packet, size == len(packet.data) and total == packet.keyed_sum(), total, echo


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, receive):
        self.receive = receive

    def datagram_received(self, data, addr):
        self.receive(data)


async def open_udp(address, receive):
    transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(lambda: Datagrams(receive),
                                                                            local_addr=address)
    return transport


def free_port(ip):
    """A port that is free for UDP and TCP at the address."""
    while True:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp, socket.socket() as tcp:
            udp.bind((ip, 0))
            try:
                tcp.bind((ip, udp.getsockname()[1]))
                return udp.getsockname()[1]
            except OSError:
                continue


def render(template, fields):
    """Fills in a settings template, as far as the project's templates need it."""
    def lookup(name, scope):
        value = scope
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return value

    def section(match):
        try:
            entries = lookup(match[1], fields)
        except KeyError:
            return ""
        if not isinstance(entries, list):
            return match[2] if entries else ""
        parts = []
        for i, entry in enumerate(entries):
            text = match[2].replace("{{.}}", str(entry))
            parts.append(text.replace("{{,}}", "," if i + 1 < len(entries) else ""))
        return "".join(parts)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(lookup(m[1], fields)), text)


def fill(template, **values):
    """Fills in the placeholders in all texts of a template."""
    if isinstance(template, str):
        return template.format(**values)
    if isinstance(template, list):
        return [fill(it, **values) for it in template]
    if isinstance(template, dict):
        return {key: fill(it, **values) for key, it in template.items()}
    return template


async def paced_link(ip, port, mbps):
    """Listens on a new port and passes connections on to `port`, in the other direction at `mbps`. Returns the port."""
    chunk_s = 0.005
    chunk = int(mbps * 1e6 / 8 * chunk_s)

    async def copy(reader, writer, paced):
        free_at = time.monotonic()
        try:
            while data := await reader.read(chunk if paced else 65536):
                if paced:
                    free_at = max(free_at, time.monotonic()) + len(data) / chunk * chunk_s
                    await asyncio.sleep(max(0.0, free_at - time.monotonic()))
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def serve(reader, writer):
        there, back = await asyncio.open_connection(ip, port)
        await asyncio.gather(copy(reader, back, False), copy(there, writer, True))

    server = await asyncio.start_server(serve, ip, 0)
    return server.sockets[0].getsockname()[1]


class Segments:
    """One end's packets in flight: retransmits the oldest ones until they are acknowledged."""

    def __init__(self, send, give_up=lambda: None):
        self.send, self.give_up = send, give_up
        self.waiting = collections.deque()  # (end sequence, packet)
        self.task = None

    def push(self, packet, length):
        self.waiting.append((packet.seq + length, packet))
        self.send(packet)
        if self.task is None or self.task.done():
            self.task = asyncio.create_task(self.retransmit())

    def on_ack(self, ack):
        while self.waiting and self.waiting[0][0] <= ack:
            self.waiting.popleft()

    async def retransmit(self):
        wait, tries = RETRANSMIT_S, 0
        while self.waiting:
            oldest = self.waiting[0]
            await asyncio.sleep(wait)
            if not self.waiting:
                return
            if self.waiting[0] is not oldest:
                wait, tries = RETRANSMIT_S, 0
                continue
            if tries == MAX_RETRANSMISSIONS:
                self.waiting.clear()
                self.give_up()
                return
            self.send(oldest[1])
            wait, tries = min(wait * 2, RETRANSMIT_MAX_S), tries + 1

    def stop(self):
        self.waiting.clear()
        if self.task:
            self.task.cancel()


class ServerFlow:
    def __init__(self, isn, client_isn):
        self.isn, self.next_seq, self.expected = isn, isn + 1, client_isn + 1
        self.open = False
        self.opened_at = None
        self.ended = False
        self.buffer = b""
        self.segments = None


class Server:
    """An application server: speaks packets, runs requests, sends status reports to its own machine."""

    def __init__(self, world, node, born_ms=None, lost_reports=0):
        self.world, self.node, self.service = world, node, node.service
        # So many of the first status reports are lost: their connections are reset.
        self.lost_reports = lost_reports
        world.serial += 1
        self.id = f"i-{world.serial:08x}"
        self.born = int(time.time() * 1000) if born_ms is None else born_ms
        self.started_at = time.monotonic()
        self.alive, self.draining = True, False
        self.flows, self.reports = {}, 0
        self.drain_confirmed_at = None
        self.tasks = set()
        self.slots = asyncio.Semaphore(world.slots)

    async def start(self):
        self.transport = await open_udp((self.node.ip, self.node.ports["app"]), self.receive)
        self.world.record("server_start", server=self.id, machine=self.node.name, service=self.service, born=self.born)
        self.spawn(self.report_status())

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def crash(self):
        self.alive = False
        self.node.server_disturbed_at = time.monotonic()
        self.transport.close()
        for flow in self.flows.values():
            flow.segments.stop()
        for task in list(self.tasks):
            task.cancel()
        self.world.record("server_crash", server=self.id)

    async def report_status(self):
        while self.alive:
            await self.report_once()
            await asyncio.sleep(HEARTBEAT_S * random.uniform(0.95, 1.05))

    async def report_once(self):
        self.reports += 1
        state = "draining" if self.draining else "ready"
        if self.reports <= self.lost_reports:
            self.world.record("report_lost", server=self.id, seq=self.reports)
            return
        status = await self.world.post_report(self.node, self.id, "heartbeat", self.report_body(state))
        if status == 200 and state == "draining" and self.drain_confirmed_at is None:
            self.drain_confirmed_at = time.monotonic()
            self.world.record("drain_confirmed", server=self.id)

    def report_body(self, state):
        return PLATFORM["report"] | {
            "service": self.service, "address": f"{self.node.ip}:{self.node.ports['app']}", "zone": self.node.zone,
            "slots": self.world.slots, "state": state, "seq": self.reports, "born": self.born}

    def transmit(self, packet):
        if self.alive:
            self.transport.sendto(packet.encode(), (self.node.ip, self.node.ports["outbound"]))

    def receive(self, raw):
        packet, intact, _, echo = decode(raw)
        if not intact:
            self.world.violation("UNASKED", f"{self.id} got a packet that its sender did not write so")
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if packet.flags & ACK:
                return
            self.on_syn(packet, key, flow)
            return
        if flow is None or not flow.open and packet.ack != flow.isn + 1:
            bounced = dataclasses.replace(packet, flags=packet.flags | BOUNCED)
            self.transport.sendto(bounced.encode(echo), (self.node.ip, self.node.ports["outbound"]))
            self.world.record("server_bounced", server=self.id, port=packet.sport)
            return
        if not flow.open:
            flow.open, flow.opened_at = True, time.monotonic()
            self.world.record("flow_open", server=self.id, port=packet.sport)
        flow.segments.on_ack(packet.ack)
        self.on_segment(packet, key, flow)

    def on_syn(self, packet, key, flow):
        if flow is not None and flow.expected == packet.seq + 1:
            self.transmit(self.make(key, SYN | ACK, flow.isn, flow.expected))
            return
        if self.drain_confirmed_at and time.monotonic() - self.drain_confirmed_at > BOUNDS["drainMs"] / 1000:
            self.world.late_syns.append((time.monotonic(), self, packet.sport))
            self.world.record("late_first_packet", server=self.id, port=packet.sport,
                              after_s=round(time.monotonic() - self.drain_confirmed_at, 2))
        flow = ServerFlow(random.getrandbits(30), packet.seq)
        flow.segments = Segments(self.transmit, lambda: self.flows.pop(key, None))
        self.flows[key] = flow
        flow.segments.push(self.make(key, SYN | ACK, flow.isn, flow.expected), 1)

    def make(self, key, flags, seq, ack, data=b""):
        src, sport, dst, dport = key
        return Packet(dst, dport, src, sport, flags, seq, ack, data)

    def on_segment(self, packet, key, flow):
        length = len(packet.data) + bool(packet.flags & FIN)
        if not length:
            return
        if packet.seq != flow.expected:
            self.transmit(self.make(key, ACK, flow.next_seq, flow.expected))
            return
        flow.expected += length
        flow.buffer += packet.data
        if packet.flags & FIN:
            flow.ended = True
            flow.segments.push(self.make(key, FIN | ACK, flow.next_seq, flow.expected), 1)
            flow.next_seq += 1
            return
        if b"\r\n\r\n" in flow.buffer:
            request, flow.buffer = flow.buffer, b""
            self.spawn(self.run(request.decode(), key, flow))

    async def run(self, request, key, flow):
        request_id = re.search(r"Kumquatvalve-Request-Id: (\S+)", request)[1]
        self.world.on_run(self, request_id)
        async with self.slots:
            await asyncio.sleep(self.world.work_s)
        body = f"{request_id} by {self.id}"
        answer = (f"HTTP/1.1 200 OK\r\nKumquatvalve-Server-Stamp: {self.id}\r\nContent-Length: {len(body)}\r\n\r\n"
                  f"{body}").encode()
        flow.segments.push(self.make(key, ACK, flow.next_seq, flow.expected, answer), len(answer))
        flow.next_seq += len(answer)


class ClientFlow:
    """A flow that a client keeps open for many requests, with pauses between them."""

    def __init__(self, world, client, route):
        self.world, self.client, self.route = world, client, route
        client.next_port += 1
        self.port = client.next_port
        self.isn = random.getrandbits(28)
        self.next_seq, self.expected = self.isn + 1, None
        self.queue, self.answers = asyncio.Queue(), asyncio.Queue()
        self.segments = Segments(self.transmit)
        self.opened_at = None
        self.state = "new"
        self.last_entry = None
        self.last_packet_at = 0.0
        client.flows[self.port] = self

    def packet(self, flags, seq, ack, data=b""):
        return Packet(number(self.client.ip), self.port, number(self.route[0]), self.route[1], flags, seq, ack, data)

    def transmit(self, packet):
        if self.expected is not None and not packet.flags & SYN:
            packet = dataclasses.replace(packet, ack=self.expected)
        entry = self.world.choose_entry(self.client, self.port, self.route)
        if entry:
            self.last_entry = entry
            self.client.transport.sendto(packet.encode(), (entry.ip, self.world.packet_port))

    async def open(self):
        """Opens the flow. Returns False when no server accepted it in 1.4 s."""
        end = time.monotonic() + 1.4
        for copy, wait in enumerate((0.2, 0.4, 0.8)):
            self.transmit(self.packet(SYN, self.isn, copy))
            until = min(end, time.monotonic() + wait)
            while self.state == "new" and time.monotonic() < until:
                try:
                    packet = await asyncio.wait_for(self.queue.get(), max(0.0, until - time.monotonic()))
                except asyncio.TimeoutError:
                    break
                if packet.flags & RST:
                    self.state = "refused"
                elif packet.flags & SYN:
                    self.expected, self.state, self.opened_at = packet.seq + 1, "open", time.monotonic()
            if self.state != "new":
                break
        if self.state != "open":
            self.world.record("not_opened", port=self.port, state=self.state)
            return False
        self.transmit(self.packet(ACK, self.next_seq, self.expected))
        return True

    def receive(self, packet, total):
        if self.state == "new":
            self.queue.put_nowait(packet)
            return
        if self.state != "open":
            return
        if packet.flags & RST:
            near = abs(packet.seq - self.expected) <= RESET_WINDOW
            self.world.on_client_reset(self, total == 0, near)
            if near:
                self.state = "reset"
                self.segments.stop()
                self.answers.put_nowait(None)
            return
        self.segments.on_ack(packet.ack)
        length = len(packet.data) + bool(packet.flags & FIN)
        if packet.flags & SYN or not length:
            return
        if packet.seq == self.expected:
            self.expected += length
            if packet.data:
                self.answers.put_nowait(packet.data.decode())
        self.transmit(self.packet(ACK, self.next_seq, self.expected))

    def close(self):
        """The client gives the flow up."""
        self.state = "closed"
        self.segments.stop()
        self.client.flows.pop(self.port, None)

    async def request(self, limit=4.0):
        """Sends one request. Returns 'answered', 'reset' or 'timeout'."""
        request_id = self.world.new_request(self)
        text = f"GET /board HTTP/1.1\r\nKumquatvalve-Request-Id: {request_id}\r\nContent-Length: 0\r\n\r\n".encode()
        self.segments.push(self.packet(ACK, self.next_seq, self.expected, text), len(text))
        self.next_seq += len(text)
        try:
            answer = await asyncio.wait_for(self.answers.get(), limit)
        except asyncio.TimeoutError:
            self.world.record("no_answer", request=request_id, port=self.port)
            return "timeout"
        if answer is None:
            return "reset"
        if f"\r\n\r\n{request_id} by " not in answer:
            self.world.violation("MIXED", f"{request_id} got {answer!r}")
        self.world.record("answered", request=request_id, port=self.port, by=answer.rsplit(" ", 1)[1])
        return "answered"


class Client:
    def __init__(self, world, ip, zone):
        self.world, self.ip, self.zone = world, ip, zone
        self.flows, self.next_port = {}, 1024

    async def start(self):
        self.transport = await open_udp((self.ip, self.world.packet_port), self.receive)

    def receive(self, raw):
        packet, intact, total, _ = decode(raw)
        if not intact and not (packet.flags & RST and total == 0 and not packet.data):
            self.world.violation("MIXED", "a client got a packet that its sender did not write so")
            return
        flow = self.flows.get(packet.dport)
        if flow:
            flow.receive(packet, total)


@dataclasses.dataclass(eq=False)
class Node:
    """A machine with one daemon."""
    name: str
    ip: str
    zone: str
    machine_class: str
    service: str = ""
    ports: dict = dataclasses.field(default_factory=dict)
    store_address: str = ""
    # Rate of the machine's link, as far as it delays what the store sends; 0 for no delay.
    link_mbps: float = 0
    process: subprocess.Popen = None
    # Last moment at which the machine or its server was disturbed, and by what.
    disturbed_at: float = -1e9
    planned: bool = False
    server_disturbed_at: float = -1e9
    in_rotation: bool = False
    misses: int = 0
    keep: bool = True


class World:
    def __init__(self, folder, entries=3, services=(("patio", 2), ("evidencia", 2)), zone="gye-norte", slots=5,
                 work_s=0.034):
        # Requests that a server runs at a time, and the time that each one takes.
        self.slots, self.work_s = slots, work_s
        self.folder = pathlib.Path(folder)
        self.log = open(self.folder / "record.txt", "w")
        self.began = time.monotonic()
        self.temporary = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.net = 10 + (os.getpid() + random.randrange(200)) % 230
        self.serial, self.requests, self.runs = 0, {}, {}
        self.violations, self.late_syns, self.resets = [], [], []
        self.stopping = False
        self.store, self.nodes, self.servers, self.clients = Store(), [], {}, []
        self.store_ip = f"127.{self.net}.9.1"
        self.zone = zone
        self.packet_port = free_port(f"127.{self.net}.1.1")
        self.spec = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        for i in range(entries):
            self.nodes.append(Node(f"front-{zone}-{i + 1}", f"127.{self.net}.1.{i + 1}", zone, "front"))
        i = 0
        for service, count in services:
            for _ in range(count):
                i += 1
                self.nodes.append(Node(f"side-{zone}-{i}", f"127.{self.net}.2.{i}", zone, "side", service))

    def record(self, what, **values):
        line = f"{time.monotonic() - self.began:8.3f} {what} " + " ".join(f"{k}={v}" for k, v in values.items())
        self.log.write(line + "\n")
        self.log.flush()

    def violation(self, rule, text):
        self.violations.append(f"{rule}: {text}")
        self.record("VIOLATION", rule=rule, text=text)

    @property
    def entries(self):
        return [it for it in self.nodes if it.machine_class == "front"]

    @property
    def sides(self):
        return [it for it in self.nodes if it.machine_class == "side"]

    # Requests and checks.

    def new_request(self, flow):
        self.serial += 1
        request_id = f"q{self.serial}"
        self.requests[request_id] = flow
        self.record("sent", request=request_id, client=flow.client.ip, port=flow.port)
        return request_id

    def on_run(self, server, request_id):
        self.record("run", request=request_id, server=server.id, service=server.service)
        if request_id not in self.requests:
            self.violation("UNASKED", f"{request_id} at {server.id}")
        elif request_id in self.runs:
            self.violation("TWICE", f"{request_id} at {self.runs[request_id]} and {server.id}")
        self.runs[request_id] = server.id

    def holder(self, flow):
        """The living server that has the flow open."""
        key = (number(flow.client.ip), flow.port, number(flow.route[0]), flow.route[1])
        for server in self.servers.values():
            if server.alive and key in server.flows and server.flows[key].open and not server.flows[key].ended:
                return server
        return None

    def on_client_reset(self, flow, own_form, near):
        """Checks rule FLOW (a) for a reset that a client got on a flow that it had opened."""
        now, server = time.monotonic(), self.holder(flow)
        self.record("reset", port=flow.port, from_system=own_form, within_window=near,
                    holder=server.id if server else "none", entry=flow.last_entry.name if flow.last_entry else "none")
        if not own_form or not near or server is None:
            return
        self.resets.append((now, flow, server))
        if now - flow.opened_at > BOUNDS["maxFlowS"]:
            return
        calm_server = now - max(server.node.server_disturbed_at, server.started_at) > STABILITY_S
        machines = [flow.last_entry, server.node]
        unplanned = [it for it in self.nodes if it in machines and now - it.disturbed_at <= STABILITY_S
                     and not it.planned]
        if calm_server and not unplanned:
            self.violation("FLOW", f"flow {flow.port} was reset by the system while {server.id} held it; "
                                   f"{now - flow.opened_at:.1f} s after it opened")

    # The platform's routers.

    def choose_entry(self, client, port, route):
        entries = [it for it in self.entries if it.zone == client.zone]
        ready = [it for it in entries if it.in_rotation]
        if 2 * len(ready) < len(entries):
            ready = entries
        if not ready:
            return None
        return ready[zlib.crc32(repr((client.ip, port, route)).encode()) % len(ready)]

    async def probe(self, node):
        while not self.stopping:
            ready = await self.get(node.ip, node.ports["ready"], "/readyz", 0.45) == 200
            node.misses = 0 if ready else node.misses + 1
            rotation = ready or (node.in_rotation and node.misses < 2)
            if rotation != node.in_rotation:
                node.in_rotation = rotation
                self.record("rotation", node=node.name, takes_part=rotation)
            await asyncio.sleep(0.5)

    @staticmethod
    async def get(ip, port, path, limit):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, port), limit)
            writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            line = await asyncio.wait_for(reader.readline(), limit)
            writer.close()
            return int(line.split()[1])
        except (OSError, asyncio.TimeoutError, ValueError, IndexError):
            return None

    async def status(self, node):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(node.ip, node.ports["ready"]), 1)
            writer.write(b"GET /status HTTP/1.1\r\nHost: x\r\n\r\n")
            answer = await asyncio.wait_for(reader.read(), 1)
            writer.close()
            return json.loads(answer.split(b"\r\n\r\n", 1)[1])
        except (OSError, asyncio.TimeoutError, ValueError, IndexError):
            return {}

    async def post_report(self, node, server_id, what, body):
        """Sends a status report to the server's own machine. Returns the status; None without one within 1 s."""
        text = json.dumps(body)
        path = fill(PLATFORM["report_path"], server=server_id, call=what)
        head = (f"POST {path} HTTP/1.1\r\nHost: x\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(text)}\r\n\r\n")
        status = None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(node.ip, node.ports["control"]), 1)
            writer.write((head + text).encode())
            line = await asyncio.wait_for(reader.readline(), 1)
            status = int(line.split()[1])
            writer.close()
        except (OSError, asyncio.TimeoutError, ValueError, IndexError):
            pass
        self.record("report", server=server_id, call=what, state=body.get("state"), seq=body.get("seq"), status=status)
        return status

    # Processes.

    def settings(self, node):
        fields = fill(PLATFORM["settings"], packets=self.packet_port, **node.ports, **vars(node))
        return fields | {"seeds": [f"{it.ip}:{it.ports['control']}" for it in self.entries[:3]], "bounds": BOUNDS}

    def start_process(self, node):
        role = next(it for it in self.spec["roles"].values() if it["on"] == node.machine_class)
        path = self.temporary / f"{node.name}.settings"
        path.write_text(render((ROOT / role["template"]).read_text(), self.settings(node)))
        command = [it.replace("/etc/kumquatvalve/settings.json", str(path)) for it in shlex.split(role["run"])]
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": str(self.temporary),
                       "KUMQUATVALVE_CONFIG": str(path)}
        with open(self.temporary / f"{node.name}.log", "ab") as log:
            node.process = subprocess.Popen(command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log,
                                            stderr=log)
        self.record("process_start", node=node.name, pid=node.process.pid)

    def disturb(self, node, number, planned=False):
        """Sends a signal to the node's process."""
        node.disturbed_at, node.planned = time.monotonic(), planned
        self.record("signal", node=node.name, signal=signal.Signals(number).name)
        node.process.send_signal(number)

    async def keep_running(self, node):
        while not self.stopping:
            if node.keep and node.process.poll() is not None:
                self.record("process_end", node=node.name, status=node.process.returncode)
                await asyncio.sleep(RESTART_DELAY_S)
                node.disturbed_at = time.monotonic()
                if not self.stopping:
                    self.start_process(node)
            await asyncio.sleep(0.02)

    def put_config(self, routes):
        """Writes a desired state. The store's response is its confirmation."""
        self.version = getattr(self, "version", 0) + 4
        services = sorted({it.service for it in self.sides})
        self.store.put("config", "main", {
            "version": self.version,
            "routes": [fill(PLATFORM["route"], ip=ip, port=port, service=it) for (ip, port), it in routes.items()],
            "services": [fill(PLATFORM["service"], service=it) for it in services],
            "limits": PLATFORM["limits"]})
        self.record("config", version=self.version, count=len(routes),
                    routes={f"{a[0]}:{a[1]}": s for a, s in list(routes.items())[-20:]})

    async def start_server(self, node, born_ms=None, lost_reports=0):
        server = Server(self, node, born_ms, lost_reports)
        self.servers[node.name] = server
        await server.start()
        return server

    def route_address(self, i):
        return (f"127.{self.net}.8.{i}", 8443)

    async def open(self, routes, later=()):
        """Starts everything but the machines whose names are in `later`."""
        for node in self.nodes:
            kinds = ("ready", "control", "internal", "app", "outbound")
            used = {self.packet_port}
            for kind in kinds:
                while (port := free_port(node.ip)) in used:
                    pass
                used.add(port)
                node.ports[kind] = port
            port = await self.store.listen(node.name, self.store_ip)
            if node.link_mbps:
                port = await paced_link(self.store_ip, port, node.link_mbps)
            node.store_address = f"{self.store_ip}:{port}"
        self.put_config(routes)
        for node in self.nodes:
            if node.name in later:
                continue
            self.start_process(node)
            asyncio.create_task(self.keep_running(node))
        for node in self.entries:
            asyncio.create_task(self.probe(node))
        for node in self.sides:
            if node.name in later:
                continue
            await self.wait(lambda n=node: self.answers(n))
            await self.start_server(node)
        for i in range(2):
            client = Client(self, f"127.{self.net}.3.{i + 1}", self.zone)
            await client.start()
            self.clients.append(client)
        await self.wait(lambda: self.all_ready(len(self.sides) - len(later)), 20)
        for node in self.nodes:
            node.disturbed_at = -1e9
        self.record("deployment_ready")

    async def answers(self, node):
        return await self.get(node.ip, node.ports["ready"], "/readyz", 0.4) == 200

    async def all_ready(self, upstreams):
        for node in self.entries:
            usable = [it for it in (await self.status(node)).get("upstreams", []) if it["may_take"]]
            if not node.in_rotation or len(usable) != upstreams:
                return False
        return True

    async def wait(self, condition, limit=10.0):
        """Waits until the condition holds; fails the set-up after the limit."""
        end = time.monotonic() + limit
        while time.monotonic() < end:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return
            await asyncio.sleep(0.05)
        raise RuntimeError("the deployment did not get ready")

    def close(self):
        self.stopping = True
        for server in self.servers.values():
            server.alive = False
        for node in self.nodes:
            if node.process and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.temporary, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.temporary, ignore_errors=True)


def main(folder, play, **options):
    """Runs `play(world, trouble)` in a deployment; exits with 1 if a rule was broken, 0 if not, 2 if it could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    world = World(folder, **options)

    async def run():
        task = asyncio.current_task()
        for it in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(it, task.cancel)
        try:
            await asyncio.wait_for(play(world, trouble), float(os.environ.get("REVIEW_LIMIT_S", 110)))
        finally:
            world.close()

    try:
        asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:  # The case could not run to its end.
        world.record("cannot_run", error=repr(error))
        print(f"could not run: {error!r}")
        sys.exit(2)
    print(f"trouble={trouble} requests={len(world.requests)} runs={len(world.runs)} violations={len(world.violations)}")
    for it in world.violations[:5]:
        print(it)
    world.record("result", violations=len(world.violations))
    sys.exit(1 if world.violations else 0)
