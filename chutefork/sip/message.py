"""SIP messages: what the parser library leaves to its users, and the building of requests and responses."""

from __future__ import annotations

import re
import secrets

from sipmessage import URI, Address, CSeq, Message, Parameters, Request, Response, Via

COOKIE = "z9hG4bK"
ALLOW = "INVITE, ACK, CANCEL, BYE, OPTIONS"
METHODS = frozenset(ALLOW.split(", "))
PHRASES = {
    100: "Trying",
    180: "Ringing",
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    415: "Unsupported Media Type",
    416: "Unsupported URI Scheme",
    420: "Bad Extension",
    481: "Call/Transaction Does Not Exist",
    482: "Loop Detected",
    483: "Too Many Hops",
    486: "Busy Here",
    487: "Request Terminated",
    488: "Not Acceptable Here",
    500: "Server Internal Error",
    503: "Service Unavailable",
    504: "Server Time-out",
    505: "Version Not Supported",
}
SINGLE = ("From", "To", "Call-ID", "CSeq")  # needed, and once only


class BadMessage(ValueError):
    """The message cannot be used; `code` is what a request is answered with."""

    def __init__(self, text: str, code: int = 400) -> None:
        super().__init__(text)
        self.code = code


def parse(data: bytes) -> Request | Response:
    """A message whose headers a transaction needs are all there and can be read."""
    head, blank, body = data.partition(b"\r\n\r\n")
    if not blank:
        raise BadMessage("no end of the headers")
    head = re.sub(rb"\r\n[ \t]+", b" ", head)  # a folded header is one line
    first = head.split(b"\r\n", 1)[0]
    if re.search(rb" SIP/\d+\.\d+$", first) and not first.endswith(b" SIP/2.0"):
        raise BadMessage("another version of SIP", 505)
    scheme = re.match(rb"[A-Z]+ ([a-zA-Z][a-zA-Z0-9+.-]*):", first)
    if scheme and scheme[1].lower() not in (b"sip", b"tel"):  # no TLS, so no sips
        raise BadMessage("a URI of another scheme", 416)
    try:
        message = Message.parse(head + b"\r\n\r\n" + body)
        for name in SINGLE:
            if len(message.headers.getlist(name)) != 1:
                raise BadMessage(f"{name} is needed once")
        if not message.via:
            raise BadMessage("Via is needed")
        message.from_address, message.to_address  # noqa: B018 (read to see that they can be read)
        cseq = message.cseq
        length = message.content_length
        if isinstance(message, Request):
            message.max_forwards, message.expires, message.require  # noqa: B018
        if cseq.method == "INVITE":
            message.contact, message.record_route  # noqa: B018
    except BadMessage:
        raise
    except (ValueError, KeyError, IndexError, TypeError, AttributeError, RecursionError) as fault:
        raise BadMessage(f"{type(fault).__name__}: {fault}") from None
    if cseq.sequence >= 2**31:
        raise BadMessage("CSeq is too large")
    if isinstance(message, Request) and cseq.method != message.method:
        raise BadMessage("CSeq names another method")
    if length is not None:
        if not 0 <= length <= len(message.body):
            raise BadMessage("Content-Length does not fit the body")
        message.body = message.body[:length]
    return message


def answer_to_unreadable(data: bytes, code: int) -> Response | None:
    """For a request that cannot be read, if what a response copies is there; never for an ACK."""
    head = re.sub(rb"\r\n[ \t]+", b" ", data.partition(b"\r\n\r\n")[0])
    lines = head.decode("utf-8", "replace").split("\r\n")
    if lines[0].startswith(("SIP/", "ACK ")):
        return None
    response = Response(code, PHRASES[code])
    short = {"v": "Via", "f": "From", "t": "To", "i": "Call-ID"}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        name = short.get(name.strip().lower(), name.strip())
        for wanted in ("Via", *SINGLE):
            if name.lower() == wanted.lower():
                response.headers.add(wanted, value.strip())
    try:
        if not response.via or any(response.headers.get(name) is None for name in SINGLE):
            return None
    except ValueError:
        return None
    response.content_length = 0
    return response


def response_to(
    request: Request, code: int, tag: str = "", body: bytes = b"", extra: tuple[tuple[str, str], ...] = ()
) -> Response:
    response = Response(code, PHRASES[code], body)
    for name in ("Via", "Record-Route", *SINGLE):
        if name == "Record-Route" and (request.method != "INVITE" or not 101 <= code < 300):
            continue
        for value in request.headers.getlist(name):
            response.headers.add(name, value)
    if tag and "tag" not in request.to_address.parameters:
        response.headers.set("To", f"{request.headers['To']};tag={tag}")
    for name, value in extra:
        response.headers.add(name, value)
    response.content_length = len(body)
    return response


def new_request(
    method: str, uri: str, via: Via, sender: str, recipient: str, call_id: str, sequence: int, hops: int = 70
) -> Request:
    request = Request(method, URI.parse(uri))
    request.via = [via]
    request.headers.set("Max-Forwards", str(hops))
    request.headers.set("From", sender)
    request.headers.set("To", recipient)
    request.headers.set("Call-ID", call_id)
    request.cseq = CSeq(sequence, method)
    request.content_length = 0
    return request


def with_body(message: Request | Response, body: bytes, kind: str = "application/sdp") -> None:
    message.body = body
    message.content_length = len(body)
    if body:
        message.headers.set("Content-Type", kind)


def branch() -> str:
    return COOKIE + secrets.token_hex(8)


def tag() -> str:
    return secrets.token_hex(6)


def tag_of(address: Address) -> str:
    return address.parameters.get("tag") or ""


def mark_via(request: Request | Response, host: str, port: int) -> None:
    """RFC 3261 18.2.1 and RFC 3581: where the request really came from, on its topmost Via. The text is
    edited as it stands: written anew by the parser, a branch with rare characters would come back changed."""
    top = request.via[0]
    asked = "rport" in top.parameters
    values = request.headers.getlist("Via")
    text, comma, rest = values[0].partition(",")
    if asked:
        text = re.sub(r"(;\s*rport)(\s*=[^;]*)?(?=\s*(;|$))", rf"\g<1>={port}", text, count=1, flags=re.I)
    if asked or top.host != host:
        text = re.sub(r";\s*received\s*=[^;]*", "", text, flags=re.I).rstrip() + f";received={host}"
    request.headers.setlist("Via", [text + comma + rest, *values[1:]])


def via_of(transport: str, host: str, port: int) -> Via:
    return Via(transport, host, port, Parameters(branch=branch(), rport=None))


__all__ = [
    "ALLOW",
    "COOKIE",
    "METHODS",
    "PHRASES",
    "Address",
    "BadMessage",
    "CSeq",
    "Request",
    "Response",
    "URI",
    "answer_to_unreadable",
    "branch",
    "mark_via",
    "new_request",
    "parse",
    "response_to",
    "tag",
    "tag_of",
    "via_of",
    "with_body",
]
