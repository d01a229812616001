"""Packets of the platform (PROTOCOL.md, Packets), for the stand-ins."""

import dataclasses
import struct
import zlib

HEAD = struct.Struct(">IBBIIHHIIIH")
SYN, ACK, RST, FIN = 2, 4, 8, 32
DATA_MAX = 1200


def number(address):
    a, b, c, d = (int(x) for x in address.split("."))
    return a << 24 | b << 16 | c << 8 | d


def text(address):
    return ".".join(str(address >> s & 255) for s in (24, 16, 8, 0))


@dataclasses.dataclass
class Packet:
    flags: int
    src: int
    sport: int
    dst: int
    dport: int
    echo: int = 0
    seq: int = 0
    ack: int = 0
    data: bytes = b""

    def keyed_sum(self):
        """Covers all but the echo; never 0, as a system's own reset has 0."""
        return zlib.crc32(repr((self.flags, self.src, self.sport, self.dst,
                                self.dport, self.seq, self.ack,
                                self.data)).encode(), 0x5eed) or 1

    def pack(self):
        return HEAD.pack(self.keyed_sum(), self.flags, 0, self.src, self.dst,
                         self.dport, self.sport, self.echo,
                         self.seq & 0xffffffff, self.ack & 0xffffffff,
                         len(self.data)) + self.data


def unpack(raw):
    """The packet, and the sum that it carries; None if it is no packet."""
    if len(raw) < HEAD.size:
        return None
    total, flags, _, src, dst, dport, sport, echo, seq, ack, size = \
        HEAD.unpack_from(raw)
    if size != len(raw) - HEAD.size:
        return None
    p = Packet(flags, src, sport, dst, dport, echo, seq, ack, raw[HEAD.size:])
    return p, total
