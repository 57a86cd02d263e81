"""A SIP endpoint of the soak: one UDP port, or a TCP port and its connections, in asyncio."""

import asyncio
import re

from ..sip_harness import SipMessage
from .stand_in import StandInTasks

CONTENT_LENGTH = re.compile(rb"(?i)\r\ncontent-length: *(\d+)")


class Stream(asyncio.Protocol):
    """One TCP connection; `endpoint.message_received` gets each whole message, `endpoint.closed` its end."""

    def __init__(self, endpoint):
        self.endpoint = endpoint
        self.buffer = b""

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.buffer += data
        while b"\r\n\r\n" in self.buffer:
            head, _, rest = self.buffer.partition(b"\r\n\r\n")
            length = CONTENT_LENGTH.search(head)
            size = int(length[1]) if length else 0
            if len(rest) < size:
                return
            self.buffer = rest[size:]
            self.endpoint.message_received(SipMessage(head + b"\r\n\r\n" + rest[:size]), self)

    def connection_lost(self, error):
        self.endpoint.closed(self)

    def send(self, data):
        if not self.transport.is_closing():
            self.transport.write(data)


class Datagrams(asyncio.DatagramProtocol):
    """The UDP port."""

    def __init__(self, endpoint):
        self.endpoint = endpoint

    def datagram_received(self, data, address):
        if data.strip():
            self.endpoint.message_received(SipMessage(data), address)


class Endpoint(StandInTasks):
    """Base of hubs and callers. A peer is an address (UDP) or a Stream (TCP)."""

    def __init__(self, transport_name, port):
        super().__init__()
        self.transport_name = transport_name
        self.port = port
        self.unread = []  # messages and their peers

    def message_received(self, message, peer):
        """Passes on a message, after a silence those that came during it."""
        if self.silent:
            self.unread.append((message, peer))
        else:
            self.received(message, peer)

    def speak(self):
        """Ends a silence."""
        self.silent = False
        messages, self.unread = self.unread, []
        for message, peer in messages:
            self.received(message, peer)

    async def open(self):
        loop = asyncio.get_running_loop()
        local = "127.0.0.1", self.port
        if self.transport_name == "UDP":
            self.datagrams, _ = await loop.create_datagram_endpoint(lambda: Datagrams(self), local_addr=local)
            self.port = self.datagrams.get_extra_info("sockname")[1]
        else:
            self.server = await loop.create_server(lambda: Stream(self), *local, reuse_address=True)
            self.port = self.server.sockets[0].getsockname()[1]

    async def connect(self, port):
        """The peer at a port of loopback; OSError if it can't be reached."""
        if self.transport_name == "UDP":
            return "127.0.0.1", port
        loop = asyncio.get_running_loop()
        return (await loop.create_connection(lambda: Stream(self), "127.0.0.1", port))[1]

    def send(self, data, peer):
        if isinstance(peer, tuple):
            self.datagrams.sendto(data, peer)
        else:
            peer.send(data)

    def via(self, branch):
        return f"Via: SIP/2.0/{self.transport_name} 127.0.0.1:{self.port};branch={branch};rport"

    def contact(self, user):
        return f"Contact: <sip:{user}@127.0.0.1:{self.port};transport={self.transport_name.lower()}>"

    def response(self, request, code, tag, body=b""):
        """A response with the fields that it copies from the request."""
        lines = [f"SIP/2.0 {code} X"]
        for name in ("Via", "Record-Route", "From", "Call-ID", "CSeq"):
            lines += [f"{name}: {value}" for value in request.values(name)]
        to = request.get("To")
        lines.append(f"To: {to}" + ("" if "tag=" in to or code == 100 else f";tag={tag}"))
        lines.append(self.contact(tag))
        return self.whole(lines, body)

    @staticmethod
    def whole(lines, body=b""):
        """The bytes of a message, with the fields of its body."""
        if body:
            lines = [*lines, "Content-Type: application/sdp"]
        return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode() + body

    def received(self, message, peer):
        raise NotImplementedError

    def closed(self, stream):
        pass


def port_of(uri):
    """The port in a SIP URI."""
    return int(re.search(r"@?127\.0\.0\.1:(\d+)", uri)[1])
