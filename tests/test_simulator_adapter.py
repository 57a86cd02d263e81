"""The adapter's frames, byte for byte, and how it ends."""

import io
import struct
import subprocess
import sys

from chutefork import simulator_adapter

FACTS = """accounts=
balancers=3
family_info.call_length_s=10.0
family_info.network_form=network
family_info.pools_by_class=
family_info.release_s=0.3
family_info.retransmit_s=0.8
family_info.self_no=0
family_info.widths=1
limits.max_attempts=5
limits.max_retry_after_s=2.0
limits.peers=false
limits.probes=false
limits.retry_after=true
membership_mode=push
over_share_worth=0.1
report.names=idle,circuits
rules.ask_within_s=10.0
rules.cold_share=0.3
rules.fall_s=1.0
rules.stop_sending_within_s=0.25
rules.tip_multiple=3.0
rules.warm_up_s=13.0
services.count=1
services.0.deadline_s=9.0
services.0.late_worth=0.25
services.0.target_s=1.5
services.0.worth=1.0
some.key_of_a_later_day=yes
tick_s=0.005
"""


def frame(number, now, *records):
    body = b"".join(records)
    return struct.pack("<IdII", number, now, 4 + len(body), len(records)) + body


def boot(inst=3, facts=FACTS):
    data = facts.encode()
    return struct.pack("<BIQI", 16, inst, 77, len(data)) + data


def pool(sheet=0):
    entries = b"".join(struct.pack("<IHBHBfd", 900 + n, 0, 0, n, 1, 1.0, 0.0) for n in range(3))
    return struct.pack("<BHI", 24, sheet, 3) + entries


def listed(inst=3):
    return struct.pack("<BIBHI", 18, inst, 1, 0, 1)


def submit(call, dest, inst=3):
    return struct.pack("<BIQfdHQdBfBf", 26, inst, call, 1.0, 3.0, 0, 5, 0.0, 0, float(dest), 0, -1.0)


def run(data):
    sink = io.BytesIO()
    simulator_adapter.serve(io.BytesIO(data), sink)
    return sink.getvalue()


def process(data):
    command = [sys.executable, "-m", "chutefork.simulator_adapter"]
    return subprocess.run(command, input=data, capture_output=True, timeout=60)


def test_an_empty_batch_is_answered_empty():
    assert run(frame(1, 4.5)) == struct.pack("<II", 1, 0)


def test_a_call_is_sent_direct_in_the_wire_bytes():
    reply = run(frame(0, 10.0, boot(), pool(), listed()) + frame(1, 20.0, submit(51, 2)))
    send = struct.pack("<BIQId", 80, 3, 51, 902, 20.0 + 3.0 - 0.005)
    assert reply == struct.pack("<II", 0, 0) + struct.pack("<II", 1, len(send)) + send


def test_an_unlisted_destination_is_shed_in_the_wire_bytes():
    reply = run(frame(0, 10.0, boot(), pool(), listed()) + frame(1, 20.0, submit(51, 9)))
    shed = reply[16:]
    assert shed[:13] == struct.pack("<BIQ", 89, 3, 51) and len(shed) == 21


def test_missing_settings_go_out_as_bail_out_naming_the_key():
    reply = run(frame(0, 10.0, boot(facts=FACTS.replace("rules.cold_share=0.3\n", ""))))
    assert reply[8] == 87 and b"rules.cold_share" in reply


def test_contradictory_settings_go_out_as_bail_out_naming_the_field():
    facts = FACTS.replace("services.0.target_s=1.5", "services.0.target_s=99.0")
    assert b"aim_s" in run(frame(0, 10.0, boot(facts=facts)))


def test_an_exception_of_the_module_is_not_swallowed(monkeypatch):
    def broken(self, now, event):
        raise RuntimeError("broken on purpose")

    monkeypatch.setattr(simulator_adapter.CallController, "handle", broken)
    reply = run(frame(0, 10.0, boot(), pool(), listed()))
    text = b"RuntimeError: broken on purpose"
    assert reply[8:] == struct.pack("<BIH", 87, 3, len(text)) + text


def test_end_of_input_between_frames_exits_zero():
    done = process(frame(1, 4.5))
    assert (done.returncode, done.stdout, done.stderr) == (0, struct.pack("<II", 1, 0), b"")


def test_a_truncated_frame_exits_non_zero_with_one_line():
    done = process(frame(1, 4.5, boot())[:-3])
    assert done.returncode != 0 and done.stderr.decode().count("\n") == 1


def test_an_unknown_code_exits_non_zero_with_one_line():
    done = process(frame(1, 4.5, struct.pack("<BI", 99, 3)))
    assert done.returncode != 0 and done.stderr.decode().count("\n") == 1 and b"99" in done.stderr


def test_reasons_carry_waits_and_the_processor_beyond():
    api = simulator_adapter.api
    assert simulator_adapter.reason_of(18) == (api.Reason.DESTINATION_PROCESSOR_FULL, None)
    assert simulator_adapter.reason_of(3 + 16 * 2500) == (api.Reason.PROCESSOR_FULL, 2.5)
    assert simulator_adapter.reason_of(4) == (api.Reason.LINES_BUSY, None)


def test_a_report_of_minus_one_is_no_reading():
    instance = simulator_adapter.Instance(None, ["idle", "circuits", "avg_ms"])
    assert instance.load((4.0, 20.0, -1.0)) == simulator_adapter.api.Load(
        free_circuits=4.0, group_circuits=20.0
    )
    assert instance.load(()) is None


def test_records_of_a_stopped_instance_are_passed_over():
    stop = struct.pack("<BI", 23, 3)
    assert run(frame(0, 10.0, boot(), pool(), listed(), stop, submit(51, 2))) == struct.pack("<II", 0, 0)
