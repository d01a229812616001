"""Client side of the formats between our processes, for experiments and
tests: authenticated frames (src/wire/frame.h), as much protobuf as
proto/amaranth.proto needs, and packets (src/wire/packet.h)."""

import hashlib
import ipaddress
import pathlib
import socket
import struct

FRAME_MAC_SIZE = 16
PACKET_MAGIC = 0xA7C0
PROXY_SIGNATURE = b"\r\n\r\n\0\r\nQUIT\n"

# Field numbers of Envelope.
STATUS_REQUEST, STATUS_REPLY = 7, 8
METRICS_REQUEST, METRICS_REPLY = 11, 12
SNAPSHOT, REPORT = 5, 6


def read_key(path):
    """The peer key of a key file."""
    return bytes.fromhex(pathlib.Path(path).read_text().strip())


def seal(key, payload):
    """One frame."""
    mac = hashlib.blake2b(payload, key=key, digest_size=FRAME_MAC_SIZE)
    return struct.pack(">I", len(payload)) + mac.digest() + payload


def varint(value):
    out = bytearray()
    while value > 0x7F:
        out.append(value & 0x7F | 0x80)
        value >>= 7
    out.append(value)
    return bytes(out)


def field(number, value):
    """One protobuf field: an int, or bytes."""
    if isinstance(value, int):
        return varint(number << 3) + varint(value)
    return varint(number << 3 | 2) + varint(len(value)) + value


def read_varint(data, at):
    value = shift = 0
    while True:
        byte = data[at]
        at += 1
        value |= (byte & 0x7F) << shift
        if byte < 0x80:
            return value, at
        shift += 7


def fields(data):
    """Yields (number, value) of a protobuf message: int, bytes or float."""
    at = 0
    while at < len(data):
        tag, at = read_varint(data, at)
        kind = tag & 7
        if kind == 0:
            value, at = read_varint(data, at)
        elif kind == 2:
            size, at = read_varint(data, at)
            value = data[at:at + size]
            at += size
        elif kind == 1:
            value = struct.unpack("<d", data[at:at + 8])[0]
            at += 8
        else:
            value = struct.unpack("<I", data[at:at + 4])[0]
            at += 4
        yield tag >> 3, value


def signed(value):
    """A protobuf int32 that was sent as a varint."""
    return value - (1 << 64) if value >= 1 << 63 else value


def versions(messages):
    """{name: revision} of RecordVersion messages."""
    found = {}
    for message in messages:
        parts = dict(fields(message))
        found[parts[1].decode()] = parts.get(2, 0)
    return found


class Agent:
    """Connection to the operators' port of one agent."""

    def __init__(self, key, address, seconds=2.0):
        ip, port = address.split(":")
        self.key = key
        self.socket = socket.create_connection((ip, int(port)), seconds)
        self.socket.settimeout(seconds)

    def close(self):
        self.socket.close()

    def _read(self, size):
        data = bytearray()
        while len(data) < size:
            part = self.socket.recv(size - len(data))
            if not part:
                raise ConnectionError("agent closed the connection")
            data += part
        return bytes(data)

    def call(self, payload, reply):
        """Sends an Envelope; returns the body of the reply numbered REPLY."""
        self.socket.sendall(seal(self.key, payload))
        while True:
            size = struct.unpack(">I", self._read(4))[0]
            self._read(FRAME_MAC_SIZE)
            for number, value in fields(self._read(size)):
                if number == reply:
                    return value

    def status(self):
        """Status: known and in-force revisions, members, store error."""
        parts = {}
        for number, value in fields(self.call(field(STATUS_REQUEST, b""),
                                              STATUS_REPLY)):
            parts.setdefault(number, []).append(value)
        return {
            "records": versions(parts.get(3, [])),
            "in_force": versions(parts.get(4, [])),
            "members": [member(m) for m in parts.get(2, [])],
            "store_error": signed(parts.get(8, [0])[0]),
            "reader": bool(parts.get(9, [0])[0]),
        }

    def metrics(self):
        """{name: value} of the agent's own counters and gauges."""
        found = {}
        for number, value in fields(self.call(field(METRICS_REQUEST, b""),
                                              METRICS_REPLY)):
            if number == 1:
                parts = dict(fields(value))
                found[parts[1].decode()] = parts.get(2, 0.0)
        return found


def member(message):
    parts = dict(fields(message))
    return {"id": parts.get(1, 0), "name": parts.get(2, b"").decode(),
            "state": parts.get(9, 0), "boot_id": parts.get(10, 0)}


def proxy_header(source, destination):
    """PROXY version 2 header of a datagram between two "IP:PORT"."""
    (a, p), (b, q) = (x.split(":") for x in (source, destination))
    return (PROXY_SIGNATURE + b"\x21\x12" + struct.pack(">H", 12)
            + ipaddress.IPv4Address(a).packed
            + ipaddress.IPv4Address(b).packed
            + struct.pack(">HH", int(p), int(q)))


def packet(kind, connection, sequence=0, ticket=b"", body=b""):
    """One packet of a service that binds flows by ticket."""
    return struct.pack(">HBBQIHH", PACKET_MAGIC, 1, kind, connection,
                       sequence, len(ticket), len(body)) + ticket + body
