"""Malformed datagrams and frames to every port.  Guards against a crash, a
hang or a delivery caused by input from outside; serving goes on."""

import random
import socket
import struct
import time

import common
import wire

UDP_PORTS = (7000, 7001, 7100)
TCP_PORTS = (7002, 7003, 7101, 7103)


def datagrams(rng, c, vm):
    """Random, cut, and nearly right datagrams."""
    service = c.services["dispatch"]["address"]
    upstream = c.upstream_address("dispatch", 0)
    caller = f"127.{c.block}.250.1:4000"
    header = wire.proxy_header(caller, service)
    key = bytes(range(32))
    good = [header + wire.packet(kind, rng.getrandbits(64), 1,
                                 rng.randbytes(64), rng.randbytes(20))
            for kind in range(0, 17)]
    good += [wire.proxy_header(caller, upstream) + wire.packet(3, 7),
             wire.proxy_header(service, caller) + wire.packet(2, 7),
             wire.proxy_header("127.0.0.1:0", "127.0.0.1:0"), header,
             wire.seal(key, wire.field(1, b"\x08\x01")),
             wire.seal(c.key, rng.randbytes(40)),
             wire.seal(c.key, wire.field(1, rng.randbytes(30))),
             b"\x01\x01\0\0" + rng.randbytes(60)]
    for data in good:
        yield data
        yield data[:rng.randrange(len(data))]
        broken = bytearray(data)
        broken[rng.randrange(len(broken))] ^= 1 << rng.randrange(8)
        yield bytes(broken)
    for size in (0, 1, 15, 16, 19, 27, 28, 48, 1400, 1500, 9000, 60000):
        yield rng.randbytes(size)


def streams(rng, c):
    """What a connection may send before it ends."""
    yield b""
    yield rng.randbytes(3)
    yield rng.randbytes(4000)
    yield struct.pack(">I", 0xFFFFFFFF) + rng.randbytes(100)
    yield struct.pack(">I", 4 << 20) + rng.randbytes(1000)
    yield wire.seal(bytes(range(32)), wire.field(7, b""))
    yield wire.seal(c.key, rng.randbytes(300))
    yield wire.seal(c.key, b"")
    yield wire.seal(c.key, wire.field(5, rng.randbytes(200)))
    yield wire.seal(c.key, wire.field(4, b"\x0a\x80\x80\x80\x80\x0f"))
    yield b"GET / HTTP/9.9\r\nHost: x\r\n" + b"A: b\r\n" * 3000


def attack(rng, c, vm):
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as s:
        for port in UDP_PORTS:
            for data in datagrams(rng, c, vm):
                try:
                    s.sendto(data, (vm.address, port))
                except OSError:
                    pass
    for port in TCP_PORTS:
        for data in streams(rng, c):
            try:
                with socket.create_connection((vm.address, port), 1) as s:
                    s.sendall(data)
            except OSError:
                pass


def body(t):
    c = t.cluster()
    c.start()
    caller = c.start_caller("load", [
        "--flows", "dispatch:40", "--open-rate", 80,
        "--requests", "dispatch:0:one_time:30", "--seconds", 8])
    time.sleep(1.5)
    rng = random.Random(7)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as s:
        for spec in c.services.values():
            ip, port = spec["address"].split(":")
            for size in (0, 1, 19, 20, 1400, 9000):
                s.sendto(rng.randbytes(size), (ip, int(port)))
    for _ in range(3):
        for vm in c.vms:
            attack(rng, c, vm)
            t.expect_alive(c)
    caller.wait(40)
    t.expect_alive(c)
    g = t.check(c)
    t.expect(g["broken"] == 0, f"broken {g['broken']}")
    t.expect(g["answered"] == g["requests"] > 150,
             f"answered {g['answered']} of {g['requests']}")
    c.wait_in_force(seconds=10)


if __name__ == "__main__":
    common.run(body, __file__)
