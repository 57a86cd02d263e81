"""The upstream side: INVITEs of callers become the core's arrivals, its answers become responses."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..core import messages
from . import message as sip
from .agent import SipAgent
from .dialog import Dialog
from .transactions import ServerTransaction

if TYPE_CHECKING:
    from ..net.driver import Driver
    from .legs import SipLegs
    from .settings import SipConfig

CODES = {
    messages.FailureCause.UNAVAILABLE: 503,
    messages.FailureCause.LINES_BUSY: 486,
    messages.FailureCause.NO_ANSWER: 504,
    messages.FailureCause.DEADLINE_EXPIRED: 408,
    messages.FailureCause.UNKNOWN_DESTINATION: 404,
    messages.FailureCause.NETWORK_ERROR: 500,
}
MOST_OWED = 4000  # INVITEs without their answer
TRANSIT = "X-Transit"  # on a call sent round by us: the number of the exchange that it comes from


@dataclass(slots=True, eq=False)
class Asked:
    """What the legs need of a call to send it on."""

    number: str
    body: bytes
    sender: str
    hops: int
    destination: int


class SipCall:
    """One caller's INVITE and, once it is answered, its dialog."""

    def __init__(self, front: SipFront, call: int, server: ServerTransaction, asked: Asked) -> None:
        self.front = front
        self.agent = front.agent
        self.call = call
        self.server = server
        self.asked = asked
        self.tag = sip.tag()
        self.dialog: Dialog | None = None
        self.confirmed = False
        self.over = False
        self.answer_data = b""
        self.timers: list = []

    def progress(self) -> None:
        contact = ("Contact", self.agent.contact(self.server.source.transport))
        self.server.respond(sip.response_to(self.server.request, 180, self.tag, extra=(contact,)))

    def stand(self, description: str) -> None:
        transport = self.server.source.transport
        response = sip.response_to(
            self.server.request,
            200,
            self.tag,
            extra=(("Contact", self.agent.contact(transport)), ("Allow", sip.ALLOW)),
        )
        sip.with_body(response, description.encode("utf-8", "surrogateescape"))
        self.answer_data = bytes(response)
        self.dialog = Dialog.of_server(self.server.request, self.tag, self.server.source)
        self.agent.join(self.dialog, self)
        self.server.respond(response)
        timing = self.agent.timing
        self.repeat(timing.t1_s)
        self.timers.append(self.agent.clock.callLater(timing.limit_s, self.unacked))

    def repeat(self, gap_s: float) -> None:
        """The 200 again until its ACK comes, over TCP as well (RFC 3261 13.3.1.4)."""
        self.timers.insert(0, self.agent.clock.callLater(gap_s, self.again, gap_s))

    def again(self, gap_s: float) -> None:
        self.timers.pop(0)
        self.agent.transport.send(self.answer_data, self.server.target)
        self.repeat(min(2 * gap_s, self.agent.timing.t2_s))

    def still(self) -> None:
        for timer in self.timers:
            if timer.active():
                timer.cancel()
        self.timers.clear()

    def acked(self, request: sip.Request) -> None:
        if self.confirmed:
            return
        self.confirmed = True
        self.still()
        self.front.legs.acked(self.call, request.body)
        if self.over:
            self.agent.bye(self.dialog)

    def unacked(self) -> None:
        """The ACK never came: the call cannot be said to stand."""
        self.hang_up()

    def hung_up(self) -> None:
        self.still()
        if not self.over:
            self.front.gone(self)

    def hang_up(self) -> None:
        """Ended from here, on both sides."""
        self.still()
        self.over = self.confirmed = True
        self.agent.bye(self.dialog)
        self.front.gone(self)

    def end(self) -> None:
        """The hub's side ended; a BYE goes out no sooner than the ACK has come (RFC 3261 15)."""
        self.over = True
        if self.confirmed:
            self.agent.bye(self.dialog)


class SipFront:
    def __init__(self, driver: Driver, agent: SipAgent, config: SipConfig, legs: SipLegs) -> None:
        self.driver = driver
        self.agent = agent
        self.config = config
        self.legs = legs
        self.owed: dict[int, SipCall] = {}
        self.standing: dict[int, SipCall] = {}
        self.by_server: dict[ServerTransaction, int] = {}
        self.tries: dict[tuple, ServerTransaction] = {}  # RFC 3261 8.2.2.2: one try that came by two ways
        self.calls = 0
        self.leaving = False
        agent.invited = self.invited
        agent.cancelled = self.cancelled
        agent.early_bye = self.early_bye

    def invited(self, server: ServerTransaction) -> None:
        request = server.request
        if self.leaving or len(self.owed) >= MOST_OWED:
            self.agent.refuse(server, 503, (("Retry-After", "5"),))
            return
        same = request.call_id, sip.tag_of(request.from_address), request.cseq.sequence
        earlier = self.tries.get(same)
        if earlier is not None and earlier.state != "terminated":
            self.agent.refuse(server, 482)
            return
        kind = request.headers.get("Content-Type", "").lower().partition(";")[0].strip()
        if request.body and kind != "application/sdp":
            self.agent.refuse(server, 415, (("Accept", "application/sdp"),))
            return
        if request.headers.get("Content-Encoding", "identity").lower() != "identity":
            self.agent.refuse(server, 415, (("Accept-Encoding", "identity"),))
            return
        if not request.contact or not sip.tag_of(request.from_address):
            self.agent.refuse(server, 400)
            return
        number = request.uri.user or ""
        route = self.config.route(number)
        if route is None:
            self.agent.refuse(server, 404)
            return
        if len(self.tries) > 4096:
            self.tries = {key: item for key, item in self.tries.items() if item.state != "terminated"}
        self.tries[same] = server
        self.agent.refuse(server, 100)
        self.calls += 1
        call = self.calls
        hops = 70 if request.max_forwards is None else request.max_forwards
        sender = str(sip.Address(request.from_address.uri, request.from_address.name))
        asked = Asked(number, request.body, sender, hops - 1, route.destination)
        item = self.config.settings.classes[route.class_index]
        left_us = round(item.deadline_s * 1e6)
        if request.expires is not None and request.expires > 0:
            left_us = min(left_us, request.expires * 1_000_000)
        self.owed[call] = SipCall(self, call, server, asked)
        self.by_server[server] = call
        digits = "".join(char for char in number if char.isdigit())[-18:]
        via = request.headers.get(TRANSIT, "")
        transit = server.source.host in self.config.peers and via.isdigit()
        self.driver.tell(
            messages.Arrival(
                call,
                route.class_index,
                item.width_circuits,
                left_us,
                route.tenant,
                int(digits or 0),
                route.destination,
                transit,
                advice=int(via[:9]) if transit else -1,
            )
        )

    def cancelled(self, server: ServerTransaction) -> None:
        call = self.by_server.get(server)
        if call is not None:
            self.withdraw(call)

    def withdraw(self, call: int) -> None:
        found = self.settle(call)
        if found is not None:
            found.server.respond(sip.response_to(found.server.request, 487, found.tag))
            self.driver.tell(messages.Withdrawn(call))

    def early_bye(self, request: sip.Request) -> bool:
        """A caller may also give up by a BYE in the dialog of our provisional response."""
        for call, found in list(self.owed.items()):
            invite = found.server.request
            if (
                invite.call_id == request.call_id
                and found.tag == sip.tag_of(request.to_address)
                and sip.tag_of(invite.from_address) == sip.tag_of(request.from_address)
            ):
                self.withdraw(call)
                return True
        return False

    def settle(self, call: int) -> SipCall | None:
        found = self.owed.pop(call, None)
        if found is not None:
            self.by_server.pop(found.server, None)
        return found

    def progress(self, call: int) -> None:
        if call in self.owed:
            self.owed[call].progress()

    def gone(self, found: SipCall) -> None:
        if self.standing.pop(found.call, None) is not None:
            self.driver.tell(messages.Withdrawn(found.call))

    # ---- effects

    def answer(self, effect: messages.Answer) -> None:
        found = self.settle(effect.call)
        if found is not None:
            self.standing[effect.call] = found
            found.stand(effect.description)

    def refuse(self, effect: messages.Refuse) -> None:
        extra = ()
        if effect.retry_after_us > 0 and CODES[effect.cause] in (503, 486, 500, 404):
            extra = (("Retry-After", str(math.ceil(effect.retry_after_us / 1e6))),)
        self.final(effect.call, CODES[effect.cause], extra)

    def fail(self, effect: messages.Fail) -> None:
        code = CODES[effect.cause]
        self.final(effect.call, 500 if code == 503 else code, ())

    def final(self, call: int, code: int, extra: tuple[tuple[str, str], ...]) -> None:
        found = self.settle(call)
        if found is not None:
            found.server.respond(sip.response_to(found.server.request, code, found.tag, extra=extra))

    def over(self, effect: messages.CallEnded) -> None:
        found = self.standing.pop(effect.call, None)
        if found is not None:
            found.end()
