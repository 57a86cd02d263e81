"""Dialogs of RFC 3261 section 12: tags, sequence numbers, route set and remote target."""

from __future__ import annotations

import re
from typing import NamedTuple

from . import message as sip
from .transport import MAX_UDP_REQUEST_BYTES, Target

IPV4_ADDRESS = re.compile(r"\d{1,3}(\.\d{1,3}){3}\Z")


class DialogId(NamedTuple):
    """RFC 3261 12: what identifies a dialog at this end."""

    call_id: str
    local_tag: str
    remote_tag: str


class Dialog:
    """The state of one dialog, from which the requests within it are built."""

    def __init__(
        self,
        call_id: str,
        local_party: str,
        remote_party: str,
        local_tag: str,
        remote_tag: str,
        remote_target: str,
        route_set: list[str],
        sequence: int,
        source: Target,
    ) -> None:
        self.id = DialogId(call_id, local_tag, remote_tag)
        # From and To of the requests that are sent, including their tags.
        self.local_party, self.remote_party = local_party, remote_party
        self.remote_target = remote_target
        self.route_set = route_set
        self.local_sequence = sequence
        self.remote_sequence = -1
        self.source = source  # where the peer's INVITE came from, or ours was sent to

    @classmethod
    def of_uas(cls, request: sip.Request, local_tag: str, source: Target) -> Dialog:
        """The dialog that a 2xx with `local_tag` creates at the side that answers (RFC 3261 12.1.1)."""
        contact = request.contact
        remote_party = request.headers["From"]
        remote_target = str(contact[0].uri) if contact else str(request.from_address.uri)
        dialog = cls(
            request.call_id,
            f"{request.headers['To']};tag={local_tag}",
            remote_party,
            local_tag,
            sip.tag_of(request.from_address),
            remote_target,
            [str(route) for route in request.record_route],
            0,
            source,
        )
        dialog.remote_sequence = request.cseq.sequence
        return dialog

    @classmethod
    def of_uac(cls, request: sip.Request, response: sip.Response, source: Target) -> Dialog:
        """The dialog that a 2xx creates at the side that sent the INVITE (RFC 3261 12.1.2)."""
        contact = response.contact
        remote_target = str(contact[0].uri) if contact else str(request.uri)
        return cls(
            request.call_id,
            request.headers["From"],
            response.headers["To"],
            sip.tag_of(request.from_address),
            sip.tag_of(response.to_address),
            remote_target,
            [str(route) for route in reversed(response.record_route)],
            request.cseq.sequence,
            source,
        )

    def accept_in_order(self, request: sip.Request) -> bool:
        """Records the request's CSeq number; False if it is not above the last one (RFC 3261 12.2.2)."""
        if request.cseq.sequence <= self.remote_sequence:
            return False
        self.remote_sequence = request.cseq.sequence
        return True

    def create_request(
        self, method: str, sent_by: tuple[str, int], sequence: int | None = None
    ) -> tuple[sip.Request, Target]:
        """A request within the dialog, and where to send it (RFC 3261 12.2.1.1).

        `sent_by` is the host and port for Via. `sequence` is given for an ACK, which repeats the INVITE's
        number; other requests take the next one.
        """
        if sequence is None:
            self.local_sequence += 1
            sequence = self.local_sequence
        uri, routes = self.remote_target, list(self.route_set)
        next_hop = sip.URI.parse(uri)
        if routes:
            next_hop = sip.Address.parse(routes[0]).uri
            if "lr" not in next_hop.parameters:  # a strict router, which expects itself as the request URI
                uri, routes = str(next_hop), [*routes[1:], f"<{uri}>"]
        target = self.target_of(next_hop)
        request = sip.new_request(
            method,
            uri,
            sip.new_via(target.transport, *sent_by),
            self.local_party,
            self.remote_party,
            self.id.call_id,
            sequence,
        )
        for route in routes:
            request.headers.add("Route", route)
        return request, target

    def target_of(self, next_hop: sip.URI) -> Target:
        """The transport address of a URI.

        Host names are not resolved: for a URI with one, it is `source`.
        """
        requested = (next_hop.parameters.get("transport") or self.source.transport).upper()
        transport = requested if requested in ("UDP", "TCP") else self.source.transport
        if not IPV4_ADDRESS.match(next_hop.host):
            return self.source
        stream = self.source.stream if transport == "TCP" else None
        return Target(transport, next_hop.host, next_hop.port or 5060, stream)


def tcp_if_too_large(request: sip.Request, target: Target) -> Target:
    """The target to use for a request: TCP, with a Via to match, if it is too large for a datagram."""
    if target.transport == "UDP" and len(bytes(request)) > MAX_UDP_REQUEST_BYTES:
        via = request.via[0]
        request.via = [type(via)("TCP", via.host, via.port, via.parameters)]
        return Target("TCP", target.host, target.port)
    return target
