"""Dialogs of RFC 3261 section 12: tags, sequence numbers, route set and remote target."""

from __future__ import annotations

import re
from typing import NamedTuple

from . import message as sip
from .transport import UDP_MOST, Target

ADDRESS = re.compile(r"\d{1,3}(\.\d{1,3}){3}\Z")


class DialogId(NamedTuple):
    call_id: str
    local_tag: str
    remote_tag: str


class Dialog:
    def __init__(
        self,
        call_id: str,
        local: str,
        remote: str,
        local_tag: str,
        remote_tag: str,
        target: str,
        routes: list[str],
        sequence: int,
        source: Target,
    ) -> None:
        self.id = DialogId(call_id, local_tag, remote_tag)
        self.local, self.remote = local, remote  # the From and To of what we send, tags and all
        self.target = target
        self.routes = routes
        self.local_sequence = sequence
        self.remote_sequence = -1
        self.source = source  # where the peer was heard from

    @classmethod
    def of_server(cls, request: sip.Request, local_tag: str, source: Target) -> Dialog:
        contact = request.contact
        remote = request.headers["From"]
        target = str(contact[0].uri) if contact else str(request.from_address.uri)
        made = cls(
            request.call_id,
            f"{request.headers['To']};tag={local_tag}",
            remote,
            local_tag,
            sip.tag_of(request.from_address),
            target,
            [str(item) for item in request.record_route],
            0,
            source,
        )
        made.remote_sequence = request.cseq.sequence
        return made

    @classmethod
    def of_client(cls, request: sip.Request, response: sip.Response, source: Target) -> Dialog:
        contact = response.contact
        target = str(contact[0].uri) if contact else str(request.uri)
        return cls(
            request.call_id,
            request.headers["From"],
            response.headers["To"],
            sip.tag_of(request.from_address),
            sip.tag_of(response.to_address),
            target,
            [str(item) for item in reversed(response.record_route)],
            request.cseq.sequence,
            source,
        )

    def accepts(self, request: sip.Request) -> bool:
        """Requests of a dialog come in order; a lower number is an old one."""
        if request.cseq.sequence <= self.remote_sequence:
            return False
        self.remote_sequence = request.cseq.sequence
        return True

    def request(
        self, method: str, transport: tuple[str, int], sequence: int | None = None
    ) -> tuple[sip.Request, Target]:
        if sequence is None:
            self.local_sequence += 1
            sequence = self.local_sequence
        uri, routes = self.target, list(self.routes)
        hop = sip.URI.parse(uri)
        if routes:
            hop = sip.Address.parse(routes[0]).uri
            if "lr" not in hop.parameters:  # a strict router: it takes the request by the request URI
                uri, routes = str(hop), [*routes[1:], f"<{uri}>"]
        target = self.reach(hop)
        request = sip.new_request(
            method,
            uri,
            sip.via_of(target.transport, *transport),
            self.local,
            self.remote,
            self.id.call_id,
            sequence,
        )
        for route in routes:
            request.headers.add("Route", route)
        return request, target

    def reach(self, hop: sip.URI) -> Target:
        """Names are not looked up here: where the hop is no address, the peer is met where it was heard."""
        asked = (hop.parameters.get("transport") or self.source.transport).upper()
        transport = asked if asked in ("UDP", "TCP") else self.source.transport
        if not ADDRESS.match(hop.host):
            return self.source
        stream = self.source.stream if transport == "TCP" else None
        return Target(transport, hop.host, hop.port or 5060, stream)


def by_size(request: sip.Request, target: Target) -> Target:
    """A request too large for a datagram goes by TCP, and its Via says so."""
    if target.transport == "UDP" and len(bytes(request)) > UDP_MOST:
        via = request.via[0]
        request.via = [type(via)("TCP", via.host, via.port, via.parameters)]
        return Target("TCP", target.host, target.port)
    return target
