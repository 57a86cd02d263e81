"""Ends calls from before a restart, of which this process knows neither dialog.

The program is a back-to-back user agent and starts without state. So that a BYE from one side of a call can
still be passed on to the other, the Contact that one side gets holds the other side's dialog in its user
part: requests within a dialog have the Contact as their Request-URI (RFC 3261 12.2.1.1).
"""

from __future__ import annotations

import base64
import binascii
import json
import re
import zlib
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from ..net.connection import log
from . import message as sip
from .dialog import Dialog
from .transactions import ServerTransaction
from .transport import MAX_UDP_REQUEST_BYTES, Target

if TYPE_CHECKING:
    from .agent import SipAgent
    from .backend import SipBackend

USER_PREFIX = "dialog."
MAX_REFERENCE_BYTES = 8192  # after decompression


class Side(Enum):
    """The side of a call that a dialog is with."""

    CALLER = "caller"
    HUB = "hub"


@dataclass(frozen=True, slots=True)
class DialogReference:
    """What a BYE in a dialog of an earlier process needs."""

    process: str  # identifies the process that made the reference
    side: Side
    call_id: str
    local_party: str  # From of the BYE, with its tag
    remote_party: str  # To of the BYE, with its tag
    remote_target: str
    route_set: tuple[str, ...]
    sequence: int  # CSeq number of the last request sent in the dialog
    transport: str  # of the source: where the peer's INVITE came from, or ours was sent to
    host: str
    port: int

    @classmethod
    def of(cls, dialog: Dialog, side: Side, process: str) -> DialogReference:
        """The reference to a dialog with the given side."""
        return cls(
            process,
            side,
            dialog.id.call_id,
            dialog.local_party,
            dialog.remote_party,
            dialog.remote_target,
            tuple(dialog.route_set),
            dialog.local_sequence,
            dialog.source.transport,
            dialog.source.host,
            dialog.source.port,
        )

    def to_dialog(self) -> Dialog:
        """The dialog; raises ValueError if the reference is not one that this program made."""
        return Dialog(
            self.call_id,
            self.local_party,
            self.remote_party,
            sip.tag_of(sip.Address.parse(self.local_party)),
            sip.tag_of(sip.Address.parse(self.remote_party)),
            self.remote_target,
            list(self.route_set),
            self.sequence,
            Target(self.transport, self.host, self.port),
        )


def encode_reference(reference: DialogReference) -> str:
    """The reference as the user part of a URI."""
    fields = [
        reference.process,
        reference.side.value,
        reference.call_id,
        reference.local_party,
        reference.remote_party,
        reference.remote_target,
        list(reference.route_set),
        reference.sequence,
        reference.transport,
        reference.host,
        reference.port,
    ]
    data = zlib.compress(json.dumps(fields, separators=(",", ":")).encode(), 9)
    return USER_PREFIX + base64.urlsafe_b64encode(data).decode().rstrip("=")


def decode_reference(user: str) -> DialogReference | None:
    """The reference in the user part of a URI; None if there is none, or none that can be read."""
    if not user.startswith(USER_PREFIX):
        return None
    text = user[len(USER_PREFIX) :]
    try:
        data = base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))
        fields = json.loads(zlib.decompressobj().decompress(data, MAX_REFERENCE_BYTES))
        process, side, call_id, local_party, remote_party, remote_target, routes, sequence, *source = fields
        transport, host, port = source
        texts = (process, call_id, local_party, remote_party, remote_target, transport, host, *routes)
        if not all(isinstance(value, str) and not re.search(r"[\r\n\0]", value) for value in texts):
            return None
        if transport not in ("UDP", "TCP") or not 0 < port < 65536 or not 0 <= sequence < 2**31 - 1:
            return None
        return DialogReference(
            process,
            Side(side),
            call_id,
            local_party,
            remote_party,
            remote_target,
            tuple(routes),
            sequence,
            transport,
            host,
            port,
        )
    except (ValueError, TypeError, zlib.error, binascii.Error, RecursionError):
        return None


def refer_to_dialog(
    message: sip.Request | sip.Response, contact: str, transport: str, reference: DialogReference
) -> None:
    """Sets the message's Contact to `contact` with the reference, or without it if UDP has no room for it."""
    with_reference = contact.replace("<sip:", f"<sip:{encode_reference(reference)}@", 1)
    message.headers.set("Contact", with_reference)
    if transport == "UDP" and len(bytes(message)) > MAX_UDP_REQUEST_BYTES:
        message.headers.set("Contact", contact)


class DialogRecovery:
    """Ends calls of an earlier process.

    Passes on a BYE for one of its dialogs to the other side of the call, and ends a call that a hub has
    answered after that process has ended.
    """

    def __init__(self, agent: SipAgent, backend: SipBackend) -> None:
        self.agent = agent
        self.backend = backend
        agent.on_unknown_bye = self.bye_received
        agent.layer.on_unmatched_answer = self.answer_received

    def bye_received(self, server: ServerTransaction) -> bool:
        """Ends the other side of the call of a BYE that matches no dialog; False if that is not possible."""
        reference = decode_reference(server.request.uri.user or "")
        if reference is None or reference.process == self.agent.process:
            return False  # a dialog of this process that is over
        if not self._is_plausible(reference, server.source):
            return False
        try:
            request, target = reference.to_dialog().create_request("BYE", self.agent.address)
        except ValueError:
            return False
        if reference.side is Side.HUB:
            target = Target(reference.transport, reference.host, reference.port)
            request.via = [sip.new_via(target.transport, *self.agent.address)]
        self.agent.send_request(request, target)
        log(f"note sip: call from before the restart ended, BYE sent to its {reference.side.value}")
        return True

    def answer_received(self, response: sip.Response, source: Target) -> bool:
        """Ends the call of a hub's 2xx to an INVITE that no transaction here has sent; False for others' 2xx.

        The hub repeats its 2xx because the process that sent the INVITE has not acknowledged it: that process
        has ended, or has given the attempt up.
        """
        via = response.via[0]
        is_own = (via.host, via.port or 5060) == self.agent.address and len(response.via) == 1
        if not is_own or not self._is_from_hub(source):
            return False
        try:
            dialog = Dialog.of_uac(sip.request_of(response), response, source)
            ack, target = dialog.create_request("ACK", self.agent.address, response.cseq.sequence)
        except ValueError:
            return False
        self.agent.transport.send(bytes(ack), target)
        self.agent.send_bye(dialog)
        log("note sip: a hub has answered an INVITE from before the restart, or given up; BYE sent to it")
        return True

    def _is_from_hub(self, source: Target) -> bool:
        """Whether the source is a listed hub; over TCP its port may be another one."""
        for hub, _ in self.backend.hubs.values():
            host, _, port = hub.address.partition(";")[0].rpartition(":")
            if source.host == host and (source.transport == "TCP" or str(source.port) == port):
                return True
        return False

    def _is_plausible(self, reference: DialogReference, source: Target) -> bool:
        """Whether one side of the call is a listed hub: otherwise anyone could have BYEs sent anywhere."""
        hub_addresses = [hub.address.partition(";")[0] for hub, _ in self.backend.hubs.values()]
        if reference.side is Side.HUB:
            return f"{reference.host}:{reference.port}" in hub_addresses
        return any(address.rpartition(":")[0] == source.host for address in hub_addresses)
