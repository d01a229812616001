"""Stand-in of a client's host (PROTOCOL.md, Packets, Flows)."""

import asyncio
import random

from wire import ACK, FIN, RST, SYN, Packet, number, unpack

SYN_COPIES_S = (0.0, 0.2, 0.6)
OPEN_S = 1.4
RESEND_S = 0.2
RESEND_MAX_S = 1.6
RESET_WINDOW = 76800
LOW = 0xffffffff


class Flow:
    def __init__(self, host, route):
        self.host = host
        self.port = host.next_port()
        self.route = route             # (address as a number, port)
        self.seq = random.getrandbits(31)
        self.sent = (self.seq + 1) & LOW
        self.peer_seq = None
        self.next = 0                  # next byte expected of the target
        self.echo = 0
        self.acked = (self.seq + 1) & LOW
        self.pending = 0
        self.open = asyncio.Event()
        self.ended = asyncio.Event()
        self.why = None                # who ended it
        self.received = b""
        self.answers = asyncio.Queue()
        self.opened_s = None
        self.used_s = None

    def send(self, flags, seq, data=b"", ack=None):
        self.pending = 0
        p = Packet(flags, number(self.host.ip), self.port, self.route[0],
                   self.route[1], self.echo, seq,
                   self.next if ack is None else ack, data)
        self.host.send(p)

    def take(self, p):
        if p.flags & RST:
            self.host.world.was_reset(self.host, self, "another target")
            self.why = "target"
            self.ended.set()
            return
        if p.flags & SYN:
            if self.peer_seq is None:
                self.peer_seq = p.seq
                self.next = (p.seq + 1) & LOW
                self.echo = p.echo
                self.opened_s = self.used_s = self.host.world.now()
                self.open.set()
            if p.seq == self.peer_seq:
                self.send(ACK, self.sent)
            elif self.host.world.last_echo:
                self.echo = p.echo     # the last that came on this flow
            return                     # of another target
        if not self.open.is_set():
            return
        self.echo = p.echo
        self.used_s = self.host.world.now()
        if ((p.ack - self.acked) & LOW) < 0x7fffffff:
            self.acked = p.ack
        if not p.data:
            return
        self.pending += 1
        if p.seq == self.next:
            self.next = (self.next + len(p.data)) & LOW
            self.received += p.data
            self.parse()
        else:
            self.pending = 2
        if self.pending >= 2:
            self.send(ACK, self.sent)
        else:
            asyncio.get_running_loop().call_later(0.04, self.acknowledge)

    def acknowledge(self):
        if self.pending and not self.ended.is_set():
            self.send(ACK, self.sent)

    def parse(self):
        while b"\r\n\r\n" in self.received:
            head, rest = self.received.split(b"\r\n\r\n", 1)
            lines = head.decode().split("\r\n")
            fields = dict(line.split(": ", 1) for line in lines[1:])
            size = int(fields["Content-Length"])
            if len(rest) < size:
                return
            self.received = rest[size:]
            self.answers.put_nowait((int(lines[0].split()[1]),
                                     fields["Request-Id"]))

    async def connect(self):
        """True once the flow is open, False if the attempt ended."""
        loop = asyncio.get_running_loop()
        begin = loop.time()
        waits = [asyncio.ensure_future(self.open.wait()),
                 asyncio.ensure_future(self.ended.wait())]
        try:
            for copy, at in enumerate((*SYN_COPIES_S, OPEN_S)):
                left = begin + at - loop.time()
                if left > 0:
                    await asyncio.wait(waits, timeout=left,
                                       return_when=asyncio.FIRST_COMPLETED)
                if self.open.is_set() or self.ended.is_set():
                    return self.open.is_set()
                if copy < len(SYN_COPIES_S):
                    self.send(SYN, self.seq, ack=copy)
        finally:
            for w in waits:
                w.cancel()
        return False

    async def ask(self, request, size, deadline_s):
        """The status of the answer, or None at the deadline or a reset."""
        loop = asyncio.get_running_loop()
        raw = (f"POST / HTTP/1.1\r\nRequest-Id: {request}\r\n"
               f"Content-Length: {size}\r\n\r\n").encode() + b"y" * size
        start, self.sent = self.sent, (self.sent + len(raw)) & LOW
        end = loop.time() + deadline_s
        wait = RESEND_S
        answer = asyncio.ensure_future(self.answers.get())
        gone = asyncio.ensure_future(self.ended.wait())
        self.used_s = self.host.world.now()
        try:
            while loop.time() < end and not self.ended.is_set():
                if self.acked != self.sent:
                    self.send(ACK, start, raw)
                await asyncio.wait(
                    [answer, gone], timeout=min(wait, end - loop.time()),
                    return_when=asyncio.FIRST_COMPLETED)
                if answer.done():
                    status, named = answer.result()
                    if named != request:
                        self.host.world.broken(
                            "MIXED", f"request {request} got the answer "
                            f"of {named}")
                    return status
                wait = min(2 * wait, RESEND_MAX_S)
            return None
        finally:
            answer.cancel()
            gone.cancel()

    def close(self):
        if self.open.is_set() and not self.ended.is_set():
            self.send(FIN | ACK, self.sent)
        self.host.flows.pop(self.port, None)


class Host(asyncio.DatagramProtocol):
    def __init__(self, world, ip, zone):
        self.world = world
        self.ip = ip
        self.zone = zone
        self.flows = {}
        self.last_port = random.randint(1025, 40000)
        self.transport = None

    def next_port(self):
        self.last_port = 1025 + (self.last_port - 1024) % 60000
        return self.last_port

    async def start(self):
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=(self.ip, self.world.packets_port))

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, raw, sender):
        read = unpack(raw)
        if not read:
            self.world.broken("MIXED", "a client got bytes that are no packet")
            return
        p, total = read
        own = total == 0 and p.flags == RST and not p.data
        if not own and total != p.keyed_sum():
            self.world.broken("MIXED", "a client got a packet that its "
                              "sender did not write so")
            return
        flow = self.flows.get(p.dport)
        if not flow or (p.src, p.sport) != flow.route or flow.ended.is_set():
            return
        if not own:
            flow.take(p)
            return
        off = (p.seq - flow.next + RESET_WINDOW) & LOW
        if flow.open.is_set() and off > 2 * RESET_WINDOW:
            return
        self.world.was_reset(self, flow, sender[0])
        flow.why = "system"
        flow.ended.set()

    def open_flow(self, route):
        flow = Flow(self, route)
        self.flows[flow.port] = flow
        return flow

    def send(self, p):
        vm = self.world.route_packet(self, p)
        if vm:
            self.transport.sendto(p.pack(), (vm, self.world.packets_port))
