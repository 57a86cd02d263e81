"""The downstream side: the core's set-ups become INVITEs to the hubs, each attempt a dialog of its own."""

from __future__ import annotations

import math
import re
from typing import TYPE_CHECKING

from ..core import messages
from ..interface import Outcome, Reason
from . import message as sip
from .agent import SipAgent
from .dialog import Dialog, by_size
from .front import TRANSIT, SipFront
from .transactions import InviteClient
from .transport import Target

if TYPE_CHECKING:
    from ..net.driver import Driver
    from .settings import SipConfig

CAUSE = re.compile(r"Q\.850\s*;.*?cause\s*=\s*(\d+)", re.I)
NO_CIRCUIT = 34  # of Q.850, in a Reason header (RFC 3326)


def outcome_of(
    code: int, cause: int, retry_after_us: int | None, tandem: bool
) -> tuple[Outcome, Reason, int | None]:
    """A hub's refusal in the core's words."""
    if code in (486, 600):
        return Outcome.ERROR, Reason.LINES_BUSY, None
    if code == 503 and cause == NO_CIRCUIT:
        return Outcome.REJECTED, Reason.REJECTED_BY_TANDEM if tandem else Reason.NO_CIRCUIT, None
    if code == 503:
        return Outcome.REJECTED, Reason.PROCESSOR_FULL, retry_after_us
    if code in (408, 504):
        return Outcome.TIMEOUT, Reason.NONE, None
    if 500 <= code < 600:
        return Outcome.ERROR, Reason.NONE, None
    return Outcome.ERROR, Reason.DECLINED, None  # another try would meet the same answer


class Leg:
    """One attempt. `current` while the core waits for its end or holds its call as standing."""

    def __init__(self, legs: SipLegs, effect: messages.SetUp, hub: messages.Hub) -> None:
        self.legs = legs
        self.agent = legs.agent
        self.call = effect.call
        self.hub = hub.name
        self.number = hub.number
        self.current = True
        self.heard_any = False
        self.cancel_wanted = False
        self.cancel_sent = False
        self.dialogs: dict[str, Dialog] = {}  # by the hub's tag: a forked INVITE may be answered twice
        self.acks: dict[str, tuple[bytes, Target]] = {}
        self.silence = None
        asked = legs.front.owed[effect.call].asked
        self.tandem = hub.number != asked.destination
        self.late_offer = not asked.body
        address, _, transport = hub.address.partition(";")
        host, _, port = address.rpartition(":")
        target = Target((transport or "udp").upper(), host, int(port))
        own = self.agent.address
        tail = ";transport=tcp" if target.transport == "TCP" else ""
        user = sip.URI("sip", host, asked.number, None, int(port))
        request = sip.new_request(
            "INVITE",
            f"{user}{tail}",
            sip.via_of(target.transport, *own),
            f"{asked.sender};tag={sip.tag()}",
            f"<{user}>",
            f"{sip.tag()}@{own[0]}",
            1,
            asked.hops,
        )
        request.headers.set("Contact", self.agent.contact(target.transport))
        request.headers.set("Allow", sip.ALLOW)
        request.headers.set("Expires", str(max(math.ceil(effect.timeout_us / 1e6), 1)))
        if self.tandem:
            request.headers.set(TRANSIT, str(legs.config.settings.own_number))
        sip.with_body(request, asked.body)
        self.target = by_size(request, target)
        self.invite: InviteClient | None = None
        self.request = request

    def begin(self) -> None:
        self.silence = self.agent.clock.callLater(self.legs.config.trying_s, self.silent)
        self.invite = self.agent.send(self.request, self.target, self.heard, self.failed)

    def hush(self) -> None:
        if self.silence is not None and self.silence.active():
            self.silence.cancel()
        self.silence = None

    def silent(self) -> None:
        """Not even a 100: the hub is not there or takes nothing, and the call can still be sent elsewhere."""
        self.silence = None
        self.finish(Outcome.TIMEOUT)
        self.give_up()

    def finish(self, outcome: Outcome, reason: Reason = Reason.NONE, wait_us: int | None = None) -> None:
        self.hush()
        if self.current:
            self.current = False
            self.legs.forget(self)
            self.legs.driver.tell(messages.AttemptEnded(self.call, self.hub, outcome, reason, wait_us))

    def failed(self, why: str) -> None:
        self.finish(Outcome.TIMEOUT if why == "timeout" else Outcome.UNREACHABLE)

    def heard(self, response: sip.Response) -> None:
        self.heard_any = True
        self.hush()
        if response.code < 200:
            if self.cancel_wanted:
                self.cancel()
            elif response.code > 100:
                self.legs.front.progress(self.call)
        elif response.code < 300:
            self.answered(response)
        else:
            after = re.match(r"\d{1,6}", response.headers.get("Retry-After", ""))
            cause = CAUSE.search(response.headers.get("Reason", ""))
            self.finish(
                *outcome_of(
                    response.code,
                    int(cause[1]) if cause else 0,
                    int(after[0]) * 1_000_000 if after else None,
                    self.tandem,
                )
            )

    def answered(self, response: sip.Response) -> None:
        tag = sip.tag_of(response.to_address)
        if tag in self.acks:
            self.agent.transport.send(*self.acks[tag])  # the 200 again: our ACK was lost
            return
        if tag in self.dialogs:
            return  # the 200 again, while the caller's ACK with the answer to its offer is awaited
        first = not self.dialogs
        dialog = self.dialogs[tag] = Dialog.of_client(self.request, response, self.target)
        self.agent.join(dialog, self)
        if first and self.current:
            if not self.late_offer:
                self.ack(dialog)
            body = response.body.decode("utf-8", "surrogateescape")
            self.legs.driver.tell(messages.CallEstablished(self.call, self.hub, body))
        else:  # crossed our giving up, or another branch of a fork: it must not stand
            self.ack(dialog)
            self.agent.bye(dialog)

    def ack(self, dialog: Dialog, body: bytes = b"") -> None:
        request, target = dialog.request("ACK", self.agent.address, self.request.cseq.sequence)
        sip.with_body(request, body)
        target = by_size(request, target)
        self.acks[dialog.id.remote_tag] = bytes(request), target
        self.agent.transport.send(bytes(request), target)

    def give_up(self) -> None:
        """The core wants this attempt, or the call that stands by it, no more."""
        self.hush()
        self.current = False
        self.legs.forget(self)
        for tag, dialog in self.dialogs.items():
            if tag not in self.acks:
                self.ack(dialog)
            if dialog.id in self.agent.dialogs:
                self.agent.bye(dialog)
        if self.invite is None or self.dialogs or self.invite.state not in ("calling", "proceeding"):
            return
        if self.agent.transport.take_back(self.invite.data, self.target):
            self.invite.end()
            return
        self.cancel_wanted = True
        if self.heard_any:
            self.cancel()

    def cancel(self) -> None:
        """Only once a provisional response has come (RFC 3261 9.1)."""
        if not self.cancel_sent:
            self.cancel_sent = True
            self.agent.send(self.agent.layer.beside(self.request, "CANCEL"), self.target)
            self.invite.wait_cancelled()

    def hung_up(self) -> None:
        if self.current and not any(dialog.id in self.agent.dialogs for dialog in self.dialogs.values()):
            self.finish(Outcome.OK)

    def acked(self, request: sip.Request) -> None:
        """No ACK comes this way: the hubs call nobody."""


class SipLegs:
    def __init__(self, driver: Driver, agent: SipAgent, config: SipConfig) -> None:
        self.driver = driver
        self.agent = agent
        self.config = config
        self.front: SipFront
        self.hubs: dict[str, tuple[messages.Hub, bool]] = {}
        self.by_call: dict[int, Leg] = {}

    def forget(self, leg: Leg) -> None:
        if self.by_call.get(leg.call) is leg:
            del self.by_call[leg.call]

    def set_up(self, effect: messages.SetUp) -> None:
        hub, sends = self.hubs.get(effect.hub, (None, False))
        if hub is None or not sends or effect.call not in self.front.owed:
            self.driver.later(messages.AttemptEnded(effect.call, effect.hub, Outcome.NOT_SENT))
            return
        leg = self.by_call[effect.call] = Leg(self, effect, hub)
        leg.begin()

    def release(self, effect: messages.Release) -> None:
        leg = self.by_call.get(effect.call)
        if leg is not None and leg.hub == effect.hub:
            leg.give_up()

    def acked(self, call: int, body: bytes) -> None:
        """The caller's ACK; where its INVITE had no offer, this one carries the answer to the hub's."""
        leg = self.by_call.get(call)
        if leg is not None and leg.late_offer:
            for tag, dialog in leg.dialogs.items():
                if tag not in leg.acks:
                    leg.ack(dialog, body)

    def reach(self, effect: messages.UpdateHubConnection) -> None:
        name = effect.hub.name
        self.hubs[name] = effect.hub, effect.accepts_setups
        legs = [leg for leg in self.by_call.values() if leg.hub == name]
        for leg in legs if not effect.accepts_setups else ():
            if leg.invite is not None and not leg.heard_any:
                if self.agent.transport.take_back(leg.invite.data, leg.target):
                    leg.invite.end()
                    leg.finish(Outcome.NOT_SENT)
                else:
                    leg.invite.quieten()
        if not effect.keep_connection:
            del self.hubs[name]
            for leg in legs:  # a late answer from there finds nobody waiting
                leg.give_up()
