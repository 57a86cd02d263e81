"""After a quiet time an exchange vanishes while a call stands there, and callers go on calling."""

import socket
import sys
import threading
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

UID = "00000000000000a1"
QUIET_S = 18.0
SETUP_TIME_S = 0.35  # the exchange's time for a set-up
TRY_LEFT_MS = 3500  # the page: a try is given up after 30 to 40% of the 9 s
CALL_EVERY_S = 1.2
LISTED_GONE_AFTER_S = 13.5  # the site file: a silent exchange is listed as gone after 4 to 14 s
RELEASE_WITHIN_S = 8.05  # the page: 8 s, and each limit is 50 ms longer


class SlowExchange(Exchange):
    def on_setup_received(self, call, connection):
        threading.Timer(SETUP_TIME_S, self.answer_if_out, (call, connection)).start()

    def answer_if_out(self, call, connection):
        with self.lock:
            if self.out.get(call) and not self.silent:
                self.answer(call, connection)

    def vanish(self):
        """Open connections stay open and silent, and new ones never come up."""
        self.accepting = False
        time.sleep(0.1)
        self.silent = True
        self.record("trouble", f"{self.name} vanishes")
        self.vanished_at = time.monotonic()
        self.fillers = []
        for _ in range(8):
            filler = socket.socket()
            self.fillers.append(filler)
            filler.settimeout(0.1)
            try:
                filler.connect(("127.0.0.1", self.port))
            except TimeoutError:
                return
        raise CannotRun("the listen queue takes every connection")


def play(record, folder, cleanup):
    channel = Channel(record)
    cleanup.callback(channel.close)
    vanishing = SlowExchange(record, "s-1", 1, backlog=0)
    vanishing.on_setup = vanishing.on_setup_received
    other = Exchange(record, "s-2", 2)
    for exchange in (vanishing, other):
        cleanup.callback(exchange.close)
    channel.publish(vanishing.entry(), other.entry())
    program, address = start_platform_program(record, channel, folder)
    cleanup.callback(program.close)
    caller = Caller(record, address)
    cleanup.callback(caller.close)
    if not caller.check():
        raise CannotRun("the test did not pass")

    caller.launch(UID)
    wait_until(lambda: caller.of(UID, "running"), "answer", 5)
    time.sleep(QUIET_S)
    if caller.of(UID, "stop"):
        raise CannotRun("the call ended in the quiet time")
    if TROUBLE:
        vanishing.vanish()
        vanished_at = vanishing.vanished_at
    else:
        vanished_at = time.monotonic()
    number = 0
    while time.monotonic() < vanished_at + LISTED_GONE_AFTER_S:
        number += 1
        caller.launch(f"{0xB000 + number:016x}", left=TRY_LEFT_MS, key=f"{0x7F3A0000 + number:016x}")
        time.sleep(CALL_EVERY_S)

    broken = []
    if TROUBLE:
        channel.publish(vanishing.entry("Gone"))
        told = wait_until(lambda: caller.of(UID, "stop"), "release of the call", 5)
        after_s = told[0][0] - vanished_at
        record("case", f"the caller got the release {after_s:.2f} s after the end of its call")
        if after_s > RELEASE_WITHIN_S:
            broken.append(
                f"the call was over and its caller got the release after {after_s:.2f} s, limit"
                f" {RELEASE_WITHIN_S} s"
            )
    else:
        if caller.of(UID, "stop"):
            broken.append("the caller was told that its call is over, while it stood at the exchange")
        vanishing.end(UID)
        time.sleep(1.05)
        if not caller.of(UID, "stop"):
            broken.append("the end of the call was not sent within 1.05 s")
    if not program.alive():
        broken.append("the program has ended")
    return broken


run_case(HERE, play)
