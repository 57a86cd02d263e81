"""Frames of the exchanges' binary protocol: their encoding and decoding.

A frame is a 16-bit length, the message type (8 bits), the call (64 bits) and parameters. Each parameter is a
code (8 bits), a length (16 bits) and a value. All numbers are big-endian.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum

HEADER = struct.Struct("!BQ")  # message type and call, after the frame's length
PARAMETER_HEADER = struct.Struct("!BH")  # code, length of the value
NORMAL_CLEARING = 16  # the cause in releases sent to exchanges


class MessageType(IntEnum):
    """First byte of a frame after its length."""

    SETUP = 1
    PROGRESS = 6
    ANSWER = 9
    RELEASE = 12
    RELEASE_COMPLETE = 16
    STATE = 43
    TEST = 52
    TEST_PASSED = 53


class ParameterCode(IntEnum):
    """Code of a parameter."""

    CLASS = 16
    TIME_LEFT = 19  # milliseconds
    NUMBER = 28
    NOTE = 37
    RETRY_AFTER = 40  # milliseconds
    GROUP = 43
    CAUSE = 58  # one byte
    DESCRIPTION = 61


@dataclass(frozen=True, slots=True)
class Frame:
    """A decoded frame; `kind` is a message type, known or not."""

    kind: int
    call: int
    parameters: dict[int, bytes]  # by code

    def text(self, code: ParameterCode) -> str:
        """The parameter as text, with other bytes than ASCII replaced; empty if it is absent."""
        return self.parameters.get(code, b"").decode("ascii", "replace")


def encode_frame(kind: MessageType, call: int, parameters: list[tuple[ParameterCode, bytes]]) -> bytes:
    """A whole frame, its length included."""
    body = b"".join(PARAMETER_HEADER.pack(code, len(value)) + value for code, value in parameters)
    return struct.pack("!H", HEADER.size + len(body)) + HEADER.pack(kind, call) + body


def encode_release(call: int) -> bytes:
    """A release frame with the cause of a normal end, which abandons a set-up or ends an established call."""
    return encode_frame(MessageType.RELEASE, call, [(ParameterCode.CAUSE, bytes([NORMAL_CLEARING]))])


def decode_frame(data: bytes) -> Frame:
    """The frame that `data` holds without its length. Raises ValueError if it is truncated."""
    if len(data) < HEADER.size:
        raise ValueError(f"frame too short: {len(data)} bytes")
    kind, call = HEADER.unpack_from(data)
    offset, parameters = HEADER.size, {}
    while offset < len(data):
        if offset + PARAMETER_HEADER.size > len(data):
            raise ValueError("truncated parameter header")
        code, length = PARAMETER_HEADER.unpack_from(data, offset)
        offset += PARAMETER_HEADER.size
        if offset + length > len(data):
            raise ValueError(f"parameter {code} is truncated")
        parameters[code] = data[offset : offset + length]
        offset += length
    return Frame(kind, call, parameters)
