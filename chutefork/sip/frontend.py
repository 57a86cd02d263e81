"""The upstream side: callers' INVITEs become arrivals for the core, its answers become responses."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..core import messages
from . import message as sip
from .agent import SipAgent
from .dialog import Dialog
from .recovery import DialogReference, Side, refer_to_dialog
from .transactions import InviteServerTransaction, ServerTransaction

if TYPE_CHECKING:
    from ..net.driver import Driver
    from .backend import SipBackend
    from .settings import SipConfig

STATUS_CODES = {
    messages.FailureCause.UNAVAILABLE: 503,
    messages.FailureCause.LINES_BUSY: 486,
    messages.FailureCause.NO_ANSWER: 504,
    messages.FailureCause.DEADLINE_EXPIRED: 408,
    messages.FailureCause.UNKNOWN_DESTINATION: 404,
    messages.FailureCause.NETWORK_ERROR: 500,
}
MAX_UNANSWERED = 4000  # INVITEs without a final response
TRANSIT_HEADER = "X-Transit"  # on a call sent via a tandem: the number of the originating exchange


@dataclass(slots=True, eq=False)
class CallRequest:
    """What the backend needs to know of a call to send it to a hub."""

    number: str
    body: bytes
    caller_address: str  # the caller's From without its tag
    max_forwards: int  # for the request to the hub
    destination: int  # number of the exchange that the route names


class SipCall:
    """A caller's INVITE and, once the call is answered, its dialog."""

    def __init__(
        self, frontend: SipFrontend, call: int, server: ServerTransaction, call_request: CallRequest
    ) -> None:
        self.frontend = frontend
        self.agent = frontend.agent
        self.call = call
        self.server = server
        self.call_request = call_request
        self.tag = sip.new_tag()
        self.dialog: Dialog | None = None
        self.confirmed = False  # the ACK for the 200 has come, or is no longer awaited
        self.ended = False
        self.ok_response = b""
        self.timers: list = []  # retransmission of the 200, then the end of the wait for its ACK

    def new_dialog(self) -> Dialog:
        """The dialog that a 2xx to the caller creates."""
        return Dialog.of_uas(self.server.request, self.tag, self.server.source)

    def send_ringing(self) -> None:
        contact = ("Contact", self.agent.contact(self.server.source.transport))
        self.server.respond(sip.response_to(self.server.request, 180, self.tag, extra_headers=(contact,)))

    def answer(self, description: str) -> None:
        """Sends the 200 with the hub's session description, and again until its ACK comes."""
        transport = self.server.source.transport
        response = sip.response_to(
            self.server.request,
            200,
            self.tag,
            extra_headers=(("Contact", self.agent.contact(transport)), ("Allow", sip.ALLOW)),
        )
        sip.set_body(response, description.encode("utf-8", "surrogateescape"))
        hub_dialog = self.frontend.backend.dialog_of(self.call)
        if hub_dialog is not None:
            reference = DialogReference.of(hub_dialog, Side.HUB, self.agent.process)
            refer_to_dialog(response, self.agent.contact(transport), transport, reference)
        self.ok_response = bytes(response)
        self.dialog = self.new_dialog()
        self.agent.add_dialog(self.dialog, self)
        self.server.respond(response)
        timing = self.agent.timing
        self.schedule_retransmission(timing.t1_s)
        self.timers.append(self.agent.clock.callLater(timing.timeout_s, self.ack_timeout))

    def schedule_retransmission(self, interval_s: float) -> None:
        """Retransmits the 200 until its ACK comes, over TCP as well (RFC 3261 13.3.1.4)."""
        self.timers.insert(0, self.agent.clock.callLater(interval_s, self.retransmit, interval_s))

    def retransmit(self, interval_s: float) -> None:
        self.timers.pop(0)
        self.agent.transport.send(self.ok_response, self.server.target)
        self.schedule_retransmission(min(2 * interval_s, self.agent.timing.t2_s))

    def stop_timers(self) -> None:
        for timer in self.timers:
            if timer.active():
                timer.cancel()
        self.timers.clear()

    def ack_received(self, request: sip.Request) -> None:
        if self.confirmed:
            return
        self.confirmed = True
        self.stop_timers()
        self.frontend.backend.caller_ack_received(self.call, request.body)
        if self.ended:
            self.agent.send_bye(self.dialog)

    def ack_timeout(self) -> None:
        """Ends the session with a BYE, since no ACK has come within 64*T1 (RFC 3261 13.3.1.4)."""
        self.hang_up()

    def bye_received(self) -> None:
        self.stop_timers()
        if not self.ended:
            self.frontend.report_call_end(self)

    def hang_up(self) -> None:
        """Ends the call on both sides."""
        self.stop_timers()
        self.ended = self.confirmed = True
        self.agent.send_bye(self.dialog)
        self.frontend.report_call_end(self)

    def end(self) -> None:
        """Ends the caller's side after the hub's; the BYE must wait for the caller's ACK (RFC 3261 15)."""
        self.ended = True
        if self.confirmed:
            self.agent.send_bye(self.dialog)


class SipFrontend:
    """All calls of callers, from the INVITE to the end of the dialog."""

    def __init__(self, driver: Driver, agent: SipAgent, config: SipConfig, backend: SipBackend) -> None:
        self.driver = driver
        self.agent = agent
        self.config = config
        self.backend = backend
        self.unanswered: dict[int, SipCall] = {}
        self.established: dict[int, SipCall] = {}
        self.by_transaction: dict[ServerTransaction, int] = {}
        self.last_call = 0  # number of the latest call
        self.shutting_down = False
        agent.on_invite = self.invite_received
        agent.on_cancel = self.cancel_received
        agent.on_early_bye = self.early_bye_received

    def invite_received(self, server: InviteServerTransaction) -> None:
        request = server.request
        if self.shutting_down or len(self.unanswered) >= MAX_UNANSWERED:
            self.agent.respond(server, 503, (("Retry-After", "5"),))
            return
        stream = server.source.stream
        if stream is not None and stream.peer_has_closed():
            # The caller has gone while its INVITE was unread. The response may still reach it by its Via.
            self.agent.respond(server, 503)
            return
        if server.is_merged:
            self.agent.respond(server, 482)
            return
        content_type = request.headers.get("Content-Type", "").lower().partition(";")[0].strip()
        if request.body and content_type != "application/sdp":
            self.agent.respond(server, 415, (("Accept", "application/sdp"),))
            return
        if request.headers.get("Content-Encoding", "identity").lower() != "identity":
            self.agent.respond(server, 415, (("Accept-Encoding", "identity"),))
            return
        if not request.contact or not sip.tag_of(request.from_address):
            self.agent.respond(server, 400)
            return
        number = request.uri.user or ""
        route = self.config.route(number)
        if route is None:
            self.agent.respond(server, 404)
            return
        if stream is not None:
            stream.has_brought_call = True
        self.agent.respond(server, 100)
        self.last_call += 1
        call = self.last_call
        max_forwards = 70 if request.max_forwards is None else request.max_forwards
        caller_address = str(sip.Address(request.from_address.uri, request.from_address.name))
        call_request = CallRequest(number, request.body, caller_address, max_forwards - 1, route.destination)
        call_class = self.config.settings.classes[route.class_index]
        time_left_us = round(call_class.deadline_s * 1e6)
        if request.expires is not None and request.expires > 0:
            time_left_us = min(time_left_us, request.expires * 1_000_000)
        # isdecimal: isdigit holds for characters such as a superscript too, which int() refuses
        digits = "".join(char for char in number if char.isdecimal())[-18:]
        transit_value = request.headers.get(TRANSIT_HEADER, "")
        in_transit = server.source.host in self.config.peers and transit_value.isdecimal()
        arrival = messages.Arrival(
            call,
            route.class_index,
            call_class.width_circuits,
            time_left_us,
            route.tenant,
            int(digits or 0),
            route.destination,
            in_transit,
            advice=int(transit_value[:9]) if in_transit else -1,
        )
        self.unanswered[call] = SipCall(self, call, server, call_request)
        self.by_transaction[server] = call
        self.driver.post(arrival)

    def cancel_received(self, server: ServerTransaction) -> None:
        call = self.by_transaction.get(server)
        if call is not None:
            self.withdraw(call)

    def withdraw(self, call: int) -> None:
        """Ends a call that its caller gave up before a final response."""
        sip_call = self.pop_unanswered(call)
        if sip_call is not None:
            sip_call.server.respond(sip.response_to(sip_call.server.request, 487, sip_call.tag))
            self.driver.post(messages.Withdrawn(call))

    def early_bye_received(self, request: sip.Request) -> bool:
        """Ends a call whose caller gives up with a BYE in the early dialog (RFC 3261 15); True if so."""
        for call, sip_call in list(self.unanswered.items()):
            invite = sip_call.server.request
            if (
                invite.call_id == request.call_id
                and sip_call.tag == sip.tag_of(request.to_address)
                and sip.tag_of(invite.from_address) == sip.tag_of(request.from_address)
            ):
                self.withdraw(call)
                return True
        return False

    def pop_unanswered(self, call: int) -> SipCall | None:
        """Removes and returns a call that is about to get its final response; None if it has had one."""
        sip_call = self.unanswered.pop(call, None)
        if sip_call is not None:
            self.by_transaction.pop(sip_call.server, None)
        return sip_call

    def call_progress(self, call: int) -> None:
        if call in self.unanswered:
            self.unanswered[call].send_ringing()

    def report_call_end(self, sip_call: SipCall) -> None:
        """Reports the end of an established call to the core."""
        if self.established.pop(sip_call.call, None) is not None:
            self.driver.post(messages.Withdrawn(sip_call.call))

    # ---- effects of the core

    def answer(self, effect: messages.Answer) -> None:
        sip_call = self.pop_unanswered(effect.call)
        if sip_call is not None:
            self.established[effect.call] = sip_call
            sip_call.answer(effect.description)

    def refuse(self, effect: messages.Refuse) -> None:
        extra_headers = ()
        if effect.retry_after_us > 0 and STATUS_CODES[effect.cause] in (503, 486, 500, 404):
            extra_headers = (("Retry-After", str(math.ceil(effect.retry_after_us / 1e6))),)
        self.send_final(effect.call, STATUS_CODES[effect.cause], extra_headers)

    def fail(self, effect: messages.Fail) -> None:
        code = STATUS_CODES[effect.cause]
        self.send_final(effect.call, 500 if code == 503 else code, ())

    def send_final(self, call: int, code: int, extra_headers: tuple[tuple[str, str], ...]) -> None:
        sip_call = self.pop_unanswered(call)
        if sip_call is not None:
            sip_call.server.respond(
                sip.response_to(sip_call.server.request, code, sip_call.tag, extra_headers=extra_headers)
            )

    def call_ended(self, effect: messages.CallEnded) -> None:
        sip_call = self.established.pop(effect.call, None)
        if sip_call is not None:
            sip_call.end()
