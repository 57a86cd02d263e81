"""Clients that misbehave: `python -m tests.hostile_clients KIND HOST PORT SECONDS SEED` runs one.

FLOODS send as fast as they can, over one connection or UDP socket; over TCP they connect again when closed.
STALLED open many connections, send the start of a message on each and then nothing more.
DEPARTING send a request on each connection, wait for the answer, send half of another and close.
"""

import random
import select
import socket
import subprocess
import sys
import time

from .platform_harness import ROOT, WAIT_TIMEOUT_S

STALLED_CONNECTIONS = 900  # more than the three quarters of 1,024 descriptors that clients may use
WRITE_BYTES = 16 * 1024
MAX_UDP_SOCKETS = 500  # that are open at a time
CHECK = b'{"kind":"check","uid":"","meta":{},"reason":0}\n'


def uid(rng):
    """A new id: 16 hex digits."""
    return f"{rng.getrandbits(64):016x}"


def launch(rng, **meta):
    """A set-up on the platform's front under a new id."""
    fields = {
        "class": "rate-quote",
        "left": "1500",
        "tenant": "gaucha-envios",
        "key": "7f3a",
        "extras": "dest:1;width:1;via:-1",
        **meta,
    }
    text = ",".join(f'"{name}":"{value}"' for name, value in fields.items())
    return f'{{"kind":"launch","uid":"{uid(rng)}","meta":{{{text}}},"body":"sdp"}}\n'.encode()


def stop(rng):
    """A release of a call that never was."""
    return f'{{"kind":"stop","uid":"{uid(rng)}","meta":{{}},"reason":16}}\n'.encode()


def sip_request(rng, method, transport, number="100", extra="", length="0", cseq="1"):
    """A SIP request in a new transaction with a new Call-ID; no Content-Length if `length` is empty."""
    name = uid(rng)
    lines = [
        f"{method} sip:{number}@127.0.0.1 SIP/2.0",
        f"Via: SIP/2.0/{transport} 127.0.0.1:9;branch=z9hG4bK{name};rport",
        "Max-Forwards: 70",
        "From: <sip:flood@127.0.0.1>;tag=me",
        f"To: <sip:{number}@127.0.0.1>",
        f"Call-ID: {name}",
        f"CSeq: {cseq} {method}",
        f"Contact: <sip:flood@127.0.0.1:9;transport={transport.lower()}>",
        *([f"Content-Length: {length}"] if length else []),
    ]
    return "\r\n".join(lines).encode() + b"\r\n" + extra.encode() + b"\r\n"


FLOODS = {
    "platform-check": lambda rng: CHECK,
    "platform-stop": stop,
    "platform-launch": launch,
    "platform-unsound": lambda rng: launch(rng, left="x"),
    "sip-invite": lambda rng, transport: sip_request(rng, "INVITE", transport),
    "sip-no-route": lambda rng, transport: sip_request(rng, "INVITE", transport, number="900"),
    "sip-options": lambda rng, transport: sip_request(rng, "OPTIONS", transport),
    "sip-mixed": lambda rng, transport: sip_request(
        rng, rng.choice(("INVITE", "OPTIONS", "BYE", "REGISTER")), transport, number="900"
    ),
    "sip-malformed": lambda rng, transport: sip_request(rng, "OPTIONS", transport, cseq="x"),
}


def sip_start(rng, extra):
    """A request without its end: with header fields that follow, or with a part of its body."""
    return sip_request(rng, "OPTIONS", "TCP", length="")[:-2] + extra


STALLED = {
    "platform-half-line": lambda rng: CHECK + b'{"kind":"launch","uid":"' + b"a" * 16_000,
    "sip-short-fields": lambda rng: sip_start(rng, b"a:1\r\n" * 6_000),
    "sip-options-half-body": lambda rng: sip_request(rng, "OPTIONS", "TCP")
    + sip_start(rng, b"Content-Length: 65000\r\n\r\n" + b"x" * 30_000),
    "sip-half-body": lambda rng: sip_start(rng, b"Content-Length: 65000\r\n\r\n" + b"x" * 60_000),
}


DEPARTING = {
    "platform-answered-then-half-line": (launch, STALLED["platform-half-line"]),
    "sip-answered-then-half-body": (FLOODS["sip-no-route"], STALLED["sip-half-body"]),
}


def flood_udp(make, address, end, rng):
    """Sends datagrams from one socket and reads what comes back."""
    with socket.socket(type=socket.SOCK_DGRAM) as sock:
        sock.setblocking(False)
        while time.monotonic() < end:
            try:
                sock.sendto(make(rng, "UDP"), address)
                sock.recv(65536)  # responses are read, or the socket would drop them
            except BlockingIOError:
                pass


def flood_from_new_ports(make, address, end, rng):
    """Sends each datagram from a socket of its own."""
    sockets = []
    while time.monotonic() < end:
        sock = socket.socket(type=socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.sendto(make(rng, "UDP"), address)
        sockets.append(sock)
        if len(sockets) > MAX_UDP_SOCKETS:
            sockets.pop(0).close()


def flood_tcp(make, address, end, rng):
    """Also reads what comes back; connects again when the peer has closed."""
    while time.monotonic() < end:
        try:
            with socket.create_connection(address, timeout=2) as sock:
                sock.setblocking(False)
                data = b""
                while time.monotonic() < end:
                    while len(data) < WRITE_BYTES:
                        data += make(rng)
                    readable, writable, _ = select.select([sock], [sock], [], 0.05)
                    if readable and not sock.recv(65536):
                        break
                    if writable:
                        data = data[sock.send(data) :]
        except OSError:
            time.sleep(0.01)


def depart(make_request, make_half, address, end, rng):
    """One connection after the other."""
    while time.monotonic() < end:
        try:
            with socket.create_connection(address, timeout=2) as sock:
                sock.sendall(make_request(rng))
                sock.recv(65536)
                sock.sendall(make_half(rng))
                time.sleep(0.001)  # for it to be read
        except OSError:
            time.sleep(0.01)


def stall(make, address, end, rng):
    """Keeps STALLED_CONNECTIONS open, and opens another for each that the peer closes."""
    unsent = {}
    while time.monotonic() < end:
        for _ in range(min(20, STALLED_CONNECTIONS - len(unsent))):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(address)
            unsent[sock] = make(rng)
        poll = select.poll()
        by_descriptor = {sock.fileno(): sock for sock in unsent}
        for descriptor, sock in by_descriptor.items():
            poll.register(descriptor, select.POLLRDHUP | (select.POLLOUT if unsent[sock] else 0))
        for descriptor, events in poll.poll(20):
            sock = by_descriptor[descriptor]
            try:
                if events & (select.POLLRDHUP | select.POLLHUP | select.POLLERR):
                    raise ConnectionError
                unsent[sock] = unsent[sock][sock.send(unsent[sock]) :]
            except BlockingIOError:
                pass
            except OSError:
                del unsent[sock]
                sock.close()


class HostileClient:
    """Runs one kind of client in a process of its own for some seconds."""

    def __init__(self, kind, address, seconds, seed=1):
        command = [sys.executable, "-m", "tests.hostile_clients", kind, *map(str, (*address, seconds, seed))]
        self.process = subprocess.Popen(command, cwd=ROOT)

    def wait(self):
        """Waits until the client has ended; it has started later than it was asked to."""
        self.process.wait(WAIT_TIMEOUT_S)

    def close(self):
        self.process.kill()
        self.process.wait()


def main(kind, host, port, seconds, seed):
    """Runs one client; `kind` is a key of FLOODS, for SIP with `/` and a transport, STALLED or DEPARTING."""
    kind, _, transport = kind.partition("/")
    address, end, rng = (host, int(port)), time.monotonic() + float(seconds), random.Random(int(seed))
    if kind in STALLED:
        stall(STALLED[kind], address, end, rng)
    elif kind in DEPARTING and transport:
        make_request, make_half = DEPARTING[kind]
        depart(lambda rng: make_request(rng, transport), make_half, address, end, rng)
    elif kind in DEPARTING:
        depart(*DEPARTING[kind], address, end, rng)
    elif transport == "UDP-new-ports":
        flood_from_new_ports(FLOODS[kind], address, end, rng)
    elif transport == "UDP":
        flood_udp(FLOODS[kind], address, end, rng)
    elif transport == "TCP":
        flood_tcp(lambda rng: FLOODS[kind](rng, "TCP"), address, end, rng)
    else:
        flood_tcp(FLOODS[kind], address, end, rng)


if __name__ == "__main__":
    main(*sys.argv[1:])
