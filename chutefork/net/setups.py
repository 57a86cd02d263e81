"""Set-ups as callers write them: what the core and an exchange need of them."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, NamedTuple

from ..core import messages
from .connection import CONTROL_CHARACTERS, MAX_MESSAGE_BYTES

if TYPE_CHECKING:
    from ..config import Config

FRAME_OVERHEAD_BYTES = 64  # of a set-up in an exchange's frame, besides its texts
# A set-up is unusable if its time left is more than the longest configured deadline times this factor.
TIME_LEFT_MARGIN = 1.1
NUMBER = re.compile(r"[0-9a-fA-F]{1,16}")


class SetupTexts(NamedTuple):
    """What an exchange gets of a set-up, as the caller wrote it."""

    class_name: str
    number: str
    description: str


NO_TEXTS = SetupTexts("", "", "")


class SetupParser:
    """Reads set-ups against the classes and tenants of the settings."""

    def __init__(self, config: Config) -> None:
        self.classes = {name: index for index, name in enumerate(config.class_names)}
        self.tenants = {name: index for index, name in enumerate(config.tenant_names)}
        self.widths = [call_class.width_circuits for call_class in config.settings.classes]
        self.max_time_left_ms = config.longest_deadline_s * 1000 * TIME_LEFT_MARGIN

    def parse(self, call: int, record: dict) -> tuple[messages.Arrival, SetupTexts]:
        """The arrival for the core, and the texts for the exchange.

        Raises ValueError, KeyError, TypeError or OverflowError for an unusable set-up.
        """
        meta, description = record.get("meta"), record.get("body", "")
        if not isinstance(meta, dict) or not isinstance(description, str):
            raise TypeError("meta must be an object and body a string")
        texts = SetupTexts(str(meta["class"]), str(meta.get("key", "")), description)
        arrival = self._parse_arrival(call, meta, texts)
        _check_texts(texts)
        return arrival, texts

    def _parse_arrival(self, call: int, meta: dict, texts: SetupTexts) -> messages.Arrival:
        if texts.class_name not in self.classes:
            raise ValueError(f"class {texts.class_name!r} is not in the settings")
        class_index = self.classes[texts.class_name]
        left_ms = float(meta["left"])
        if not 0 <= left_ms <= self.max_time_left_ms:
            raise ValueError(f"left {left_ms!r} is out of range")
        tenant = str(meta.get("tenant", ""))
        if tenant not in self.tenants and (tenant or self.tenants):
            raise ValueError(f"tenant {tenant!r} is not in the settings")
        if not NUMBER.fullmatch(texts.number):
            raise ValueError(f"key {texts.number[:20]!r} is not 1 to 16 hex digits")
        extras = dict(part.split(":", 1) for part in str(meta.get("extras", "")).split(";") if ":" in part)
        arrival = messages.Arrival(
            call,
            class_index,
            float(extras.get("width", self.widths[class_index])),
            int(left_ms * 1000),
            self.tenants.get(tenant, 0),
            int(texts.number, 16),
            int(float(extras["dest"])),
            extras.get("transit") == "1",
            extras.get("again") == "1",
            False,
            int(float(extras.get("via", -1))),
        )
        if arrival.width_circuits != self.widths[class_index]:
            raise ValueError(f"width {arrival.width_circuits!r} differs from that of the class")
        if arrival.destination < 0 or arrival.advice < -1:
            raise ValueError("dest or via is out of range")
        return arrival


def _check_texts(texts: SetupTexts) -> None:
    """Raises ValueError for texts that an exchange cannot read; it would close its connection."""
    if not texts.description or CONTROL_CHARACTERS.search(texts.description):
        raise ValueError("body is empty or has control characters")
    # Encoding raises for a lone surrogate, which JSON can hold but UTF-8 cannot.
    size = len(texts.class_name) + len(texts.number) + len(texts.description.encode())
    if size + FRAME_OVERHEAD_BYTES > MAX_MESSAGE_BYTES:
        raise ValueError("set-up is too long for an exchange's frame")
