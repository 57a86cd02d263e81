"""A zone is lost for 5 s and its exchange returns with a new, cold process: the calls that stood there are over.

Four exchanges, four calls a second, each call 12 s long. The list tells the fresh start of the exchange 2 s after it.
"""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import Caller, Channel, Exchange, Program, free_port, main, write_config

LOST_S = 5.0
TOLD_S = 2.0  # from the start of the new process to the event of the list
SENT_SLACK_S, UNSENT_SLACK_S = 1.05, 8.05  # 1 s and 8 s, each time limit being 50 ms longer on sockets
CALLS, GAP_S, LOST_AT_CALL = 80, 0.25, 28
END_S = 14.0  # from the last call to the check


async def case(record, folder, trouble, cleanup):
    channel = Channel(record)
    await channel.start()
    exchanges = [Exchange(record, f"s-{number}", number) for number in (1, 2, 3, 4)]
    for exchange in exchanges:
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

    lost = exchanges[0]
    over = {}  # call -> (when it was over, limit for its release)

    async def lose_the_zone():
        lost_at = record.now()
        for call in await lost.vanish():
            over[call] = lost_at, UNSENT_SLACK_S
        await asyncio.sleep(LOST_S)
        await lost.come_back()
        started_ms = int(time.time() * 1000)
        await asyncio.sleep(TOLD_S)
        await channel.publish(lost.entry(since_ms=started_ms))

    trouble_task = None
    for number in range(CALLS):
        if trouble and number == LOST_AT_CALL:
            trouble_task = asyncio.create_task(lose_the_zone())
        caller.launch(0x5A00 + number, 1 + number % 4)
        await asyncio.sleep(GAP_S)
    if trouble_task is not None:
        await trouble_task
    await asyncio.sleep(END_S)

    for exchange in exchanges:
        for call, at in exchange.ends.items():
            over.setdefault(call, (at, SENT_SLACK_S))
    left = 0
    for call, (at, limit) in sorted(over.items()):
        uid = f"{call:016x}"
        if not caller.got("running", uid):
            continue
        stops = caller.got("stop", uid)
        if not stops or stops[0][0] - at > limit:
            left += 1
            late = f"{stops[0][0] - at:.3f} s later" if stops else f"never, {record.now() - at:.1f} s have passed"
            record("test", f"call {uid} was over at {at:.3f}, release to its caller: {late} (limit {limit} s)")
    record("test", f"calls that stood and were over: {len(over)}, not released in time: {left}")
    return not left


main(__file__, case)
