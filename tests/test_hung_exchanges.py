"""What an exchange that hangs finds on its connections when it goes on."""

import struct
import time

from .platform_harness import SETTINGS, PlatformCase, wait_until

A, B, ESTABLISHED = "00000000000000a1", "00000000000000b2", "00000000000000e5"
SET_UP, RELEASE = 1, 12
SHORT_DEADLINE_S = 1.5


def frames_until_end(connection):
    """The types and calls of all frames on a connection that has ended, also by a reset."""
    data = b""
    try:
        while part := connection.recv(65536):
            data += part
    except ConnectionResetError:
        pass
    frames = []
    while len(data) > 2:
        (size,) = struct.unpack_from("!H", data)
        kind, call = struct.unpack_from("!BQ", data, 2)
        frames.append((kind, f"{call:016x}"))
        data = data[2 + size :]
    return frames


class HungExchangeTests(PlatformCase):
    """Exchange 1 neither reads nor accepts from the first set-up on; its kernel does both for it."""

    def frames_by_connection(self):
        """The frames of each connection that exchange 1 finds when it goes on."""
        self.exchange1.sock.settimeout(0.2)
        try:
            while True:
                self.exchange1.accept()
        except TimeoutError:
            pass
        return [frames_until_end(connection) for connection in self.exchange1.connections]

    def assert_released_where_set_up(self, *calls):
        """Each connection with a set-up of a call has its release after it; the first call was set up."""
        connections = self.frames_by_connection()
        for call in calls:
            found = [[frame for frame in frames if frame[1] == call] for frames in connections]
            with_set_up = [frames for frames in found if (SET_UP, call) in frames]
            self.assertTrue(with_set_up or call != calls[0])
            for frames in with_set_up:
                self.assertEqual(frames[-1], (RELEASE, call))

    def test_set_up_on_a_connection_closed_as_silent_is_followed_by_its_release(self):
        # Guards against a call that runs at an exchange which has hung, and whose release comes before it.
        caller = self.caller()
        self.establish_call(caller, ESTABLISHED)  # from it the program learns how fast answers are
        caller.launch(A, left=1500)
        self.program.wait_log("end role=exchange", "s-1@", "code=silent")
        self.assertEqual(caller.read()["kind"], "stop")
        self.terminate()
        self.assertEqual(self.program.wait_for_exit(), 0)
        self.assert_released_where_set_up(A)

    def test_call_refused_in_a_shutdown_is_not_left_to_a_hung_exchange(self):
        # Guards against a second `stop` for a refused call, through the process after this one: the exchange
        # would run the call when it goes on, and report its end to that process.
        settings = {
            **SETTINGS,
            "services": [{**service, "deadline_s": SHORT_DEADLINE_S} for service in SETTINGS["services"]],
        }
        self.program.close()
        self.exchange1.connections.pop().close()
        self.program = self.start(settings=settings)
        self.exchange1.accept()
        wait_until(lambda: self.program.log_lines("serving "), "the start")
        caller = self.caller()
        self.establish_call(caller, ESTABLISHED)
        self.terminate()
        for uid in (A, B):
            caller.launch(uid, left=SHORT_DEADLINE_S * 1000)
            time.sleep(0.1)
        answers = [caller.read(), caller.read()]
        self.assertEqual({answer["kind"] for answer in answers}, {"stop"})
        self.assertEqual(self.program.wait_for_exit(), 0)
        self.assert_released_where_set_up(A, B)
