"""The controller is killed and started again; then two calls from before end, one on either side."""

import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))
from platform_standins import (  # noqa: E402
    TROUBLE,
    Caller,
    CannotRun,
    Channel,
    Exchange,
    run_case,
    start_platform_program,
    wait_until,
)

ENDED_BY_EXCHANGE, ENDED_BY_CALLER = "00000000000000a1", "00000000000000a2"
TOLD_WITHIN_S = 1.05  # the page: within 1 s of the release by the exchange; each limit is 50 ms longer
OVER_WITHIN_S = 8.05  # the page: within 8 s of its end, the most that it allows for any release


def play(record, folder, cleanup):
    """Plays the case and returns what broke the rule."""
    channel = Channel(record)
    cleanup.callback(channel.close)
    exchanges = [Exchange(record, f"s-{number}", number) for number in range(1, 6)]
    for exchange in exchanges:
        cleanup.callback(exchange.close)
    channel.publish(*(exchange.entry() for exchange in exchanges))
    program, address = start_platform_program(record, channel, folder)
    cleanup.callback(program.close)
    callers = [Caller(record, address)]
    if not callers[0].check():
        raise CannotRun("the test did not pass")
    for number, uid in enumerate((ENDED_BY_EXCHANGE, ENDED_BY_CALLER)):
        callers[0].launch(uid, key=f"{0x7F3A0000 + number:016x}")
        wait_until(lambda uid=uid: callers[0].of(uid, "running"), "answer", 5)
    time.sleep(0.5)

    if TROUBLE:
        record("trouble", "the controller is killed and started again")
        program.signal(signal.SIGKILL)
        program.process.wait()
        program, _ = start_platform_program(
            record, channel, folder, listen="%s:%d" % address, name="restarted"
        )
        cleanup.callback(program.close)

    def connected():
        """The caller's connection; a new one, which passes a test, if the last one has been closed."""
        if callers[-1].ended:
            callers.append(Caller(record, address, f"caller {len(callers)}"))
            if not callers[-1].check():
                raise CannotRun("the test did not pass")
        return callers[-1]

    wait_until(lambda: not TROUBLE or callers[0].ended, "end of the old connection", 5)
    connected()
    if not {ENDED_BY_EXCHANGE, ENDED_BY_CALLER} <= exchanges[0].standing.keys():
        raise CannotRun("a call does not stand any more")
    connected().send(kind="stop", uid=ENDED_BY_CALLER, meta={}, reason=16)
    time.sleep(0.2)
    exchanges[0].end(ENDED_BY_EXCHANGE)
    ended_at = time.monotonic()
    limit_s = TOLD_WITHIN_S
    while time.monotonic() < ended_at + OVER_WITHIN_S:
        if callers[-1].ended and time.monotonic() < ended_at + TOLD_WITHIN_S:
            limit_s = OVER_WITHIN_S  # no connection for a moment: no release could be sent
        connected()
        time.sleep(0.02)
    broken = []
    told = [at for caller in callers for at, _ in caller.of(ENDED_BY_EXCHANGE, "stop")]
    if not told:
        broken.append(f"the exchange ended a call, and its caller got no release within {OVER_WITHIN_S} s")
    elif told[0] - ended_at > limit_s:
        broken.append(
            f"the exchange ended a call, and its caller got the release after {told[0] - ended_at} s"
        )
    if ENDED_BY_CALLER in exchanges[0].standing:
        broken.append(f"the caller ended a call, and it still stands at the exchange {OVER_WITHIN_S} s later")
    if not program.alive():
        broken.append("the program has ended")
    for caller in callers:
        cleanup.callback(caller.close)
    return broken


run_case(HERE, play)
