"""An exchange whose machine vanishes, or whose connections come up late, while calls stand there."""

import socket
import time

from .platform_harness import PlatformCase

STANDING = "00000000000000a1"
RELEASED_WITHIN_S = 8.05  # of the end of a call whose release could not be sent
ACCEPTED_BACKLOG = 16
SLOW_ANSWER_S = 0.35


class VanishedExchangeCase(PlatformCase):
    """Exchange 1 has a listen queue that can be filled: further connections do not come up."""

    def setUp(self):
        super().setUp()
        self.fillers = []

    def fill_listen_queue(self):
        """From now on no connection to exchange 1 comes up, and none is refused."""
        self.exchange1.sock.listen(0)
        address = self.exchange1.sock.getsockname()
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(address)
            self.fillers.append(filler)
            self.addCleanup(filler.close)
        time.sleep(0.1)

    def empty_listen_queue(self):
        """Connections to exchange 1 come up again; the fillers' are dropped."""
        ports = {filler.getsockname()[1] for filler in self.fillers}
        self.exchange1.sock.listen(ACCEPTED_BACKLOG)
        while True:
            connection, address = self.exchange1.sock.accept()
            if address[1] not in ports:
                break
            connection.close()
        connection.settimeout(10.0)
        self.exchange1.connections.append(connection)

    def stand_a_call(self):
        self.standing_caller = self.caller()
        self.establish_call(self.standing_caller, STANDING)

    def assert_released_in_time(self, vanished_at):
        record = self.standing_caller.read()
        self.assertEqual((record["kind"], record["uid"]), ("stop", STANDING))
        self.assertLess(time.monotonic() - vanished_at, RELEASED_WITHIN_S)


class VanishedExchange(VanishedExchangeCase):
    def test_calls_are_released_although_set_ups_keep_going_to_a_quiet_exchange_that_vanishes(self):
        # Guards against set-ups that put off the detection of the silence, the more so after quiet renewals.
        self.standing_caller = self.caller()
        self.standing_caller.launch(STANDING)
        self.exchange1.read()
        time.sleep(SLOW_ANSWER_S)
        self.exchange1.answer(STANDING)
        self.assertEqual(self.standing_caller.read()["kind"], "running")
        for _ in range(4):
            self.exchange1.accept()  # the quiet connection is renewed
        time.sleep(2.0)
        self.fill_listen_queue()
        vanished_at = time.monotonic()
        other = self.caller()
        number = 0
        while self.standing_caller.receives_nothing(1.2):
            number += 1
            other.launch(f"{number:016x}", left=3500)
            self.assertLess(time.monotonic() - vanished_at, RELEASED_WITHIN_S)
        self.assert_released_in_time(vanished_at)
