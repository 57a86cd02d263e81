"""The user agent that front and legs share: one transport, one transaction layer, one table of dialogs."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from . import message as sip
from .dialog import Dialog, DialogId
from .transactions import ClientTransaction, ServerTransaction, Timing, TransactionLayer
from .transport import SipTransport, Target

if TYPE_CHECKING:
    from ..net.clock import TurnReactor


class Side(Protocol):
    """One side of a call: what the agent tells the owner of a dialog."""

    def hung_up(self) -> None: ...
    def acked(self, request: sip.Request) -> None: ...


class SipAgent:
    def __init__(self, transport: SipTransport, clock: TurnReactor, timing: Timing, advertise: str) -> None:
        self.transport = transport
        self.clock = clock
        self.timing = timing
        self.advertise = advertise
        self.layer = TransactionLayer(transport, clock, timing)
        self.layer.requested = self.requested
        self.layer.acked = self.acked
        self.dialogs: dict[DialogId, tuple[Dialog, Side]] = {}
        self.invited: Callable[[ServerTransaction], None] = lambda transaction: None
        self.cancelled: Callable[[ServerTransaction], None] = lambda transaction: None
        self.early_bye: Callable[[sip.Request], bool] = lambda request: False

    @property
    def address(self) -> tuple[str, int]:
        host, _, port = self.advertise.rpartition(":")
        return (host, int(port)) if host else (self.transport.host, self.transport.port)

    def contact(self, transport: str) -> str:
        host, port = self.address
        return f"<sip:{host}:{port}{';transport=tcp' if transport == 'TCP' else ''}>"

    # ---- dialogs

    def join(self, dialog: Dialog, side: Side) -> None:
        self.dialogs[dialog.id] = dialog, side

    def part(self, dialog: Dialog) -> None:
        self.dialogs.pop(dialog.id, None)

    def bye(self, dialog: Dialog) -> None:
        """Ends a dialog: it is over here whatever the peer answers."""
        self.part(dialog)
        request, target = dialog.request("BYE", self.address)
        self.send(request, target)

    def send(
        self,
        request: sip.Request,
        target: Target,
        heard: Callable[[sip.Response], None] = lambda response: None,
        failed: Callable[[str], None] = lambda why: None,
    ) -> ClientTransaction:
        return self.layer.request(request, target, heard, failed)

    # ---- what comes in

    def requested(self, server: ServerTransaction) -> None:
        request = server.request
        method = request.method
        if request.max_forwards == 0 and method != "CANCEL":
            self.refuse(server, 483)
        elif method not in sip.METHODS:
            self.refuse(server, 405, (("Allow", sip.ALLOW),))
        elif request.require and method != "CANCEL":
            self.refuse(server, 420, (("Unsupported", ", ".join(request.require)),))
        elif method == "CANCEL":
            self.cancel(server)
        elif sip.tag_of(request.to_address):
            self.within(server)
        elif method == "INVITE":
            self.invited(server)
        elif method == "OPTIONS":
            self.refuse(server, 200, (("Allow", sip.ALLOW), ("Accept", "application/sdp")))
        else:
            self.refuse(server, 481)

    @staticmethod
    def refuse(server: ServerTransaction, code: int, extra: tuple[tuple[str, str], ...] = ()) -> None:
        server.respond(sip.response_to(server.request, code, sip.tag() if code > 100 else "", extra=extra))

    def cancel(self, server: ServerTransaction) -> None:
        invite = self.layer.cancelled(server.request)
        if invite is None:
            self.refuse(server, 481)
            return
        self.refuse(server, 200)
        if not invite.final:  # else it crossed the final response, which stands
            self.cancelled(invite)

    def within(self, server: ServerTransaction) -> None:
        request = server.request
        found = self.dialogs.get(self.id_of(request))
        if found is None:
            if request.method == "BYE" and self.early_bye(request):
                self.refuse(server, 200)
            else:
                self.refuse(server, 481)
            return
        dialog, side = found
        if not dialog.accepts(request):
            self.refuse(server, 500)
        elif request.method == "BYE":
            self.part(dialog)
            self.refuse(server, 200)
            side.hung_up()
        elif request.method == "OPTIONS":
            self.refuse(server, 200, (("Allow", sip.ALLOW), ("Accept", "application/sdp")))
        else:  # a re-INVITE: the session stays as it was agreed
            self.refuse(server, 488)

    def acked(self, request: sip.Request) -> None:
        found = self.dialogs.get(self.id_of(request))
        if found is not None:
            found[1].acked(request)

    @staticmethod
    def id_of(request: sip.Request) -> DialogId:
        return DialogId(request.call_id, sip.tag_of(request.to_address), sip.tag_of(request.from_address))
