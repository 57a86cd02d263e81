"""Carries the simulator's wire to call controllers and their actions back: framing and translation only.

Run as `python -m chutefork.simulator_adapter`; one `CallController` per instance, nothing shared between
them.
"""

from __future__ import annotations

import struct
import sys
from typing import BinaryIO

from . import interface as api
from .call_controller import CallController

HEADER = struct.Struct("<IdII")
REPLY = struct.Struct("<II")
ENTRY = struct.Struct("<IHBHBfd")
BOOT = struct.Struct("<IQI")
FLOWING = struct.Struct("<IQBId")
LIST = struct.Struct("<IBHI")
ECHO = struct.Struct("<IIHdB")
WITHDRAWN = struct.Struct("<IQ")
PEER = struct.Struct("<IIH")
DUE = struct.Struct("<II")
STOP = struct.Struct("<I")
SHEET = struct.Struct("<HI")
ENDED = struct.Struct("<IQBIHdBIB")
SUBMIT = struct.Struct("<IQfdHQdBfBf")
SUBMIT_TO = struct.Struct("<BIQId")
TEXT = struct.Struct("<BIH")
REMIND = struct.Struct("<BIdI")
SHED = struct.Struct("<BIQd")
FAIL = struct.Struct("<BIQ")
INSPECT = struct.Struct("<BII")
TELL = struct.Struct("<BIHH")
WATCH = struct.Struct("<BIB")
BAIL_OUT = 87
EVERY_PEER = 0xFFFF

OUTCOMES = {
    0: api.Outcome.ERROR,
    1: api.Outcome.OK,
    2: api.Outcome.REJECTED,
    3: api.Outcome.TIMEOUT,
    4: api.Outcome.UNREACHABLE,
    5: api.Outcome.CUT,
    6: api.Outcome.CANCELLED,
    7: api.Outcome.NOT_SENT,
}
REASONS = {
    0: api.Reason.NONE,
    1: api.Reason.NO_CIRCUIT,
    2: api.Reason.REJECTED_BY_TANDEM,
    3: api.Reason.PROCESSOR_FULL,
    4: api.Reason.LINES_BUSY,
}
STATES = {0: api.SwitchState.GONE, 1: api.SwitchState.READY, 2: api.SwitchState.DRAINING}
LISTS = {
    0: api.ListKind.CHANGES,
    1: api.ListKind.REMEMBERED,
    2: api.ListKind.FAILED,
    3: api.ListKind.COMPLETE,
}
FIELDS = {
    "idle": "free_circuits",
    "circuits": "group_circuits",
    "active": "active",
    "waiting": "waiting",
    "cpu": "busy_share",
    "avg_ms": "wait_s",
    "max_rate": "capacity_per_s",
    "reduce": "hold_back_share",
}


class WireError(Exception):
    """The input is not what the wire allows."""


class Pairs:
    """The `path=value` lines of a boot record."""

    def __init__(self, text: str) -> None:
        self.values = dict(line.split("=", 1) for line in text.splitlines() if "=" in line)

    def text(self, key: str) -> str:
        if key not in self.values:
            raise ValueError(f"{key}: missing")
        return self.values[key]

    def number(self, key: str) -> float:
        text = self.text(key)
        try:
            return int(text) if text.lstrip("-").isdigit() else float(text)
        except ValueError:
            raise ValueError(f"{key}: not a number: {text!r}") from None

    def flag(self, key: str) -> bool:
        return self.text(key) == "true"

    def count(self, key: str) -> int:
        return int(self.number(key + ".count")) if key + ".count" in self.values else 0

    def numbers(self, key: str) -> list[float]:
        try:
            return [float(part) for part in self.text(key).split(",") if part]
        except ValueError:
            raise ValueError(f"{key}: not a list of numbers: {self.values[key]!r}") from None


def settings_from(pairs: Pairs, seed: int) -> api.Settings:
    names = pairs.count("services")
    widths, lengths = pairs.numbers("family_info.widths"), pairs.numbers("family_info.call_length_s")
    for key, values in (("family_info.widths", widths), ("family_info.call_length_s", lengths)):
        if len(values) != names:
            raise ValueError(f"{key}: {len(values)} values for {names} classes")
    pools_form = pairs.text("family_info.network_form") == "skills"
    classes = []
    for place in range(names):
        path = f"services.{place}."
        pools = pairs.numbers(f"family_info.pools_by_class.{place}") if pools_form else []
        classes.append(
            api.CallClass(
                aim_s=pairs.number(path + "target_s"),
                deadline_s=pairs.number(path + "deadline_s"),
                worth=pairs.number(path + "worth"),
                late_worth_share=pairs.number(path + "late_worth"),
                width_circuits=int(widths[place]),
                length_s=lengths[place],
                pools=tuple(map(int, pools)),
            )
        )
    tenants = tuple(
        api.Tenant(quota_per_s=pairs.number(f"accounts.{place}.quota_per_s"))
        for place in range(pairs.count("accounts"))
    )
    return api.Settings(
        seed=seed,
        own_number=int(pairs.number("family_info.self_no")),
        controllers=int(pairs.number("balancers")),
        pools_form=pools_form,
        classes=tuple(classes),
        tenants=tenants,
        over_share_worth=pairs.number("over_share_worth"),
        release_s=pairs.number("family_info.release_s"),
        resend_s=pairs.number("family_info.retransmit_s"),
        max_attempts=int(pairs.number("limits.max_attempts")),
        probes_allowed=pairs.flag("limits.probes"),
        messages_allowed=pairs.flag("limits.peers"),
        hold_off_allowed=pairs.flag("limits.retry_after"),
        max_hold_off_s=pairs.number("limits.max_retry_after_s"),
        list_on_request=pairs.text("membership_mode") == "ask",
        ask_within_s=pairs.number("rules.ask_within_s"),
        drain_grace_s=pairs.number("rules.stop_sending_within_s"),
        cold_share=pairs.number("rules.cold_share"),
        warm_up_s=pairs.number("rules.warm_up_s"),
        tip_multiple=pairs.number("rules.tip_multiple"),
        fall_s=pairs.number("rules.fall_s"),
        tick_s=pairs.number("tick_s"),
    )


class Instance:
    def __init__(self, controller: CallController, names: list[str]) -> None:
        self.controller = controller
        self.names = names

    def load(self, values: tuple[float, ...]) -> api.Load | None:
        told = {}
        for name, value in zip(self.names, values, strict=False):
            if name in FIELDS and value >= 0:
                told[FIELDS[name]] = value / 1000 if name == "avg_ms" else value
        return api.Load(**told) if told else None


class Host:
    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}
        self.sheets: dict[int, tuple[api.Entry, ...]] = {}

    def answer(self, number: int, now: float, body: bytes, records: int) -> bytes:
        out: list[bytes] = []
        at = 0
        try:
            for _ in range(records):
                at = self.record(now, body, at, out)
        except (struct.error, IndexError):
            raise WireError("truncated record") from None
        if at != len(body):
            raise WireError("a batch is longer than its records")
        reply = b"".join(out)
        return REPLY.pack(number, len(reply)) + reply

    def record(self, now: float, body: bytes, at: int, out: list[bytes]) -> int:
        code = body[at]
        at += 1
        if code == 24:
            sheet, count = SHEET.unpack_from(body, at)
            at += SHEET.size
            entries = []
            for _ in range(count):
                switch, _zone, _kind, cell, state, _share, since = ENTRY.unpack_from(body, at)
                at += ENTRY.size
                entries.append(api.Entry(switch, cell, known(STATES, state, "switch state"), since))
            self.sheets[sheet] = tuple(entries)
            return at
        if code == 16:
            inst, seed, size = BOOT.unpack_from(body, at)
            at += BOOT.size
            text = take(body, at, size).decode("utf-8", "replace")
            self.boot(inst, seed, text, out)
            return at + size
        if code == 23:
            (inst,) = STOP.unpack_from(body, at)
            self.instances.pop(inst, None)
            return at + STOP.size
        (inst,) = STOP.unpack_from(body, at)
        holder = self.instances.get(inst)
        event: api.Event
        if code == 26:
            (_, call, width, left, tenant, key, _work, bits, far, qos, via) = SUBMIT.unpack_from(body, at)
            at += SUBMIT.size
            event = api.Arrival(
                call,
                qos,
                width,
                left,
                tenant,
                key,
                int(far),
                bool(bits & 8),
                bool(bits & 16),
                bool(bits & 2),
                int(via),
            )
        elif code == 25:
            _, call, attempt, switch, result, rtt, over, why, n = ENDED.unpack_from(body, at)
            at += ENDED.size
            values = struct.unpack_from(f"<{n}f", body, at)
            at += 4 * n
            outcome, (reason, wait) = known(OUTCOMES, result, "outcome"), reason_of(why)
            event = api.AttemptEnded(
                call,
                attempt,
                switch,
                outcome,
                rtt,
                bool(over),
                reason,
                wait,
                holder.load(values) if holder else None,
            )
        elif code == 17:
            _, call, attempt, switch, rtt = FLOWING.unpack_from(body, at)
            at += FLOWING.size
            event = api.CallEstablished(call, attempt, switch, rtt)
        elif code == 19:
            _, switch, result, rtt, n = ECHO.unpack_from(body, at)
            at += ECHO.size
            values = struct.unpack_from(f"<{n}f", body, at)
            at += 4 * n
            event = api.LoadReport(
                switch,
                result == 1,
                rtt,
                not (result == 1 and rtt == 0),
                holder.load(values) if holder else None,
            )
        elif code == 22:
            _, token = DUE.unpack_from(body, at)
            at += DUE.size
            event = api.TimerDue(token)
        elif code == 20:
            _, call = WITHDRAWN.unpack_from(body, at)
            at += WITHDRAWN.size
            event = api.Withdrawn(call)
        elif code == 18:
            _, how, sheet, _version = LIST.unpack_from(body, at)
            at += LIST.size
            kind = known(LISTS, how, "list kind")
            entries = () if kind is api.ListKind.FAILED else known(self.sheets, sheet, "list number")
            event = api.SwitchList(kind, entries)
        elif code == 21:
            _, sender, size = PEER.unpack_from(body, at)
            at += PEER.size
            event = api.PeerMessage(sender, take(body, at, size))
            at += size
        else:
            raise WireError(f"unknown event code {code}")
        if holder is not None:
            try:
                for action in holder.controller.handle(now, event):
                    out.append(packed(inst, action))
            except Exception as fault:
                out.append(bail_out(inst, fault))
        return at

    def boot(self, inst: int, seed: int, text: str, out: list[bytes]) -> None:
        try:
            pairs = Pairs(text)
            names = [name for name in pairs.text("report.names").split(",") if name]
            self.instances[inst] = Instance(CallController(settings_from(pairs, seed)), names)
        except Exception as fault:
            self.instances.pop(inst, None)
            out.append(bail_out(inst, fault))


def take(body: bytes, at: int, size: int) -> bytes:
    if at + size > len(body):
        raise WireError("truncated record")
    return body[at : at + size]


def known(table: dict, value: int, what: str):
    if value not in table:
        raise WireError(f"unknown {what} {value}")
    return table[value]


def reason_of(why: int) -> tuple[api.Reason, float | None]:
    """The low four bits name the reason; what lies above them is a wait, or for 18 the processor beyond."""
    low, high = why & 15, why >> 4
    reason = known(REASONS, low, "reason")
    if reason is api.Reason.REJECTED_BY_TANDEM and high:
        return api.Reason.DESTINATION_PROCESSOR_FULL, None
    return reason, high / 1000 if reason is api.Reason.PROCESSOR_FULL and high else None


def text_record(code: int, inst: int, text: str) -> bytes:
    data = " ".join(text.split()).encode("utf-8", "replace")[:0xFFFF]
    return TEXT.pack(code, inst, len(data)) + data


def bail_out(inst: int, fault: Exception) -> bytes:
    return text_record(BAIL_OUT, inst, f"{type(fault).__name__}: {fault}")


def packed(inst: int, action: api.Action) -> bytes:
    if isinstance(action, api.SetUp):
        return SUBMIT_TO.pack(80, inst, action.call, action.switch, action.abandon_at_s)
    if isinstance(action, api.Refuse):
        return SHED.pack(89, inst, action.call, action.hold_off_s)
    if isinstance(action, api.Fail):
        return FAIL.pack(90, inst, action.call)
    if isinstance(action, api.SetTimer):
        return REMIND.pack(84, inst, action.delay_s, action.token)
    if isinstance(action, api.LogMessage):
        return text_record(81, inst, action.text)
    if isinstance(action, api.Probe):
        return INSPECT.pack(91, inst, action.switch)
    if isinstance(action, api.SendPeerMessage):
        peer = EVERY_PEER if action.peer is None else action.peer
        return TELL.pack(86, inst, peer, len(action.payload)) + action.payload
    if isinstance(action, api.Subscribe):
        return WATCH.pack(82, inst, 1)
    raise TypeError(f"no such action: {action!r}")


def read_exactly(source: BinaryIO, size: int, between: bool = False) -> bytes:
    data = source.read(size)
    if len(data) != size and not (between and not data):
        raise WireError("truncated frame")
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    host = Host()
    while True:
        head = read_exactly(source, HEADER.size, between=True)
        if not head:
            return
        number, now, length, records = HEADER.unpack(head)
        if length < 4:
            raise WireError("truncated frame")
        body = read_exactly(source, length - 4)
        sink.write(host.answer(number, now, body, records))
        sink.flush()


def main() -> int:
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as fault:
        print(f"chutefork.simulator_adapter: {fault}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
