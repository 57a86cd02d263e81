"""An exchange whose machine vanishes, or whose connections come up late, while calls stand there."""

import socket
import time

from .platform_harness import PlatformCase, wait_until

STANDING = "00000000000000a1"
RELEASED_WITHIN_S = 8.05  # of the end of a call whose release could not be sent
LATE_CONNECTION_S = 1.0  # connections to exchanges come up late by up to this
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


class LateConnection(VanishedExchangeCase):
    def test_call_at_a_quiet_exchange_outlives_a_connection_that_comes_up_late(self):
        # Guards against a late connection that is taken for the end of a quiet exchange and its calls.
        self.stand_a_call()
        for _ in range(2):
            old = self.exchange1.accept()  # the quiet connection is renewed
        self.fill_listen_queue()
        self.assertEqual(old.recv(100), b"")  # renewed once more
        time.sleep(LATE_CONNECTION_S - 0.1)
        self.empty_listen_queue()
        self.assertTrue(self.standing_caller.receives_nothing(2.0))
        self.exchange1.release(STANDING, 16)
        self.assertEqual(self.standing_caller.read()["reason"], 16)


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


class VanishedDrainingExchange(VanishedExchangeCase):
    def drain(self):
        self.channel.publish(self.exchange1.entry("Terminating"))
        polls = self.channel.polls
        wait_until(lambda: self.channel.polls > polls, "the next poll")

    def test_calls_at_a_draining_exchange_that_vanishes_are_released_in_time(self):
        # Guards against callers who are told only when the list says that the exchange is gone.
        self.stand_a_call()
        self.drain()
        self.fill_listen_queue()
        self.assert_released_in_time(time.monotonic())

    def test_call_at_a_quiet_draining_exchange_that_refuses_connections_stands(self):
        # Guards against a quiet exchange that drains, and accepts no connection, being taken for vanished.
        self.stand_a_call()
        self.drain()
        self.exchange1.sock.close()
        self.assertTrue(self.standing_caller.receives_nothing(RELEASED_WITHIN_S + 1.0))
        self.exchange1.release(STANDING, 16)
        self.assertEqual(self.standing_caller.read()["reason"], 16)
