"""The adapter's output records, byte for byte, and its exit status."""

import io
import struct
import subprocess
import sys

from chutefork import simulator_adapter

PARAMETERS = """accounts=
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


def batch(number, now, *records):
    body = b"".join(records)
    return struct.pack("<IdII", number, now, 4 + len(body), len(records)) + body


def boot(instance_id=3, parameters=PARAMETERS):
    data = parameters.encode()
    return struct.pack("<BIQI", 16, instance_id, 77, len(data)) + data


def list_entries(list_number=0):
    entries = b"".join(struct.pack("<IHBHBfd", 900 + n, 0, 0, n, 1, 1.0, 0.0) for n in range(3))
    return struct.pack("<BHI", 24, list_number, 3) + entries


def switch_list(instance_id=3):
    return struct.pack("<BIBHI", 18, instance_id, 1, 0, 1)


def submit(call, destination, instance_id=3):
    return struct.pack(
        "<BIQfdHQdBfBf", 26, instance_id, call, 1.0, 3.0, 0, 5, 0.0, 0, float(destination), 0, -1.0
    )


def reply_to(data):
    sink = io.BytesIO()
    simulator_adapter.serve(io.BytesIO(data), sink)
    return sink.getvalue()


def run_process(data):
    command = [sys.executable, "-m", "chutefork.simulator_adapter"]
    return subprocess.run(command, input=data, capture_output=True, timeout=60)


def test_an_empty_batch_gets_an_empty_reply():
    assert reply_to(batch(1, 4.5)) == struct.pack("<II", 1, 0)


def test_a_call_sent_directly_gives_a_submit_to_record():
    reply = reply_to(batch(0, 10.0, boot(), list_entries(), switch_list()) + batch(1, 20.0, submit(51, 2)))
    submit_to = struct.pack("<BIQId", 80, 3, 51, 902, 20.0 + 3.0 - 0.005)
    assert reply == struct.pack("<II", 0, 0) + struct.pack("<II", 1, len(submit_to)) + submit_to


def test_a_call_to_an_unlisted_destination_gives_a_shed_record():
    reply = reply_to(batch(0, 10.0, boot(), list_entries(), switch_list()) + batch(1, 20.0, submit(51, 9)))
    shed = reply[16:]
    assert shed[:13] == struct.pack("<BIQ", 89, 3, 51) and len(shed) == 21


def test_a_missing_parameter_is_reported_as_an_instance_failure_that_names_it():
    reply = reply_to(batch(0, 10.0, boot(parameters=PARAMETERS.replace("rules.cold_share=0.3\n", ""))))
    assert reply[8] == 87 and b"rules.cold_share" in reply


def test_contradictory_parameters_are_reported_as_an_instance_failure_that_names_the_field():
    parameters = PARAMETERS.replace("services.0.target_s=1.5", "services.0.target_s=99.0")
    assert b"aim_s" in reply_to(batch(0, 10.0, boot(parameters=parameters)))


def test_an_exception_of_the_controller_is_reported_as_an_instance_failure(monkeypatch):
    def raise_error(self, now, event):
        raise RuntimeError("broken on purpose")

    monkeypatch.setattr(simulator_adapter.CallController, "handle", raise_error)
    reply = reply_to(batch(0, 10.0, boot(), list_entries(), switch_list()))
    text = b"RuntimeError: broken on purpose"
    assert reply[8:] == struct.pack("<BIH", 87, 3, len(text)) + text


def test_end_of_input_between_batches_exits_zero():
    result = run_process(batch(1, 4.5))
    assert (result.returncode, result.stdout, result.stderr) == (0, struct.pack("<II", 1, 0), b"")


def test_a_truncated_batch_exits_non_zero_with_one_line():
    result = run_process(batch(1, 4.5, boot())[:-3])
    assert result.returncode != 0 and result.stderr.decode().count("\n") == 1


def test_an_unknown_code_exits_non_zero_with_one_line():
    result = run_process(batch(1, 4.5, struct.pack("<BI", 99, 3)))
    assert result.returncode != 0 and result.stderr.decode().count("\n") == 1 and b"99" in result.stderr


def test_reason_codes_carry_waits_and_a_full_destination_processor():
    api = simulator_adapter.api
    assert simulator_adapter.parse_reason(18) == (api.Reason.DESTINATION_PROCESSOR_FULL, None)
    assert simulator_adapter.parse_reason(3 + 16 * 2500) == (api.Reason.PROCESSOR_FULL, 2.5)
    assert simulator_adapter.parse_reason(4) == (api.Reason.LINES_BUSY, None)


def test_a_load_value_of_minus_one_counts_as_not_reported():
    instance = simulator_adapter.ControllerInstance(None, ["idle", "circuits", "avg_ms"])
    assert instance.parse_load((4.0, 20.0, -1.0)) == simulator_adapter.api.Load(
        free_circuits=4.0, group_circuits=20.0
    )
    assert instance.parse_load(()) is None


def test_records_of_a_stopped_instance_are_ignored():
    stop = struct.pack("<BI", 23, 3)
    assert reply_to(
        batch(0, 10.0, boot(), list_entries(), switch_list(), stop, submit(51, 2))
    ) == struct.pack("<II", 0, 0)
