"""The command channel answers each poll 1.8 s late: an exchange that drains must get no more set-ups.

Four exchanges, eight calls a second, each call 12 s long. Exchange 1 drains and stops 9.5 s later; another one, listed
together with the drain, takes over its number.
"""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import Caller, Channel, Exchange, Program, free_port, main, write_config

DELAY_S = 1.8
DRAIN_S = 9.5  # from the event that announces the drain to the end of the process
TOLD_S = 7.0  # what the command channel has to tell counts as told at the latest so long after
GRACE_S = 0.30  # 250 ms, each time limit being 50 ms longer on sockets
CALLS, GAP_S, DRAIN_AT_CALL = 210, 0.125, 50


async def case(record, folder, trouble, cleanup):
    channel = Channel(record)
    await channel.start()
    exchanges = [Exchange(record, f"s-{number}", number) for number in (1, 2, 3, 4)]
    successor = Exchange(record, "s-5", 1)
    for exchange in (*exchanges, successor):
        await exchange.start()
    await channel.publish(*(exchange.entry() for exchange in exchanges))
    port = free_port()
    program = Program(record, write_config(folder, channel, port))
    cleanup.push_async_callback(program.close)
    await program.start("serving ")
    caller = Caller(record, port)
    await caller.connect()
    cleanup.push_async_callback(caller.close)
    await caller.check()
    if trouble:
        channel.delay_s = DELAY_S
        record("channel", f"from now on each answer comes {DELAY_S} s late")
    await asyncio.sleep(0.5)

    old = exchanges[0]
    announced = []

    async def drain():
        announced.append(record.now())
        await channel.publish(old.entry("Terminating"), successor.entry(since_ms=int(time.time() * 1000)))
        await asyncio.sleep(DRAIN_S)
        announced.append(record.now())
        old.stop()

    task = None
    for number in range(CALLS):
        if number == DRAIN_AT_CALL:
            task = asyncio.create_task(drain())
        caller.launch(0x5A00 + number, 1 + number % 4)
        await asyncio.sleep(GAP_S)
    await task
    await asyncio.sleep(1)

    # Without the disruption the event is there at once; with it, it counts as told at the latest 7 s later.
    told = announced[0] + (TOLD_S if trouble else 0.0)
    late = [(at, call) for at, call in old.setups if at > told + GRACE_S]
    cut = 0
    for at, call in late:
        uid = f"{call:016x}"
        stops = caller.got("stop", uid)
        if caller.got("running", uid) and stops and stops[0][3]["reason"] == 41:
            cut += 1
        record("test", f"set-up {uid} came to {old.name} {at - announced[0]:.3f} s after its drain was announced")
    record("test", f"drain announced at {announced[0]:.3f}, counts as told at {told:.3f}; set-ups later than"
                   f" {GRACE_S} s after that: {len(late)}, of which stood and were cut when it stopped: {cut}")
    served = sum(at > announced[1] for at, _ in successor.setups)
    record("test", f"set-ups to its successor after the stop: {served}")
    return not late


main(__file__, case)
