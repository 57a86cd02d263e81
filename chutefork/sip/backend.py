"""The downstream side: the core's set-ups become INVITEs to the hubs, each attempt with its own dialogs."""

from __future__ import annotations

import math
import re
from typing import TYPE_CHECKING

from ..core import messages
from ..interface import Outcome, Reason
from . import message as sip
from .agent import SipAgent
from .dialog import Dialog, tcp_if_too_large
from .frontend import TRANSIT_HEADER, SipFrontend
from .recovery import DialogReference, Side, refer_to_dialog
from .transactions import InviteClientTransaction
from .transport import Target

if TYPE_CHECKING:
    from ..net.driver import Driver
    from .settings import SipConfig

Q850_CAUSE = re.compile(r"Q\.850\s*;.*?cause\s*=\s*(\d+)", re.I)  # in a Reason header (RFC 3326)
Q850_NO_CIRCUIT = 34


def outcome_of(
    code: int, q850_cause: int, retry_after_us: int | None, via_tandem: bool
) -> tuple[Outcome, Reason, int | None]:
    """The core's outcome, reason and retry delay for a hub's status code; `q850_cause` is 0 for none."""
    if code in (486, 600):
        return Outcome.ERROR, Reason.LINES_BUSY, None
    if code == 503 and q850_cause == Q850_NO_CIRCUIT:
        return Outcome.REJECTED, Reason.REJECTED_BY_TANDEM if via_tandem else Reason.NO_CIRCUIT, None
    if code == 503:
        return Outcome.REJECTED, Reason.PROCESSOR_FULL, retry_after_us
    if code in (408, 504):
        return Outcome.TIMEOUT, Reason.NONE, None
    if 500 <= code < 600:
        return Outcome.ERROR, Reason.NONE, None
    return Outcome.ERROR, Reason.DECLINED, None  # another attempt would get the same response


class Leg:
    """One attempt to set up a call at a hub.

    `active` while the core waits for its outcome or has its call established.
    """

    def __init__(self, backend: SipBackend, effect: messages.SetUp, hub: messages.Hub) -> None:
        self.backend = backend
        self.agent = backend.agent
        self.call = effect.call
        self.hub = hub.name
        self.number = hub.number
        self.active = True
        self.any_response = False
        self.last_heard_at = self.agent.clock.now_us()  # when the last response came; at first: the start
        self.cancel_pending = False
        self.cancel_sent = False
        self.dialogs: dict[str, Dialog] = {}  # by remote tag: a forked INVITE can get several 2xx
        self.acks: dict[str, tuple[bytes, Target]] = {}  # by remote tag: those sent, to repeat them
        self.trying_timer = None
        sip_call = backend.frontend.unanswered[effect.call]
        call_request = sip_call.call_request
        self.via_tandem = hub.number != call_request.destination
        self.delayed_offer = not call_request.body  # the SDP offer comes in the hub's 200
        host, port = host_and_port(hub)
        target = Target(transport_of(hub), host, port)
        own_address = self.agent.address
        uri_parameters = ";transport=tcp" if target.transport == "TCP" else ""
        uri = sip.URI("sip", host, call_request.number, None, port)
        request = sip.new_request(
            "INVITE",
            f"{uri}{uri_parameters}",
            sip.new_via(target.transport, *own_address),
            f"{call_request.caller_address};tag={sip.new_tag()}",
            f"<{uri}>",
            f"{sip.new_tag()}@{own_address[0]}",
            1,
            call_request.max_forwards,
        )
        request.headers.set("Contact", self.agent.contact(target.transport))
        request.headers.set("Allow", sip.ALLOW)
        request.headers.set("Expires", str(max(math.ceil(effect.timeout_us / 1e6), 1)))
        if self.via_tandem:
            request.headers.set(TRANSIT_HEADER, str(backend.config.settings.own_number))
        sip.set_body(request, call_request.body)
        contact, transport = self.agent.contact(target.transport), target.transport
        reference = DialogReference.of(sip_call.new_dialog(), Side.CALLER, self.agent.process)
        refer_to_dialog(request, contact, transport, reference)
        self.target = tcp_if_too_large(request, target)
        self.invite: InviteClientTransaction | None = None
        self.request = request

    def start(self) -> None:
        self.trying_timer = self.agent.clock.callLater(self.backend.config.trying_s, self.trying_timeout)
        self.invite = self.agent.send_request(self.request, self.target, self.handle_response, self.failed)

    def stop_trying_timer(self) -> None:
        if self.trying_timer is not None and self.trying_timer.active():
            self.trying_timer.cancel()
        self.trying_timer = None

    def trying_timeout(self) -> None:
        """Abandons the attempt, since not even a 100 has come.

        The hub is down or blocked, and there is still time to try another.
        """
        self.trying_timer = None
        self.finish(Outcome.TIMEOUT)
        self.abandon()

    def hub_started(self, started_at: int) -> None:
        """Ends an attempt without a final response from which only the hub's previous process was heard."""
        if not self.dialogs and self.last_heard_at < started_at:
            self.finish(Outcome.CUT)
            self.abandon()

    def finish(
        self, outcome: Outcome, reason: Reason = Reason.NONE, retry_after_us: int | None = None
    ) -> None:
        """Reports the end of the attempt, or of its call, to the core; only once."""
        self.stop_trying_timer()
        if self.active:
            self.active = False
            self.backend.remove(self)
            self.backend.driver.post(
                messages.AttemptEnded(self.call, self.hub, outcome, reason, retry_after_us)
            )

    def failed(self, reason: str) -> None:
        self.finish(Outcome.TIMEOUT if reason == "timeout" else Outcome.UNREACHABLE)

    def handle_response(self, response: sip.Response) -> None:
        self.any_response = True
        self.last_heard_at = self.agent.clock.now_us()
        self.stop_trying_timer()
        if response.code < 200:
            if self.cancel_pending:
                self.send_cancel()
            elif response.code > 100:
                self.backend.frontend.call_progress(self.call)
        elif response.code < 300:
            self.answered(response)
        else:
            retry_after = re.match(r"\d{1,6}", response.headers.get("Retry-After", ""))
            q850_cause = Q850_CAUSE.search(response.headers.get("Reason", ""))
            self.finish(
                *outcome_of(
                    response.code,
                    int(q850_cause[1]) if q850_cause else 0,
                    int(retry_after[0]) * 1_000_000 if retry_after else None,
                    self.via_tandem,
                )
            )

    def answered(self, response: sip.Response) -> None:
        """Handles a 2xx or its retransmission."""
        tag = sip.tag_of(response.to_address)
        if tag in self.acks:
            self.agent.transport.send(*self.acks[tag])  # a retransmitted 200: the ACK was lost
            return
        if tag in self.dialogs:
            return  # a retransmitted 200; the ACK waits for the caller's ACK with the SDP answer
        first = not self.dialogs
        dialog = self.dialogs[tag] = Dialog.of_uac(self.request, response, self.target)
        self.agent.add_dialog(dialog, self)
        if first and self.active:
            if not self.delayed_offer:
                self.send_ack(dialog)
            body = response.body.decode("utf-8", "surrogateescape")
            self.backend.driver.post(messages.CallEstablished(self.call, self.hub, body))
        else:  # the attempt was abandoned, or this is another branch of a fork: end the dialog
            self.send_ack(dialog)
            self.agent.send_bye(dialog)

    def send_ack(self, dialog: Dialog, body: bytes = b"") -> None:
        request, target = dialog.create_request("ACK", self.agent.address, self.request.cseq.sequence)
        sip.set_body(request, body)
        target = tcp_if_too_large(request, target)
        self.acks[dialog.id.remote_tag] = bytes(request), target
        self.agent.transport.send(bytes(request), target)

    def abandon(self) -> None:
        """Ends the attempt, or its call, towards the hub, without a report to the core."""
        self.stop_trying_timer()
        self.active = False
        self.backend.remove(self)
        for tag, dialog in self.dialogs.items():
            if tag not in self.acks:
                self.send_ack(dialog)
            if dialog.id in self.agent.dialogs:
                self.agent.send_bye(dialog)
        if self.invite is None or self.dialogs or self.invite.state not in ("calling", "proceeding"):
            return
        if self.agent.transport.remove_queued(self.invite.data, self.target):
            self.invite.terminate()
            return
        self.cancel_pending = True
        if self.any_response:
            self.send_cancel()
        else:
            # A retransmission could reach the hub as a new attempt, beside the next one elsewhere.
            self.invite.stop_retransmissions()

    def send_cancel(self) -> None:
        """Sends one CANCEL. Must not be called before a provisional response has come (RFC 3261 9.1)."""
        if not self.cancel_sent:
            self.cancel_sent = True
            self.agent.send_request(self.agent.layer.derived_request(self.request, "CANCEL"), self.target)
            self.invite.start_cancel_timeout()

    def bye_received(self) -> None:
        if self.active and not any(dialog.id in self.agent.dialogs for dialog in self.dialogs.values()):
            self.finish(Outcome.OK)

    def ack_received(self, request: sip.Request) -> None:
        """Ignores the ACK: hubs send no INVITE, so none is expected from them."""


def host_and_port(hub: messages.Hub) -> tuple[str, int]:
    """The address that requests to a hub are sent to."""
    host, _, port = hub.address.partition(";")[0].rpartition(":")
    return host, int(port)


def transport_of(hub: messages.Hub) -> str:
    """The transport that requests to a hub are sent over: UDP or TCP."""
    return (hub.address.partition(";")[2] or "udp").upper()


class SipBackend:
    """All attempts, and the hubs that calls may be sent to."""

    def __init__(self, driver: Driver, agent: SipAgent, config: SipConfig) -> None:
        self.driver = driver
        self.agent = agent
        self.config = config
        self.frontend: SipFrontend
        self.hubs: dict[str, tuple[messages.Hub, bool]] = {}  # by name; True: accepts set-ups
        self.by_call: dict[int, Leg] = {}

    def remove(self, leg: Leg) -> None:
        if self.by_call.get(leg.call) is leg:
            del self.by_call[leg.call]

    def dialog_of(self, call: int) -> Dialog | None:
        """The hub's dialog of an established call; None if there is none."""
        leg = self.by_call.get(call)
        return next(iter(leg.dialogs.values()), None) if leg is not None else None

    def set_up(self, effect: messages.SetUp) -> None:
        hub, accepts_setups = self.hubs.get(effect.hub, (None, False))
        if hub is None or not accepts_setups or effect.call not in self.frontend.unanswered:
            self.driver.post_later(messages.AttemptEnded(effect.call, effect.hub, Outcome.NOT_SENT))
            return
        leg = self.by_call[effect.call] = Leg(self, effect, hub)
        leg.start()

    def release(self, effect: messages.Release) -> None:
        leg = self.by_call.get(effect.call)
        if leg is not None and leg.hub == effect.hub:
            leg.abandon()

    def caller_ack_received(self, call: int, body: bytes) -> None:
        """Passes on the SDP answer in a caller's ACK, if its INVITE had no offer."""
        leg = self.by_call.get(call)
        if leg is not None and leg.delayed_offer:
            for tag, dialog in leg.dialogs.items():
                if tag not in leg.acks:
                    leg.send_ack(dialog, body)

    def drop_previous_process(self, hub: messages.Hub, legs: list[Leg]) -> None:
        """Ends what is still out at another process that had the hub's address or name before."""
        previous = self.hubs.get(hub.name, (None, False))[0]
        if previous is None or previous.address != hub.address:
            self.agent.transport.drop_outbound(host_and_port(hub), self.agent.clock.now_us())
        elif previous.started_at < hub.started_at:
            self.agent.transport.drop_outbound(host_and_port(hub), hub.started_at)
            for leg in legs:
                leg.hub_started(hub.started_at)

    def update_hub_connection(self, effect: messages.UpdateHubConnection) -> None:
        """Updates a hub.

        If it accepts no more set-ups, INVITEs without a response are withdrawn if still queued, else they are
        no longer retransmitted. If it is removed, all its attempts and calls are ended.
        """
        name = effect.hub.name
        legs = [leg for leg in self.by_call.values() if leg.hub == name]
        if effect.keep_connection:
            self.drop_previous_process(effect.hub, legs)
        self.hubs[name] = effect.hub, effect.accepts_setups
        for leg in legs if not effect.accepts_setups else ():
            if leg.invite is not None and not leg.any_response:
                if self.agent.transport.remove_queued(leg.invite.data, leg.target):
                    leg.invite.terminate()
                    leg.finish(Outcome.NOT_SENT)
                else:
                    leg.invite.stop_retransmissions()
        if not effect.keep_connection:
            del self.hubs[name]
            for leg in legs:  # a late response from there must find no active attempt
                leg.abandon()
        self.agent.transport.datagrams.connect_sockets(
            {host_and_port(hub) for hub, _ in self.hubs.values() if transport_of(hub) == "UDP"}
        )
