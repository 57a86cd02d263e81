"""SIP messages: validation beyond what the sipmessage library does, and building of requests and responses.

The library's classes that the other modules need are re-exported here.
"""

from __future__ import annotations

import re
import secrets

from sipmessage import URI, Address, CSeq, Message, Parameters, Request, Response, Via

BRANCH_COOKIE = "z9hG4bK"  # starts every branch made under RFC 3261 (8.1.1.7)
ALLOW = "INVITE, ACK, CANCEL, BYE, OPTIONS"
METHODS = frozenset(ALLOW.split(", "))
REASON_PHRASES = {
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
MAX_HEAD_BYTES = 32 * 1024  # start line and header fields
MAX_HEADER_FIELDS = 256  # lines; the time to parse a head grows with the square of their number
MANDATORY_HEADERS = ("From", "To", "Call-ID", "CSeq")  # each must occur exactly once


class BadMessage(ValueError):
    """A message that cannot be processed; `code` is the status code of the response to such a request."""

    def __init__(self, text: str, code: int = 400) -> None:
        super().__init__(text)
        self.code = code


def parse(data: bytes) -> Request | Response:
    """Parses one message and validates every header that transactions and dialogs rely on.

    The library parses a header field at its first access. They are accessed here, so that later code need not
    handle malformed ones. Raises BadMessage.
    """
    head, separator, body = data.partition(b"\r\n\r\n")
    if not separator:
        raise BadMessage("no empty line after the headers")
    if exceeds_limits(head):
        raise BadMessage(f"head over {MAX_HEAD_BYTES} bytes or {MAX_HEADER_FIELDS} fields")
    head = re.sub(rb"\r\n[ \t]+", b" ", head)  # unfold header lines
    start_line = head.split(b"\r\n", 1)[0]
    if re.search(rb" SIP/\d+\.\d+$", start_line) and not start_line.endswith(b" SIP/2.0"):
        raise BadMessage("unsupported SIP version", 505)
    scheme = re.match(rb"[A-Z]+ ([a-zA-Z][a-zA-Z0-9+.-]*):", start_line)
    if scheme and scheme[1].lower() not in (b"sip", b"tel"):  # sips needs TLS, which is not supported
        raise BadMessage("unsupported URI scheme", 416)
    try:
        message = Message.parse(head + b"\r\n\r\n" + body)
        for name in MANDATORY_HEADERS:
            if len(message.headers.getlist(name)) != 1:
                raise BadMessage(f"{name} must occur exactly once")
        if not message.via:
            raise BadMessage("Via is missing")
        message.from_address, message.to_address  # noqa: B018 (accessed to validate)
        cseq = message.cseq
        length = message.content_length
        if isinstance(message, Request):
            message.max_forwards, message.expires, message.require  # noqa: B018
        if cseq.method == "INVITE":
            message.contact, message.record_route  # noqa: B018
    except BadMessage:
        raise
    except (ValueError, KeyError, IndexError, TypeError, AttributeError, RecursionError) as exc:
        raise BadMessage(f"{type(exc).__name__}: {exc}") from None
    if cseq.sequence >= 2**31:
        raise BadMessage("CSeq number must be less than 2**31")
    if isinstance(message, Request) and cseq.method != message.method:
        raise BadMessage("CSeq method differs from the request method")
    if length is not None:
        if not 0 <= length <= len(message.body):
            raise BadMessage("Content-Length is negative or exceeds the body received")
        message.body = message.body[:length]
    return message


def exceeds_limits(head: bytes) -> bool:
    """Whether the head of a message, without the empty line, is too long or has too many lines."""
    return len(head) > MAX_HEAD_BYTES or head.count(b"\r\n") > MAX_HEADER_FIELDS


def response_to_malformed(data: bytes, code: int) -> Response | None:
    """The response to a request that `parse` rejected, with the status `code`.

    None for responses and ACKs, which are never answered, where a header that a response copies (Via, From,
    To, Call-ID, CSeq) is missing, or Via is malformed, and for a head over the limits.
    """
    head = data.partition(b"\r\n\r\n")[0]
    if exceeds_limits(head):
        return None
    head = re.sub(rb"\r\n[ \t]+", b" ", head)
    lines = head.decode("utf-8", "replace").split("\r\n")
    if lines[0].startswith(("SIP/", "ACK ")):
        return None
    response = Response(code, REASON_PHRASES[code])
    compact_forms = {"v": "Via", "f": "From", "t": "To", "i": "Call-ID"}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        name = compact_forms.get(name.strip().lower(), name.strip())
        for copied in ("Via", *MANDATORY_HEADERS):
            if name.lower() == copied.lower():
                response.headers.add(copied, value.strip())
    try:
        if not response.via or any(response.headers.get(name) is None for name in MANDATORY_HEADERS):
            return None
    except ValueError:
        return None
    response.content_length = 0
    return response


def response_to(
    request: Request,
    code: int,
    to_tag: str = "",
    body: bytes = b"",
    extra_headers: tuple[tuple[str, str], ...] = (),
) -> Response:
    """A response with the headers that RFC 3261 8.2.6.2 copies from the request.

    `to_tag` is added to To unless the request has one; Record-Route is copied into responses that can create
    a dialog.
    """
    response = Response(code, REASON_PHRASES[code], body)
    for name in ("Via", "Record-Route", *MANDATORY_HEADERS):
        if name == "Record-Route" and (request.method != "INVITE" or not 101 <= code < 300):
            continue
        for value in request.headers.getlist(name):
            response.headers.add(name, value)
    if to_tag and "tag" not in request.to_address.parameters:
        response.headers.set("To", f"{request.headers['To']};tag={to_tag}")
    for name, value in extra_headers:
        response.headers.add(name, value)
    response.content_length = len(body)
    return response


def new_request(
    method: str,
    uri: str,
    via: Via,
    from_header: str,
    to_header: str,
    call_id: str,
    sequence: int,
    max_forwards: int = 70,
) -> Request:
    """A request with the mandatory headers and no body; `from_header` and `to_header` include any tags."""
    request = Request(method, URI.parse(uri))
    request.via = [via]
    request.headers.set("Max-Forwards", str(max_forwards))
    request.headers.set("From", from_header)
    request.headers.set("To", to_header)
    request.headers.set("Call-ID", call_id)
    request.cseq = CSeq(sequence, method)
    request.content_length = 0
    return request


def request_of(response: Response) -> Request:
    """What a response tells of its request: method, From, To, Call-ID and CSeq; it is not to be sent."""
    return new_request(
        response.cseq.method,
        str(response.to_address.uri),
        response.via[0],
        response.headers["From"],
        response.headers["To"],
        response.call_id,
        response.cseq.sequence,
    )


def set_body(message: Request | Response, body: bytes, content_type: str = "application/sdp") -> None:
    """Sets the body and Content-Length, and Content-Type unless the body is empty."""
    message.body = body
    message.content_length = len(body)
    if body:
        message.headers.set("Content-Type", content_type)


def new_branch() -> str:
    """A random branch with the cookie of RFC 3261."""
    return BRANCH_COOKIE + secrets.token_hex(8)


def new_tag() -> str:
    """A random From or To tag; also used as the local part of Call-IDs."""
    return secrets.token_hex(6)


def tag_of(address: Address) -> str:
    """The tag parameter; empty if there is none."""
    return address.parameters.get("tag") or ""


def add_received_and_rport(request: Request | Response, host: str, port: int) -> None:
    """Records the source address of a request in its topmost Via (RFC 3261 18.2.1 and RFC 3581).

    For a request that could not be parsed, the response, which has the same Via, is passed instead.

    The header text is edited in place: serialised again by the parser, a branch with unusual characters would
    be changed, and the sender could not match the response.
    """
    top_via = request.via[0]
    rport_requested = "rport" in top_via.parameters
    values = request.headers.getlist("Via")
    text, comma, rest = values[0].partition(",")
    if rport_requested:
        text = re.sub(r"(;\s*rport)(\s*=[^;]*)?(?=\s*(;|$))", rf"\g<1>={port}", text, count=1, flags=re.I)
    if rport_requested or top_via.host != host:
        text = re.sub(r";\s*received\s*=[^;]*", "", text, flags=re.I).rstrip() + f";received={host}"
    request.headers.setlist("Via", [text + comma + rest, *values[1:]])


def new_via(transport: str, host: str, port: int) -> Via:
    """A Via with a new branch, that requests `rport` (RFC 3581)."""
    return Via(transport, host, port, Parameters(branch=new_branch(), rport=None))


__all__ = [
    "ALLOW",
    "BRANCH_COOKIE",
    "MAX_HEAD_BYTES",
    "MAX_HEADER_FIELDS",
    "METHODS",
    "REASON_PHRASES",
    "Address",
    "BadMessage",
    "CSeq",
    "Request",
    "Response",
    "URI",
    "response_to_malformed",
    "new_branch",
    "add_received_and_rport",
    "new_request",
    "parse",
    "response_to",
    "new_tag",
    "tag_of",
    "new_via",
    "set_body",
]
