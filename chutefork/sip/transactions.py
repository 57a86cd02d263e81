"""The four transaction machines of RFC 3261 section 17, with the accepted states of RFC 6026."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from twisted.logger import Logger

from . import message as sip
from .transport import SipTransport, Target

if TYPE_CHECKING:
    from ..net.clock import TurnReactor


fault = Logger()


class Timing:
    def __init__(self, t1_s: float = 0.5, t2_s: float = 4.0, t4_s: float = 5.0) -> None:
        self.t1_s, self.t2_s, self.t4_s = t1_s, t2_s, t4_s
        self.limit_s = 64 * t1_s  # timers B, F, H, J, L and M; D as well, which is to be at least 32 s


class Machine:
    """What all four share: a state, the timers by their letter, and its place in the layer's table."""

    def __init__(self, layer: TransactionLayer, key: tuple, reliable: bool) -> None:
        self.layer = layer
        self.key = key
        self.reliable = reliable
        self.timing = layer.timing
        self.timers: dict[str, object] = {}

    def start(self, letter: str, delay_s: float, action: Callable[[], None]) -> None:
        self.stop(letter)
        self.timers[letter] = self.layer.clock.callLater(delay_s, self._fire, letter, action)

    def _fire(self, letter: str, action: Callable[[], None]) -> None:
        del self.timers[letter]
        action()

    def stop(self, *letters: str) -> None:
        for letter in letters:
            timer = self.timers.pop(letter, None)
            if timer is not None:
                timer.cancel()

    def end(self) -> None:
        self.state = "terminated"
        self.stop(*list(self.timers))
        self.layer.forget(self)


class ServerTransaction(Machine):
    def __init__(self, layer: TransactionLayer, key: tuple, request: sip.Request, source: Target) -> None:
        super().__init__(layer, key, source.transport == "TCP")
        self.request = request
        self.source = source
        self.target = layer.transport.response_target(request, source)
        self.last: bytes | None = None
        self.final = 0
        self.state = "proceeding" if request.method == "INVITE" else "trying"

    def send(self) -> None:
        if self.last is not None:
            self.layer.transport.send(self.last, self.target)

    def repeated(self) -> None:
        """The request came again: it is answered as before and goes no further."""
        if self.state in ("proceeding", "completed"):
            self.send()


class InviteServer(ServerTransaction):
    def respond(self, response: sip.Response) -> None:
        if self.state != "proceeding":
            return  # guards the one final answer
        self.last = bytes(response)
        self.send()
        if response.code < 200:
            return
        self.final = response.code
        if response.code < 300:
            self.state = "accepted"
            self.start("L", self.timing.limit_s, self.end)
            return
        self.state = "completed"
        if not self.reliable:
            self.again(self.timing.t1_s)
        self.start("H", self.timing.limit_s, self.end)

    def again(self, gap_s: float) -> None:
        self.start("G", gap_s, lambda: (self.send(), self.again(min(2 * gap_s, self.timing.t2_s))))

    def acked(self) -> None:
        if self.state == "completed":
            self.state = "confirmed"
            self.stop("G", "H")
            self.start("I", 0 if self.reliable else self.timing.t4_s, self.end)


class OtherServer(ServerTransaction):
    def respond(self, response: sip.Response) -> None:
        if self.state == "completed":
            return
        self.last = bytes(response)
        self.send()
        if response.code < 200:
            self.state = "proceeding"
            return
        self.final = response.code
        self.state = "completed"
        self.start("J", 0 if self.reliable else self.timing.limit_s, self.end)


class ClientTransaction(Machine):
    """`heard` is told of each response that goes up, `failed` that none will come: timeout, transport."""

    def __init__(
        self,
        layer: TransactionLayer,
        key: tuple,
        request: sip.Request,
        target: Target,
        heard: Callable[[sip.Response], None],
        failed: Callable[[str], None],
    ) -> None:
        super().__init__(layer, key, target.transport == "TCP")
        self.request = request
        self.target = target
        self.heard = heard
        self.failed = failed
        self.data = bytes(request)

    def send(self) -> None:
        self.layer.transport.send(self.data, self.target, lambda: self.fail("transport"))

    def fail(self, why: str) -> None:
        if self.state in ("calling", "trying", "proceeding"):
            self.end()
            self.failed(why)


class InviteClient(ClientTransaction):
    def begin(self) -> None:
        self.state = "calling"
        self.send()
        if not self.reliable:
            self.again(self.timing.t1_s)
        self.start("B", self.timing.limit_s, lambda: self.fail("timeout"))

    def again(self, gap_s: float) -> None:
        self.start("A", gap_s, lambda: (self.send(), self.again(2 * gap_s)))

    def quieten(self) -> None:
        """No more repeats: were the first one lost, a repeat would be fresh work for a hub that drains."""
        self.stop("A")

    def respond(self, response: sip.Response) -> None:
        if response.code < 200:
            if self.state in ("calling", "proceeding"):
                self.state = "proceeding"
                self.stop("A", "B")
                self.heard(response)
        elif response.code < 300:
            if self.state in ("calling", "proceeding"):
                self.state = "accepted"
                self.stop("A", "B", "C")
                self.start("M", self.timing.limit_s, self.end)
            if self.state == "accepted":
                self.heard(response)  # each repeat too: it is acknowledged anew above
        elif self.state in ("calling", "proceeding"):
            self.state = "completed"
            self.stop("A", "B", "C")
            self.acknowledge(response)
            if self.reliable:
                self.end()
            else:
                self.start("D", max(self.timing.limit_s, 32.0), self.end)
            self.heard(response)
        elif self.state == "completed":
            self.acknowledge(response)

    def acknowledge(self, response: sip.Response) -> None:
        """RFC 3261 17.1.1.3: the ACK of a refusal is this transaction's own."""
        ack = self.layer.beside(self.request, "ACK")
        ack.headers.set("To", response.headers["To"])
        self.layer.transport.send(bytes(ack), self.target)

    def wait_cancelled(self) -> None:
        """RFC 3261 9.1: 64 T1 after its CANCEL the transaction is over, whether or not an end came."""
        self.start("C", self.timing.limit_s, lambda: self.fail("timeout"))


class OtherClient(ClientTransaction):
    def begin(self) -> None:
        self.state = "trying"
        self.send()
        if not self.reliable:
            self.again(self.timing.t1_s)
        self.start("F", self.timing.limit_s, lambda: self.fail("timeout"))

    def again(self, gap_s: float) -> None:
        following_s = self.timing.t2_s if self.state == "proceeding" else min(2 * gap_s, self.timing.t2_s)
        self.start("E", gap_s, lambda: (self.send(), self.again(following_s)))

    def respond(self, response: sip.Response) -> None:
        if self.state not in ("trying", "proceeding"):
            return
        if response.code < 200:
            self.state = "proceeding"
        else:
            self.state = "completed"
            self.stop("E", "F")
            if self.reliable:
                self.end()
            else:
                self.start("K", self.timing.t4_s, self.end)
        self.heard(response)


class TransactionLayer:
    """Finds the transaction of a message, or hands it up: `requested` new requests, `acked` ACKs of a 2xx."""

    def __init__(self, transport: SipTransport, clock: TurnReactor, timing: Timing) -> None:
        self.transport = transport
        self.clock = clock
        self.timing = timing
        self.servers: dict[tuple, ServerTransaction] = {}
        self.clients: dict[tuple, ClientTransaction] = {}
        self.requested: Callable[[ServerTransaction], None] = lambda transaction: None
        self.acked: Callable[[sip.Request], None] = lambda request: None
        transport.receive = self.receive

    def forget(self, machine: Machine) -> None:
        table = self.servers if isinstance(machine, ServerTransaction) else self.clients
        if table.get(machine.key) is machine:
            del table[machine.key]

    @staticmethod
    def server_key(request: sip.Request, method: str) -> tuple:
        via = request.via[0]
        mark = via.parameters.get("branch") or ""
        if mark.startswith(sip.COOKIE):
            return mark, via.host.lower(), via.port or 5060, method
        # RFC 3261 17.2.3: without the cookie, what must be equal in an RFC 2543 request and its repeats
        tag = "" if method == "INVITE" else sip.tag_of(request.to_address)
        return (
            str(request.uri),
            tag,
            sip.tag_of(request.from_address),
            request.call_id,
            request.cseq.sequence,
            str(via),
            method,
        )

    def receive(self, message: sip.Request | sip.Response, source: Target) -> None:
        if isinstance(message, sip.Response):
            mark = message.via[0].parameters.get("branch") or ""
            client = self.clients.get((mark, message.cseq.method))
            if client is not None and len(message.via) == 1:
                client.respond(message)
            else:
                self.transport.drop(f"{source.host}:{source.port}", f"stray response {message.code}")
            return
        if message.method == "ACK":
            server = self.servers.get(self.server_key(message, "INVITE"))
            if isinstance(server, InviteServer) and server.final >= 300:
                server.acked()
            else:
                self.acked(message)
            return
        key = self.server_key(message, message.method)
        server = self.servers.get(key)
        if server is not None:
            server.repeated()
            return
        kind = InviteServer if message.method == "INVITE" else OtherServer
        server = self.servers[key] = kind(self, key, message, source)
        try:
            self.requested(server)
        except Exception:
            # guards the one final answer of a request in which a fault is met
            fault.failure("request {method}", method=message.method)
            server.respond(sip.response_to(message, 500, sip.tag()))

    def cancelled(self, cancel: sip.Request) -> InviteServer | None:
        server = self.servers.get(self.server_key(cancel, "INVITE"))
        return server if isinstance(server, InviteServer) else None

    def request(
        self,
        request: sip.Request,
        target: Target,
        heard: Callable[[sip.Response], None],
        failed: Callable[[str], None],
    ) -> ClientTransaction:
        key = request.via[0].parameters["branch"], request.method
        kind = InviteClient if request.method == "INVITE" else OtherClient
        client = self.clients[key] = kind(self, key, request, target, heard, failed)
        client.begin()
        return client

    @staticmethod
    def beside(request: sip.Request, method: str) -> sip.Request:
        """A CANCEL, or the ACK of a refusal: the INVITE's own headers and branch."""
        headers = request.headers
        made = sip.new_request(
            method,
            str(request.uri),
            request.via[0],
            headers["From"],
            headers["To"],
            request.call_id,
            request.cseq.sequence,
        )
        for value in headers.getlist("Route"):
            made.headers.add("Route", value)
        return made
