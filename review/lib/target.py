"""Stand-in of a target (PROTOCOL.md, Targets, Packets, Flows)."""

import asyncio
import json
import random

from wire import ACK, DATA_MAX, FIN, RST, SYN, Packet, text, unpack

RESEND_S = 0.2
RESEND_MAX_S = 1.6
RESENDS = 8
WINDOW = 16
LOW = 0xffffffff


class Flow:
    def __init__(self, p):
        self.seq = random.getrandbits(31)
        self.next = (p.seq + 1) & LOW   # next byte expected of the client
        self.echo = p.echo
        self.open = False
        self.opened_s = None
        self.used_s = None
        self.received = b""
        self.pending = 0                # packets not acknowledged yet
        self.out = []                   # (seq, data) not acknowledged yet
        self.unsent = []
        self.sent = (self.seq + 1) & LOW
        self.sender = None              # task that sends again


class Target(asyncio.DatagramProtocol):
    """One incarnation.  It holds max_conns flows, works on capacity requests
    and queues a few more.  work_s(request) is the time that one takes."""

    def __init__(self, world, number, service, zone, address, capacity=2,
                 queue=8, max_conns=2000, work_s=None):
        self.world = world
        self.id = number
        self.service = service
        self.zone = zone
        self.address = address
        self.capacity = capacity
        self.queue = queue
        self.max_conns = max_conns
        self.work_s = work_s or (lambda request: 0.03)
        self.state = "ready"
        self.alive = True
        self.flows = {}
        self.ended = set()
        self.busy = 0
        self.waiting = asyncio.Semaphore(capacity)
        self.refused = 0                # SYNs left unanswered, being full
        self.most = 0
        self.seq = 0
        self.transport = None

    @property
    def key(self):
        return f"servers/i-{self.id:08x}"

    def entry(self):
        return {"service": self.service,
                "address": f"{self.address[0]}:{self.address[1]}",
                "zone": self.zone, "version": "v1", "capacity": self.capacity,
                "state": self.state, "warmup_left_ms": 0,
                "born": self.world.born_ms, "seq": self.seq}

    async def start(self):
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self,
                                            local_addr=self.address)
        self.beat()
        self.world.tasks.append(loop.create_task(self.beats()))

    async def beats(self):
        while self.alive:
            await asyncio.sleep(self.world.heartbeat_s)
            self.beat()

    def beat(self):
        """Writes the entry; it changes only when more than seq changes."""
        known = self.world.store.items.get(self.key)
        mine = self.entry()
        self.seq += 1
        try:
            there = json.loads(known[1]) if known else {}
            same = isinstance(there, dict) and \
                {**there, "seq": 0} == {**mine, "seq": 0}
        except ValueError:
            same = False
        if not same:
            self.world.store.put(self.key, json.dumps(mine).encode())

    # ---- packets -------------------------------------------------------

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, raw, sender):
        if not self.alive:
            return
        intended = int.from_bytes(raw[:8], "big")
        if intended and intended != self.id:
            return
        read = unpack(raw[8:])
        if not read or read[1] != read[0].keyed_sum():
            self.world.broken("UNASKED", f"target {self.id:08x} got a packet "
                              "that its sender did not write so")
            return
        self.take(read[0], sender[0])

    def send(self, key, flow, flags, seq, data=b""):
        src, sport, dst, dport = key
        p = Packet(flags, dst, dport, src, sport, flow.echo, seq, flow.next,
                   data)
        flow.pending = 0
        if random.random() < self.world.loss:
            self.world.lost["SYN+ACK" if flags & SYN else "other"] += 1
            return
        self.transport.sendto(p.pack(), (text(src), self.world.packets_port))

    def reset(self, key, p):
        src, sport, dst, dport = key
        out = Packet(RST, dst, dport, src, sport, p.echo, p.ack, 0)
        self.world.note("target-reset", target=self.id, port=sport)
        self.transport.sendto(out.pack(), (text(src),
                                           self.world.packets_port))

    def take(self, p, vm):
        key = (p.src, p.sport, p.dst, p.dport)
        flow = self.flows.get(key)
        if p.flags & SYN:
            self.take_syn(key, flow, p, vm)
            return
        if p.flags & RST:
            self.drop(key)
            return
        if not flow:
            if key in self.ended and p.flags & FIN and not p.data:
                ended = Flow(p)
                ended.echo = p.echo
                self.send(key, ended, ACK, p.ack)
            else:
                self.world.foreign_packet(self, key, vm)
                self.reset(key, p)
            return
        if not flow.open and p.ack != (flow.seq + 1) & LOW:
            self.world.foreign_packet(self, key, vm)
            self.reset(key, p)
            return
        if not flow.open:
            flow.open = True
            flow.opened_s = self.world.now()
            self.world.note("open", target=self.id, port=p.sport,
                            client=text(p.src), vm=vm)
        flow.echo = p.echo
        flow.used_s = self.world.now()
        self.carry(key, flow, p)

    def take_syn(self, key, flow, p, vm):
        if p.flags & ACK:
            return
        if flow and flow.next != (p.seq + 1) & LOW:
            self.drop(key)
            flow = None
        self.world.syn_taken(self, key, p, vm)
        if not flow:
            if len(self.flows) >= self.max_conns:
                self.refused += 1
                return
            flow = self.flows[key] = Flow(p)
            flow.used_s = self.world.now()
            self.most = max(self.most, len(self.flows))
            asyncio.ensure_future(self.offer(key, flow))
        flow.echo = p.echo
        if not flow.open:
            self.send(key, flow, SYN | ACK, flow.seq)

    async def offer(self, key, flow):
        """Sends the SYN+ACK again until the flow is open."""
        wait = RESEND_S
        for _ in range(RESENDS):
            await asyncio.sleep(wait)
            if flow.open or self.flows.get(key) is not flow:
                return
            self.send(key, flow, SYN | ACK, flow.seq)
            wait = min(2 * wait, RESEND_MAX_S)
        if not flow.open and self.flows.get(key) is flow:
            self.drop(key)

    def drop(self, key):
        flow = self.flows.pop(key, None)
        if flow:
            self.ended.add(key)

    def carry(self, key, flow, p):
        before = len(flow.out)
        flow.out = [(s, d) for s, d in flow.out
                    if ((p.ack - s - len(d)) & LOW) > 0x7fffffff]
        if len(flow.out) < before:
            self.pump(key, flow)
        if p.data:
            flow.pending += 1
            if p.seq == flow.next:
                flow.next = (flow.next + len(p.data)) & LOW
                flow.received += p.data
                self.parse(key, flow)
            else:
                flow.pending = 2   # a copy is acknowledged at once
            if flow.pending >= 2:   # every second packet
                self.send(key, flow, ACK, flow.sent)
        if p.flags & FIN:
            self.send(key, flow, FIN | ACK, flow.sent)
            self.drop(key)

    # ---- requests ------------------------------------------------------

    def parse(self, key, flow):
        while b"\r\n\r\n" in flow.received:
            head, rest = flow.received.split(b"\r\n\r\n", 1)
            fields = dict(line.split(": ", 1) for line in
                          head.decode().split("\r\n")[1:])
            size = int(fields.get("Content-Length", 0))
            if len(rest) < size:
                return
            flow.received = rest[size:]
            asyncio.ensure_future(self.work(key, flow,
                                            fields["Request-Id"]))

    async def work(self, key, flow, request):
        if self.busy >= self.capacity + self.queue:
            self.answer(key, flow, request, 503, b"")
            return
        self.busy += 1
        try:
            async with self.waiting:
                self.world.ran(self, request)
                await asyncio.sleep(self.work_s(request))
        finally:
            self.busy -= 1
        if self.alive and self.flows.get(key) is flow:
            self.answer(key, flow, request, 200, b"x" * 600)

    def answer(self, key, flow, request, status, body):
        extra = "" if status == 200 else "Not-Executed: 1\r\n"
        raw = (f"HTTP/1.1 {status} X\r\nRequest-Id: {request}\r\n{extra}"
               f"Content-Length: {len(body)}\r\n\r\n").encode() + body
        for at in range(0, len(raw), DATA_MAX):
            flow.unsent.append(raw[at:at + DATA_MAX])
        self.pump(key, flow)

    def pump(self, key, flow):
        while flow.unsent and len(flow.out) < WINDOW:
            data = flow.unsent.pop(0)
            flow.out.append((flow.sent, data))
            self.send(key, flow, ACK, flow.sent, data)
            flow.sent = (flow.sent + len(data)) & LOW
        if flow.out and (not flow.sender or flow.sender.done()):
            flow.sender = asyncio.ensure_future(self.resend(key, flow))

    async def resend(self, key, flow):
        wait, tries, first = RESEND_S, 0, None
        while flow.out and self.alive and self.flows.get(key) is flow:
            if flow.out[0][0] != first:
                wait, tries, first = RESEND_S, 0, flow.out[0][0]
            await asyncio.sleep(wait)
            if not flow.out or flow.out[0][0] != first:
                continue
            tries += 1
            if tries > RESENDS:
                self.drop(key)
                return
            self.send(key, flow, ACK, *flow.out[0])
            wait = min(2 * wait, RESEND_MAX_S)
