"""The four transaction state machines of RFC 3261 section 17, with the accepted state of RFC 6026.

Timers are named by the RFCs' letters, A to M, except for C (see InviteClientTransaction).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from twisted.logger import Logger

from . import message as sip
from .transport import SipStream, SipTransport, Target

if TYPE_CHECKING:
    from ..net.clock import CachedClockReactor


logger = Logger()
# Completed transactions other than INVITE that are kept for retransmissions. Beyond that the oldest ends, and
# a retransmission of its request is answered like a new one.
MAX_COMPLETED_REQUESTS = 10_000
MAX_INVITE_TRANSACTIONS = 20_000  # server transactions; at most half of the room that is left for one source


class Timing:
    """The timer values T1, T2 and T4 of RFC 3261, and the transaction timeout that follows from T1."""

    def __init__(self, t1_s: float = 0.5, t2_s: float = 4.0, t4_s: float = 5.0) -> None:
        self.t1_s, self.t2_s, self.t4_s = t1_s, t2_s, t4_s
        # Timers B, F, H, J, L and M; also D, which lasts 32 s if this is shorter.
        self.timeout_s = 64 * t1_s


class Transaction:
    """The common part of the four state machines: state, timers by letter, and the key in the layer."""

    def __init__(self, layer: TransactionLayer, key: tuple, reliable: bool) -> None:
        self.layer = layer
        self.key = key
        self.reliable = reliable
        self.timing = layer.timing
        self.timers: dict[str, object] = {}

    def start_timer(self, letter: str, delay_s: float, action: Callable[[], None]) -> None:
        """Starts a timer, or restarts it if it runs."""
        self.stop_timers(letter)
        self.timers[letter] = self.layer.clock.callLater(delay_s, self._timer_fired, letter, action)

    def _timer_fired(self, letter: str, action: Callable[[], None]) -> None:
        del self.timers[letter]
        action()

    def stop_timers(self, *letters: str) -> None:
        for letter in letters:
            timer = self.timers.pop(letter, None)
            if timer is not None:
                timer.cancel()

    def terminate(self) -> None:
        """Enters the terminated state and removes the transaction from the layer."""
        self.state = "terminated"
        self.stop_timers(*list(self.timers))
        self.layer.remove(self)


class ServerTransaction(Transaction):
    """A received request, its last response, and where responses go."""

    def __init__(self, layer: TransactionLayer, key: tuple, request: sip.Request, source: Target) -> None:
        super().__init__(layer, key, source.transport == "TCP")
        self.request: sip.Request | None = request  # None after the final response
        self.source = source
        self.target = layer.transport.response_target(request, source)
        self.last_response: bytes | None = None
        self.final_code = 0  # status code of the final response; 0: none yet
        self.state = "proceeding" if request.method == "INVITE" else "trying"
        if source.stream is not None:
            source.stream.open_requests += 1

    def set_final(self, code: int) -> None:
        """Records a final response. The request takes more memory than the rest, and nobody needs it now."""
        if not self.final_code and self.source.stream is not None:
            self.source.stream.open_requests -= 1
        self.final_code = code
        self.request = None

    def send_last_response(self) -> None:
        if self.last_response is not None:
            self.layer.transport.send(self.last_response, self.target)

    def request_retransmitted(self) -> None:
        """Repeats the last response; the retransmitted request is not passed to the transaction user."""
        if self.state in ("proceeding", "completed"):
            self.send_last_response()


class InviteServerTransaction(ServerTransaction):
    """RFC 3261 17.2.1: timers G, H and I; L and the accepted state of RFC 6026.

    `is_merged` is set if the request had reached this program by another path before (RFC 3261 8.2.2.2).
    """

    def __init__(self, layer: TransactionLayer, key: tuple, request: sip.Request, source: Target) -> None:
        super().__init__(layer, key, request, source)
        self.merge_key = request.call_id, sip.tag_of(request.from_address), request.cseq.sequence
        self.is_merged = False

    def respond(self, response: sip.Response) -> None:
        """Sends a response, unless a final one has been sent."""
        if self.state != "proceeding":
            return  # prevents a second final response
        self.last_response = bytes(response)
        self.send_last_response()
        if response.code < 200:
            return
        self.set_final(response.code)
        if response.code < 300:
            self.state = "accepted"
            self.start_timer("L", self.timing.timeout_s, self.terminate)
            return
        self.state = "completed"
        if not self.reliable:
            self.schedule_retransmission(self.timing.t1_s)
        self.start_timer("H", self.timing.timeout_s, self.terminate)

    def schedule_retransmission(self, interval_s: float) -> None:
        self.start_timer(
            "G",
            interval_s,
            lambda: (
                self.send_last_response(),
                self.schedule_retransmission(min(2 * interval_s, self.timing.t2_s)),
            ),
        )

    def ack_received(self) -> None:
        """Handles an ACK for a 3xx to 6xx response. One for a 2xx goes to the layer's `on_ack`."""
        if self.state == "completed":
            self.state = "confirmed"
            self.stop_timers("G", "H")
            self.start_timer("I", 0 if self.reliable else self.timing.t4_s, self.terminate)


class NonInviteServerTransaction(ServerTransaction):
    """RFC 3261 17.2.2: timer J."""

    def respond(self, response: sip.Response) -> None:
        """Sends a response, unless a final one has been sent."""
        if self.state == "completed":
            return
        self.last_response = bytes(response)
        self.send_last_response()
        if response.code < 200:
            self.state = "proceeding"
            return
        self.set_final(response.code)
        self.state = "completed"
        self.start_timer("J", 0 if self.reliable else self.timing.timeout_s, self.terminate)
        self.layer.request_completed(self)


class ClientTransaction(Transaction):
    """A sent request.

    `on_response` is called with each response for the transaction user, `on_failure` if no final response can
    come any more, with the reason `timeout` or `transport`.
    """

    def __init__(
        self,
        layer: TransactionLayer,
        key: tuple,
        request: sip.Request,
        target: Target,
        on_response: Callable[[sip.Response], None],
        on_failure: Callable[[str], None],
    ) -> None:
        super().__init__(layer, key, target.transport == "TCP")
        self.request = request
        self.target = target
        self.on_response = on_response
        self.on_failure = on_failure
        self.data = bytes(request)

    def send_request(self) -> None:
        self.layer.transport.send(self.data, self.target, lambda: self.fail("transport"))

    def is_pending(self) -> bool:
        """Whether a final response may still come."""
        return self.state in ("calling", "trying", "proceeding")

    def fail(self, reason: str) -> None:
        """Terminates the transaction unless a final response has come."""
        if self.is_pending():
            self.terminate()
            self.on_failure(reason)


class InviteClientTransaction(ClientTransaction):
    """RFC 3261 17.1.1: timers A, B and D; M and the accepted state of RFC 6026.

    The timer called C here limits the wait for a final response after a CANCEL, for which RFC 3261 has no
    letter; its own timer C is a proxy's.
    """

    def start(self) -> None:
        self.state = "calling"
        self.send_request()
        if not self.reliable:
            self.schedule_retransmission(self.timing.t1_s)
        self.start_timer("B", self.timing.timeout_s, lambda: self.fail("timeout"))

    def schedule_retransmission(self, interval_s: float) -> None:
        self.start_timer(
            "A", interval_s, lambda: (self.send_request(), self.schedule_retransmission(2 * interval_s))
        )

    def stop_retransmissions(self) -> None:
        """Stops timer A, for a hub that drains and for an attempt that is given up.

        If no INVITE has reached the hub, a retransmission would be a new call there.
        """
        self.stop_timers("A")

    def response_received(self, response: sip.Response) -> None:
        if response.code < 200:
            if self.state in ("calling", "proceeding"):
                self.state = "proceeding"
                self.stop_timers("A", "B")
                self.on_response(response)
        elif response.code < 300:
            if self.state in ("calling", "proceeding"):
                self.state = "accepted"
                self.stop_timers("A", "B", "C")
                self.start_timer("M", self.timing.timeout_s, self.terminate)
            if self.state == "accepted":
                self.on_response(response)  # retransmissions too: the transaction user sends its ACK again
        elif self.state in ("calling", "proceeding"):
            self.state = "completed"
            self.stop_timers("A", "B", "C")
            self.send_ack(response)
            if self.reliable:
                self.terminate()
            else:
                self.start_timer("D", max(self.timing.timeout_s, 32.0), self.terminate)
            self.on_response(response)
        elif self.state == "completed":
            self.send_ack(response)

    def send_ack(self, response: sip.Response) -> None:
        """Sends the ACK for a 3xx to 6xx response, which belongs to this transaction (RFC 3261 17.1.1.3)."""
        ack = self.layer.derived_request(self.request, "ACK")
        ack.headers.set("To", response.headers["To"])
        self.layer.transport.send(bytes(ack), self.target)

    def start_cancel_timeout(self) -> None:
        """Ends the transaction if no final response comes within 64*T1 after its CANCEL (RFC 3261 9.1)."""
        self.start_timer("C", self.timing.timeout_s, lambda: self.fail("timeout"))


class NonInviteClientTransaction(ClientTransaction):
    """RFC 3261 17.1.2: timers E, F and K."""

    sent_again = False  # after the loss of its connection

    def may_be_lost_with(self, stream: SipStream) -> bool:
        """Whether the request may have been lost with this connection, and has not been sent again."""
        if not self.is_pending() or self.sent_again:
            return False
        return self.target.stream is stream or (
            stream.outbound_address == (self.target.host, self.target.port)
        )

    def start(self) -> None:
        self.state = "trying"
        self.send_request()
        if not self.reliable:
            self.schedule_retransmission(self.timing.t1_s)
        self.start_timer("F", self.timing.timeout_s, lambda: self.fail("timeout"))

    def schedule_retransmission(self, interval_s: float) -> None:
        next_interval_s = (
            self.timing.t2_s if self.state == "proceeding" else min(2 * interval_s, self.timing.t2_s)
        )
        self.start_timer(
            "E", interval_s, lambda: (self.send_request(), self.schedule_retransmission(next_interval_s))
        )

    def response_received(self, response: sip.Response) -> None:
        if self.state not in ("trying", "proceeding"):
            return
        if response.code < 200:
            self.state = "proceeding"
        else:
            self.state = "completed"
            self.stop_timers("E", "F")
            if self.reliable:
                self.terminate()
            else:
                self.start_timer("K", self.timing.t4_s, self.terminate)
        self.on_response(response)


def source_of(target: Target) -> object:
    """What identifies the sender of a request: its connection, or its UDP address."""
    return target.stream or (target.host, target.port)


class TransactionLayer:
    """Matches each message to its transaction.

    `on_request` is called with the transaction of each new request, `on_ack` with each ACK that is not for a
    3xx to 6xx response of a known transaction, such as one for a 2xx. `on_unmatched_answer` is called with
    each 2xx to an INVITE that no transaction here has sent, and returns whether it was handled.
    """

    def __init__(self, transport: SipTransport, clock: CachedClockReactor, timing: Timing) -> None:
        self.transport = transport
        self.clock = clock
        self.timing = timing
        self.servers: dict[tuple, ServerTransaction] = {}
        self.completed: dict[NonInviteServerTransaction, None] = {}  # oldest first
        self.invites: dict[tuple, InviteServerTransaction] = {}  # by merge key; the first of each
        self.invite_count = 0  # server transactions
        self.invite_counts: dict[object, int] = {}  # by source: a connection, or a UDP address
        self.clients: dict[tuple, ClientTransaction] = {}
        self.reliable_requests: dict[NonInviteClientTransaction, None] = {}  # of the clients, those over TCP
        self.on_request: Callable[[ServerTransaction], None] = lambda transaction: None
        self.on_ack: Callable[[sip.Request], None] = lambda request: None
        self.on_unmatched_answer: Callable[[sip.Response, Target], bool] = lambda response, source: False
        transport.on_message = self.receive
        transport.on_stream_lost = self.stream_lost

    def mark_known(self, peer: Target) -> None:
        """Notes that a peer answers to what this program sends, or is one that it sends requests to."""
        if peer.transport == "UDP":
            self.transport.datagrams.mark_known((peer.host, peer.port))

    def remove(self, transaction: Transaction) -> None:
        table = self.servers if isinstance(transaction, ServerTransaction) else self.clients
        if table.get(transaction.key) is not transaction:
            return
        del table[transaction.key]
        if isinstance(transaction, InviteServerTransaction):
            self._remove_invite(transaction)
        elif isinstance(transaction, NonInviteServerTransaction):
            self.completed.pop(transaction, None)
        elif isinstance(transaction, NonInviteClientTransaction):
            self.reliable_requests.pop(transaction, None)

    def _add_invite(self, transaction: InviteServerTransaction) -> None:
        transaction.is_merged = self.invites.setdefault(transaction.merge_key, transaction) is not transaction
        source = source_of(transaction.source)
        self.invite_count += 1
        self.invite_counts[source] = self.invite_counts.get(source, 0) + 1

    def _remove_invite(self, transaction: InviteServerTransaction) -> None:
        if self.invites.get(transaction.merge_key) is transaction:
            del self.invites[transaction.merge_key]
        source = source_of(transaction.source)
        self.invite_count -= 1
        self.invite_counts[source] -= 1
        if not self.invite_counts[source]:
            del self.invite_counts[source]

    def _has_room_for_invite(self, source: Target) -> bool:
        """Whether a source may have one more INVITE transaction; each leaves as much room as it takes."""
        held_by_source = self.invite_counts.get(source_of(source), 0)
        return held_by_source < MAX_INVITE_TRANSACTIONS - self.invite_count

    def request_completed(self, transaction: NonInviteServerTransaction) -> None:
        """Keeps a completed transaction, and ends the oldest if there are too many."""
        self.completed[transaction] = None
        if len(self.completed) > MAX_COMPLETED_REQUESTS:
            next(iter(self.completed)).terminate()

    def stream_lost(self, stream: SipStream) -> None:
        """Sends again, once, the requests other than INVITE that may have been lost with a connection."""
        for client in list(self.reliable_requests):
            if client.may_be_lost_with(stream):
                client.sent_again = True
                client.send_request()

    def awaits_peers(self) -> bool:
        """Whether an ACK of a 3xx to 6xx response, or a final response to a request, may still come."""
        return bool(self._unacknowledged_responses()) or any(
            client.is_pending() for client in self.clients.values()
        )

    def repeat_last_messages(self) -> None:
        """Sends again over UDP what `awaits_peers` is about, ahead of its timers; no INVITE."""
        for server in self._unacknowledged_responses():
            server.send_last_response()
        for client in list(self.clients.values()):
            if isinstance(client, NonInviteClientTransaction) and client.is_pending() and not client.reliable:
                client.send_request()

    def _unacknowledged_responses(self) -> list[InviteServerTransaction]:
        """The INVITE transactions over UDP whose 3xx to 6xx response has no ACK yet."""
        return [
            server
            for server in self.servers.values()
            if isinstance(server, InviteServerTransaction)
            and server.state == "completed"
            and not server.reliable
        ]

    @staticmethod
    def server_key(request: sip.Request, method: str) -> tuple:
        """The key of a server transaction (RFC 3261 17.2.3).

        `method` is the request's, but INVITE to find the transaction that an ACK or a CANCEL refers to. From,
        Call-ID and CSeq are part of it since a caller that has restarted at its address may use its branches
        again.
        """
        via = request.via[0]
        request_id = sip.tag_of(request.from_address), request.call_id, request.cseq.sequence
        branch = via.parameters.get("branch") or ""
        if branch.startswith(sip.BRANCH_COOKIE):
            return branch, via.host.lower(), via.port or 5060, method, request_id
        # Without the cookie: what is equal in an RFC 2543 request and its retransmissions.
        tag = "" if method == "INVITE" else sip.tag_of(request.to_address)
        return str(request.uri), tag, str(via), method, request_id

    def receive(self, message: sip.Request | sip.Response, source: Target) -> None:
        """Passes a message to its transaction, or creates one for a new request."""
        if isinstance(message, sip.Response):
            branch = message.via[0].parameters.get("branch") or ""
            client = self.clients.get((branch, message.cseq.method))
            if client is not None and len(message.via) == 1:
                self.mark_known(source)
                client.response_received(message)
            elif client is None and message.cseq.method == "INVITE" and 200 <= message.code < 300:
                if not self.on_unmatched_answer(message, source):
                    self.transport.drop(f"{source.host}:{source.port}", f"unmatched response {message.code}")
            else:
                self.transport.drop(f"{source.host}:{source.port}", f"unmatched response {message.code}")
            return
        if message.method == "ACK":
            server = self.servers.get(self.server_key(message, "INVITE"))
            if isinstance(server, InviteServerTransaction) and server.final_code >= 300:
                self.mark_known(source)
                server.ack_received()
            else:
                self.on_ack(message)
            return
        key = self.server_key(message, message.method)
        server = self.servers.get(key)
        if server is not None:
            server.request_retransmitted()
            return
        if message.method == "INVITE":
            if not self._has_room_for_invite(source):
                self._refuse_without_transaction(message, source)
                return
            server = InviteServerTransaction(self, key, message, source)
            self._add_invite(server)
        else:
            server = NonInviteServerTransaction(self, key, message, source)
        self.servers[key] = server
        try:
            self.on_request(server)
        except Exception:
            # An exception while the request is processed must not leave it without a final response.
            logger.failure("request {method}", method=message.method)
            server.respond(sip.response_to(message, 500, sip.new_tag()))

    def _refuse_without_transaction(self, request: sip.Request, source: Target) -> None:
        """Answers an INVITE with 503 and forgets it; a retransmission gets the same answer."""
        self.transport.drop(f"{source.host}:{source.port}", "too many INVITE transactions")
        response = sip.response_to(request, 503, sip.new_tag(), extra_headers=(("Retry-After", "5"),))
        self.transport.send(bytes(response), self.transport.response_target(request, source))

    def find_cancelled(self, cancel: sip.Request) -> InviteServerTransaction | None:
        """The INVITE transaction that a CANCEL is for."""
        server = self.servers.get(self.server_key(cancel, "INVITE"))
        return server if isinstance(server, InviteServerTransaction) else None

    def send_request(
        self,
        request: sip.Request,
        target: Target,
        on_response: Callable[[sip.Response], None],
        on_failure: Callable[[str], None],
    ) -> ClientTransaction:
        """Sends a request in a new client transaction; not for an ACK, which has none."""
        self.mark_known(target)
        key = request.via[0].parameters["branch"], request.method
        transaction_class = (
            InviteClientTransaction if request.method == "INVITE" else NonInviteClientTransaction
        )
        client = self.clients[key] = transaction_class(self, key, request, target, on_response, on_failure)
        if client.reliable and isinstance(client, NonInviteClientTransaction):
            self.reliable_requests[client] = None
        client.start()
        return client

    @staticmethod
    def derived_request(request: sip.Request, method: str) -> sip.Request:
        """A CANCEL, or the ACK for a 3xx to 6xx response (RFC 3261 9.1 and 17.1.1.3).

        It has the Request-URI, topmost Via with its branch, From, To, Call-ID, CSeq number and Route of the
        INVITE.
        """
        headers = request.headers
        derived = sip.new_request(
            method,
            str(request.uri),
            request.via[0],
            headers["From"],
            headers["To"],
            request.call_id,
            request.cseq.sequence,
        )
        for value in headers.getlist("Route"):
            derived.headers.add("Route", value)
        return derived
