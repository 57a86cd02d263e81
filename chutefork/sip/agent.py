"""The user agent shared by frontend and backend: a transport, a transaction layer, a table of dialogs."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from . import message as sip
from .dialog import Dialog, DialogId
from .transactions import (
    ClientTransaction,
    InviteServerTransaction,
    ServerTransaction,
    Timing,
    TransactionLayer,
)
from .transport import SipTransport, Target

if TYPE_CHECKING:
    from ..net.clock import CachedClockReactor


class DialogOwner(Protocol):
    """One side of a call; the agent notifies it of requests within its dialogs."""

    def bye_received(self) -> None: ...
    def ack_received(self, request: sip.Request) -> None: ...


class SipAgent:
    """Answers requests, passes those that concern a call to the frontend or the backend, and sends requests.

    `on_invite` is called with the transaction of each INVITE outside a dialog, `on_cancel` with that of an
    INVITE that was cancelled before its final response, `on_early_bye` with each BYE that matches no dialog.
    `on_early_bye` returns whether the BYE ended a call that had no final response yet. `on_unknown_bye` is
    called with the transaction of a BYE that did not, and returns whether it ended a call.
    """

    def __init__(
        self, transport: SipTransport, clock: CachedClockReactor, timing: Timing, advertise: str
    ) -> None:
        self.transport = transport
        self.clock = clock
        self.timing = timing
        self.advertise = advertise
        self.process = sip.new_tag()  # tells references to this process's dialogs from an earlier one's
        self.layer = TransactionLayer(transport, clock, timing)
        self.layer.on_request = self.request_received
        self.layer.on_ack = self.ack_received
        self.dialogs: dict[DialogId, tuple[Dialog, DialogOwner]] = {}
        self.on_invite: Callable[[InviteServerTransaction], None] = lambda transaction: None
        self.on_cancel: Callable[[ServerTransaction], None] = lambda transaction: None
        self.on_early_bye: Callable[[sip.Request], bool] = lambda request: False
        self.on_unknown_bye: Callable[[ServerTransaction], bool] = lambda transaction: False

    @property
    def address(self) -> tuple[str, int]:
        """Host and port for Contact and Via: the advertised ones, else those listened on."""
        host, _, port = self.advertise.rpartition(":")
        return (host, int(port)) if host else (self.transport.host, self.transport.port)

    def contact(self, transport: str) -> str:
        """The value of a Contact header for messages over this transport (UDP or TCP)."""
        host, port = self.address
        return f"<sip:{host}:{port}{';transport=tcp' if transport == 'TCP' else ''}>"

    # ---- dialogs

    def add_dialog(self, dialog: Dialog, owner: DialogOwner) -> None:
        self.dialogs[dialog.id] = dialog, owner

    def remove_dialog(self, dialog: Dialog) -> None:
        self.dialogs.pop(dialog.id, None)

    def send_bye(self, dialog: Dialog) -> None:
        """Ends a dialog. It is over here at once, whatever the peer answers."""
        self.remove_dialog(dialog)
        request, target = dialog.create_request("BYE", self.address)
        self.send_request(request, target)

    def send_request(
        self,
        request: sip.Request,
        target: Target,
        on_response: Callable[[sip.Response], None] = lambda response: None,
        on_failure: Callable[[str], None] = lambda reason: None,
    ) -> ClientTransaction:
        """Sends a request in a new client transaction; for the callbacks see ClientTransaction."""
        return self.layer.send_request(request, target, on_response, on_failure)

    # ---- incoming requests

    def request_received(self, server: ServerTransaction) -> None:
        request = server.request
        method = request.method
        if request.max_forwards == 0 and method != "CANCEL":
            self.respond(server, 483)
        elif method not in sip.METHODS:
            self.respond(server, 405, (("Allow", sip.ALLOW),))
        elif request.require and method != "CANCEL":
            self.respond(server, 420, (("Unsupported", ", ".join(request.require)),))
        elif method == "CANCEL":
            self.cancel_received(server)
        elif sip.tag_of(request.to_address):
            self.dialog_request_received(server)
        elif method == "INVITE":
            self.on_invite(server)
        elif method == "OPTIONS":
            self.respond(server, 200, (("Allow", sip.ALLOW), ("Accept", "application/sdp")))
        else:
            self.respond(server, 481)

    @staticmethod
    def respond(
        server: ServerTransaction, code: int, extra_headers: tuple[tuple[str, str], ...] = ()
    ) -> None:
        """Sends a response without a body; all but 100 get a To tag."""
        server.respond(
            sip.response_to(
                server.request, code, sip.new_tag() if code > 100 else "", extra_headers=extra_headers
            )
        )

    def cancel_received(self, server: ServerTransaction) -> None:
        invite = self.layer.find_cancelled(server.request)
        if invite is None:
            self.respond(server, 481)
            return
        self.respond(server, 200)
        if not invite.final_code:  # a CANCEL that crossed the final response has no effect
            self.on_cancel(invite)

    def dialog_request_received(self, server: ServerTransaction) -> None:
        request = server.request
        entry = self.dialogs.get(self.dialog_id_of(request))
        if entry is None:
            is_bye = request.method == "BYE"
            if is_bye and (self.on_early_bye(request) or self.on_unknown_bye(server)):
                self.respond(server, 200)
            else:
                self.respond(server, 481)
            return
        dialog, owner = entry
        if not dialog.accept_in_order(request):
            self.respond(server, 500)
        elif request.method == "BYE":
            self.remove_dialog(dialog)
            self.respond(server, 200)
            owner.bye_received()
        elif request.method == "OPTIONS":
            self.respond(server, 200, (("Allow", sip.ALLOW), ("Accept", "application/sdp")))
        else:  # a re-INVITE: changes of the session are not supported
            self.respond(server, 488)

    def ack_received(self, request: sip.Request) -> None:
        entry = self.dialogs.get(self.dialog_id_of(request))
        if entry is not None:
            entry[1].ack_received(request)

    @staticmethod
    def dialog_id_of(request: sip.Request) -> DialogId:
        """The dialog of a received request: its To tag is the local one."""
        return DialogId(request.call_id, sip.tag_of(request.to_address), sip.tag_of(request.from_address))
