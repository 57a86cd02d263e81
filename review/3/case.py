"""A hub's process dies and its successor starts 1.2 s later: no call may have two attempts out.

Hub 1 is a plain SIP hub. Hub 2 is a second call controller of this project, through which a call may go by tandem.
Hub 1 rings for 4 s before it answers.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import HOST, Consul, Program, SipCaller, SipHub, free_port, main, until, write_sip_config

DOWN_BEFORE_S, DOWN_S = 0.3, 1.2  # the hub dies so long before the calls come, and is down for so long
RING_S = 4.0


async def case(record, folder, trouble, cleanup):
    consul = Consul(record)
    await consul.start()
    hub = SipHub(record, "hub-1", answer_s=RING_S)
    await hub.start()
    ports = free_port(), free_port()
    await consul.set("hub-1", 1, hub.port)
    await consul.set("hub-2", 2, ports[1])
    for name, port, changes in (
        ("controller-0", ports[0], {}),
        ("controller-2", ports[1], {"self_no = 0": "self_no = 2", "peers = []  ": f'peers = ["{HOST}"]',
                                    "counters-1": "counters-2"}),
    ):
        program = Program(record, write_sip_config(folder, consul, port, changes, name), name)
        cleanup.push_async_callback(program.close)
        await program.start("serving-sip ")
    await until(lambda: sum(index == 0 for _, index, _ in consul.answers) >= 4, 10, "all lists to be read")
    await asyncio.sleep(0.3)
    caller = SipCaller(record, "caller", ports[0])
    await caller.start()
    cleanup.callback(caller.close)

    hubs = [hub]
    if trouble:
        record("hub-1", "the process is killed")
        hub.close()
    await asyncio.sleep(DOWN_BEFORE_S)
    calls = [caller.invite(number) for number in ("101", "102")]
    await asyncio.sleep(DOWN_S - DOWN_BEFORE_S)
    if trouble:
        hubs.append(SipHub(record, "hub-1", hub.port, answer_s=RING_S))
        await hubs[-1].start()
        record("hub-1", "the successor's process listens on the same address")
    cleanup.callback(hubs[-1].close)
    await asyncio.sleep(10)

    # An attempt is out from the moment it has reached the hub whole until the hub has written its end or it has been
    # given up, with CANCEL or BYE; a call that stands is out until it ends.
    held = True
    for call in calls:
        attempts = sorted(
            (attempt["from"], attempt["to"] or record.now(), call_id, bool(attempt["transit"]))
            for process in hubs
            for call_id, attempt in process.attempts.items()
            if attempt["number"] == call["number"]
        )
        for reached, ended, call_id, _ in attempts:
            record("test", f"call {call['number']}, attempt {call_id}: out from {reached:.3f} to {ended:.3f}")
        overlaps = [b for a, b in zip(attempts, attempts[1:]) if b[0] < a[1]]
        if overlaps:
            record("test", f"call {call['number']}: {len(overlaps) + 1} attempts out at once")
            held = False
        if call["final"] is None:
            record("test", f"call {call['number']}: no final answer")
    if not trouble and any(call["final"] != 200 for call in calls):
        held = False
    return held


main(__file__, case)
