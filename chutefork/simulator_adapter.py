"""Connects the simulator's binary protocol on standard input and output to call controllers.

Run as `python -m chutefork.simulator_adapter`. The adapter only decodes events and encodes actions. Each
instance that the simulator starts has a `CallController` of its own; nothing is shared between instances.

Input is a sequence of batches, each a header and its records; each batch is answered by one reply with the
records of the resulting actions. A record starts with its code, one byte; all numbers are little-endian.
"""

from __future__ import annotations

import struct
import sys
from typing import BinaryIO

from . import interface as api
from .call_controller import CallController

# Input records: the layout follows the code, and load values (32-bit floats), texts, payloads or list entries
# follow the layout. Output records: the layout begins with the code.

# batch number, time in s, length of the rest in bytes (record count and records), record count
BATCH_HEADER = struct.Struct("<IdII")
REPLY_HEADER = struct.Struct("<II")  # batch number, length of the records
LIST_ENTRY = struct.Struct("<IHBHBfd")  # switch, zone, kind, number, state, share, start in s
BOOT = struct.Struct("<IQI")  # instance, seed, length of the parameters
CALL_ESTABLISHED = struct.Struct("<IQBId")  # instance, call, attempt, switch, elapsed s
SWITCH_LIST = struct.Struct("<IBHI")  # instance, list kind, list number, version
LOAD_REPORT = struct.Struct("<IIHdB")  # instance, switch, result, elapsed s, count of load values
WITHDRAWN = struct.Struct("<IQ")  # instance, call
PEER_MESSAGE = struct.Struct("<IIH")  # instance, sender, length of the payload
DUE = struct.Struct("<II")  # instance, token
INSTANCE_ID = struct.Struct("<I")  # first field of most input records
LIST_HEADER = struct.Struct("<HI")  # list number, count of entries
# instance, call, attempt, switch, outcome, elapsed s, whether the call is over, reason, count of load values
ATTEMPT_ENDED = struct.Struct("<IQBIHdBIB")
# instance, call, circuits, time left in s, tenant, number called, work, flags, destination, class, advice
SUBMIT = struct.Struct("<IQfdHQdBfBf")
SUBMIT_TO = struct.Struct("<BIQId")  # code, instance, call, switch, time of abandonment in s
TEXT_HEADER = struct.Struct("<BIH")  # code, instance, length of the text
REMIND = struct.Struct("<BIdI")  # code, instance, delay in s, token
SHED = struct.Struct("<BIQd")  # code, instance, call, hold-off in s
ERROR = struct.Struct("<BIQ")  # code, instance, call
PROBE = struct.Struct("<BII")  # code, instance, switch
SEND_PEER_MESSAGE = struct.Struct("<BIHH")  # code, instance, receiver, length of the payload
SUBSCRIBE = struct.Struct("<BIB")  # code, instance, whether to subscribe
INSTANCE_FAILURE_CODE = 87
ALL_PEERS = 0xFFFF

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
SWITCH_STATES = {0: api.SwitchState.GONE, 1: api.SwitchState.READY, 2: api.SwitchState.DRAINING}
LIST_KINDS = {
    0: api.ListKind.CHANGES,
    1: api.ListKind.REMEMBERED,
    2: api.ListKind.FAILED,
    3: api.ListKind.COMPLETE,
}
# Name of a value in load reports -> field of `Load`.
LOAD_FIELDS = {
    "idle": "free_circuits",
    "circuits": "group_circuits",
    "active": "active",
    "waiting": "waiting",
    "cpu": "busy_share",
    "avg_ms": "wait_s",
    "max_rate": "capacity_per_s",
    "reduce": "hold_back_share",
}


class ProtocolError(Exception):
    """The input violates the simulator's protocol."""


class BootParameters:
    """The `path=value` lines of a boot record. Lookups raise ValueError with the path first in the text."""

    def __init__(self, text: str) -> None:
        self.values = dict(line.split("=", 1) for line in text.splitlines() if "=" in line)

    def text(self, path: str) -> str:
        if path not in self.values:
            raise ValueError(f"{path}: missing")
        return self.values[path]

    def number(self, path: str) -> float:
        text = self.text(path)
        try:
            return int(text) if text.lstrip("-").isdigit() else float(text)
        except ValueError:
            raise ValueError(f"{path}: not a number: {text!r}") from None

    def flag(self, path: str) -> bool:
        return self.text(path) == "true"

    def count(self, path: str) -> int:
        """The number of items of an array; 0 if none is given."""
        return int(self.number(path + ".count")) if path + ".count" in self.values else 0

    def numbers(self, path: str) -> list[float]:
        """The numbers of a comma-separated list."""
        try:
            return [float(part) for part in self.text(path).split(",") if part]
        except ValueError:
            raise ValueError(f"{path}: not a list of numbers: {self.values[path]!r}") from None


def parse_settings(params: BootParameters, seed: int) -> api.Settings:
    """The controller's settings from the boot parameters.

    Raises ValueError, with the path or the field first in the text, for a missing or unusable value.
    """
    class_count = params.count("services")
    widths, lengths_s = params.numbers("family_info.widths"), params.numbers("family_info.call_length_s")
    for path, values in (("family_info.widths", widths), ("family_info.call_length_s", lengths_s)):
        if len(values) != class_count:
            raise ValueError(f"{path}: {len(values)} values for {class_count} classes")
    pools_form = params.text("family_info.network_form") == "skills"
    classes = []
    for index in range(class_count):
        prefix = f"services.{index}."
        pools = params.numbers(f"family_info.pools_by_class.{index}") if pools_form else []
        classes.append(
            api.CallClass(
                aim_s=params.number(prefix + "target_s"),
                deadline_s=params.number(prefix + "deadline_s"),
                worth=params.number(prefix + "worth"),
                late_worth_share=params.number(prefix + "late_worth"),
                width_circuits=int(widths[index]),
                length_s=lengths_s[index],
                pools=tuple(map(int, pools)),
            )
        )
    tenants = tuple(
        api.Tenant(quota_per_s=params.number(f"accounts.{index}.quota_per_s"))
        for index in range(params.count("accounts"))
    )
    return api.Settings(
        seed=seed,
        own_number=int(params.number("family_info.self_no")),
        controllers=int(params.number("balancers")),
        pools_form=pools_form,
        classes=tuple(classes),
        tenants=tenants,
        over_share_worth=params.number("over_share_worth"),
        release_s=params.number("family_info.release_s"),
        resend_s=params.number("family_info.retransmit_s"),
        max_attempts=int(params.number("limits.max_attempts")),
        probes_allowed=params.flag("limits.probes"),
        messages_allowed=params.flag("limits.peers"),
        hold_off_allowed=params.flag("limits.retry_after"),
        max_hold_off_s=params.number("limits.max_retry_after_s"),
        list_on_request=params.text("membership_mode") == "ask",
        ask_within_s=params.number("rules.ask_within_s"),
        drain_grace_s=params.number("rules.stop_sending_within_s"),
        cold_share=params.number("rules.cold_share"),
        warm_up_s=params.number("rules.warm_up_s"),
        tip_multiple=params.number("rules.tip_multiple"),
        fall_s=params.number("rules.fall_s"),
        tick_s=params.number("tick_s"),
    )


class ControllerInstance:
    """A call controller, and the names of the load values that its switches report, in their order."""

    def __init__(self, controller: CallController, load_names: list[str]) -> None:
        self.controller = controller
        self.load_names = load_names

    def parse_load(self, values: tuple[float, ...]) -> api.Load | None:
        """Converts reported load values; negative ones and those without a field in `Load` are left out.

        Returns None if none is left.
        """
        fields = {}
        for name, value in zip(self.load_names, values, strict=False):
            if name in LOAD_FIELDS and value >= 0:
                fields[LOAD_FIELDS[name]] = value / 1000 if name == "avg_ms" else value
        return api.Load(**fields) if fields else None


class SimulatorAdapter:
    """Passes events to the running instances.

    Also keeps the switch lists, by the numbers under which the simulator refers to them.
    """

    def __init__(self) -> None:
        self.instances: dict[int, ControllerInstance] = {}
        self.switch_lists: dict[int, tuple[api.Entry, ...]] = {}

    def process_batch(self, batch_number: int, now: float, body: bytes, record_count: int) -> bytes:
        """Processes the records of a batch in order and returns the encoded reply; `now` is in seconds.

        Raises ProtocolError for malformed input.
        """
        replies: list[bytes] = []
        offset = 0
        try:
            for _ in range(record_count):
                offset = self.process_record(now, body, offset, replies)
        except (struct.error, IndexError):
            raise ProtocolError("truncated record") from None
        if offset != len(body):
            raise ProtocolError("batch is longer than its records")
        reply = b"".join(replies)
        return REPLY_HEADER.pack(batch_number, len(reply)) + reply

    def process_record(self, now: float, body: bytes, offset: int, replies: list[bytes]) -> int:
        """Processes the record at `offset`, adds its output records to `replies`, returns the next offset.

        Events of unknown instances are decoded and ignored. An exception of the controller is reported as a
        failure of its instance. Raises ProtocolError for invalid codes, struct.error or IndexError for a
        truncated record.
        """
        code = body[offset]
        offset += 1
        if code == 24:  # entries of a switch list, for later reference by its number
            list_number, count = LIST_HEADER.unpack_from(body, offset)
            offset += LIST_HEADER.size
            entries = []
            for _ in range(count):
                switch, _zone, _kind, number, state, _share, started_at_s = LIST_ENTRY.unpack_from(
                    body, offset
                )
                offset += LIST_ENTRY.size
                entries.append(
                    api.Entry(switch, number, lookup(SWITCH_STATES, state, "switch state"), started_at_s)
                )
            self.switch_lists[list_number] = tuple(entries)
            return offset
        if code == 16:  # boot: start of an instance
            instance_id, seed, size = BOOT.unpack_from(body, offset)
            offset += BOOT.size
            text = read_bytes(body, offset, size).decode("utf-8", "replace")
            self.start_instance(instance_id, seed, text, replies)
            return offset + size
        if code == 23:  # stop of an instance
            (instance_id,) = INSTANCE_ID.unpack_from(body, offset)
            self.instances.pop(instance_id, None)
            return offset + INSTANCE_ID.size
        (instance_id,) = INSTANCE_ID.unpack_from(body, offset)
        instance = self.instances.get(instance_id)
        event: api.Event
        if code == 26:  # submit
            (
                _,
                call,
                width_circuits,
                time_left_s,
                tenant,
                number_called,
                _work,
                flags,
                destination,
                class_index,
                advice,
            ) = SUBMIT.unpack_from(body, offset)
            offset += SUBMIT.size
            event = api.Arrival(
                call,
                class_index,
                width_circuits,
                time_left_s,
                tenant,
                number_called,
                int(destination),
                bool(flags & 8),
                bool(flags & 16),
                bool(flags & 2),
                int(advice),
            )
        elif code == 25:  # end of an attempt or an established call
            _, call, attempt, switch, outcome_code, elapsed_s, call_over, reason_code, value_count = (
                ATTEMPT_ENDED.unpack_from(body, offset)
            )
            offset += ATTEMPT_ENDED.size
            values = struct.unpack_from(f"<{value_count}f", body, offset)
            offset += 4 * value_count
            outcome, (reason, wait_s) = lookup(OUTCOMES, outcome_code, "outcome"), parse_reason(reason_code)
            event = api.AttemptEnded(
                call,
                attempt,
                switch,
                outcome,
                elapsed_s,
                bool(call_over),
                reason,
                wait_s,
                instance.parse_load(values) if instance else None,
            )
        elif code == 17:  # call established
            _, call, attempt, switch, elapsed_s = CALL_ESTABLISHED.unpack_from(body, offset)
            offset += CALL_ESTABLISHED.size
            event = api.CallEstablished(call, attempt, switch, elapsed_s)
        elif code == 19:  # load report, or result of a probe
            _, switch, result, elapsed_s, value_count = LOAD_REPORT.unpack_from(body, offset)
            offset += LOAD_REPORT.size
            values = struct.unpack_from(f"<{value_count}f", body, offset)
            offset += 4 * value_count
            event = api.LoadReport(
                switch,
                result == 1,
                elapsed_s,
                not (result == 1 and elapsed_s == 0),
                instance.parse_load(values) if instance else None,
            )
        elif code == 22:  # due: a timer has expired
            _, token = DUE.unpack_from(body, offset)
            offset += DUE.size
            event = api.TimerDue(token)
        elif code == 20:  # withdrawn
            _, call = WITHDRAWN.unpack_from(body, offset)
            offset += WITHDRAWN.size
            event = api.Withdrawn(call)
        elif code == 18:  # switch list, by the number of its entries
            _, kind_code, list_number, _version = SWITCH_LIST.unpack_from(body, offset)
            offset += SWITCH_LIST.size
            kind = lookup(LIST_KINDS, kind_code, "list kind")
            entries = (
                () if kind is api.ListKind.FAILED else lookup(self.switch_lists, list_number, "list number")
            )
            event = api.SwitchList(kind, entries)
        elif code == 21:  # message from another call controller
            _, sender, size = PEER_MESSAGE.unpack_from(body, offset)
            offset += PEER_MESSAGE.size
            event = api.PeerMessage(sender, read_bytes(body, offset, size))
            offset += size
        else:
            raise ProtocolError(f"unknown event code {code}")
        if instance is not None:
            try:
                for action in instance.controller.handle(now, event):
                    replies.append(encode_action(instance_id, action))
            except Exception as error:
                replies.append(instance_failure(instance_id, error))
        return offset

    def start_instance(self, instance_id: int, seed: int, text: str, replies: list[bytes]) -> None:
        """Starts an instance with the parameters in `text`, in place of a running one with the same id.

        Unusable parameters are reported as a failure of the instance, which is then not running.
        """
        try:
            params = BootParameters(text)
            load_names = [name for name in params.text("report.names").split(",") if name]
            self.instances[instance_id] = ControllerInstance(
                CallController(parse_settings(params, seed)), load_names
            )
        except Exception as error:
            self.instances.pop(instance_id, None)
            replies.append(instance_failure(instance_id, error))


def read_bytes(body: bytes, offset: int, size: int) -> bytes:
    """The `size` bytes at `offset`. Raises ProtocolError if fewer are left."""
    if offset + size > len(body):
        raise ProtocolError("truncated record")
    return body[offset : offset + size]


def lookup(table: dict, value: int, description: str):
    """The table's entry for a number in a record. Raises ProtocolError if there is none."""
    if value not in table:
        raise ProtocolError(f"unknown {description} {value}")
    return table[value]


def parse_reason(reason_code: int) -> tuple[api.Reason, float | None]:
    """Returns the reason and the wait in seconds that the switch asked for; None: none given.

    The low four bits are the key in REASONS. With PROCESSOR_FULL the bits above them are the wait in
    milliseconds; with REJECTED_BY_TANDEM any bit above them (code 18) means that the destination's processor
    was full. Raises ProtocolError for an unknown reason.
    """
    low_bits, high_bits = reason_code & 15, reason_code >> 4
    reason = lookup(REASONS, low_bits, "reason")
    if reason is api.Reason.REJECTED_BY_TANDEM and high_bits:
        return api.Reason.DESTINATION_PROCESSOR_FULL, None
    return reason, high_bits / 1000 if reason is api.Reason.PROCESSOR_FULL and high_bits else None


def text_record(code: int, instance_id: int, text: str) -> bytes:
    """A record with a text of one line, cut at 65535 bytes, the most that its length field can state."""
    data = " ".join(text.split()).encode("utf-8", "replace")[:0xFFFF]
    return TEXT_HEADER.pack(code, instance_id, len(data)) + data


def instance_failure(instance_id: int, error: Exception) -> bytes:
    """The record that reports a failure of an instance to the simulator."""
    return text_record(INSTANCE_FAILURE_CODE, instance_id, f"{type(error).__name__}: {error}")


def encode_action(instance_id: int, action: api.Action) -> bytes:
    """The output record for an action of the controller. Raises TypeError for an unknown action."""
    if isinstance(action, api.SetUp):  # submit_to
        return SUBMIT_TO.pack(80, instance_id, action.call, action.switch, action.abandon_at_s)
    if isinstance(action, api.Refuse):  # shed
        return SHED.pack(89, instance_id, action.call, action.hold_off_s)
    if isinstance(action, api.Fail):  # error
        return ERROR.pack(90, instance_id, action.call)
    if isinstance(action, api.SetTimer):  # remind
        return REMIND.pack(84, instance_id, action.delay_s, action.token)
    if isinstance(action, api.LogMessage):  # log
        return text_record(81, instance_id, action.text)
    if isinstance(action, api.Probe):  # probe of a switch
        return PROBE.pack(91, instance_id, action.switch)
    if isinstance(action, api.SendPeerMessage):  # message to one or all other call controllers
        peer = ALL_PEERS if action.peer is None else action.peer
        return SEND_PEER_MESSAGE.pack(86, instance_id, peer, len(action.payload)) + action.payload
    if isinstance(action, api.Subscribe):  # subscription to the switch list
        return SUBSCRIBE.pack(82, instance_id, 1)
    raise TypeError(f"no such action: {action!r}")


def read_exactly(source: BinaryIO, size: int, eof_allowed: bool = False) -> bytes:
    """Reads `size` bytes; with `eof_allowed` returns b"" at the end of the input.

    Raises ProtocolError if the input ends otherwise.
    """
    data = source.read(size)
    if len(data) != size and not (eof_allowed and not data):
        raise ProtocolError("truncated frame")
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answers batches until the input ends between two of them. Raises ProtocolError for malformed input."""
    adapter = SimulatorAdapter()
    while True:
        header = read_exactly(source, BATCH_HEADER.size, eof_allowed=True)
        if not header:
            return
        batch_number, now, length, record_count = BATCH_HEADER.unpack(header)
        if length < 4:
            raise ProtocolError("truncated frame")
        body = read_exactly(source, length - 4)
        sink.write(adapter.process_batch(batch_number, now, body, record_count))
        sink.flush()


def main() -> int:
    """Serves standard input. Exit code 0: end of input; 1, with a line on standard error: malformed input."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except ProtocolError as error:
        print(f"chutefork.simulator_adapter: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
