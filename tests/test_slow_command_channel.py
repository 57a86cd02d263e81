"""Tests of the real program with a command channel whose answers come late."""

import time

from .platform_harness import PlatformCase, wait_until

TOLD_AFTER_S = 7.0  # an event counts as told so long after its publication, whether it has arrived or not
MAX_CONNECTIONS = 6
LATE, IN_TIME = "note channel: answers come late", "note channel: answers come in time again"


class SlowCommandChannel(PlatformCase):
    def check_event_is_learned(self, delay_s):
        self.channel.delay_s = delay_s
        polls = self.channel.polls
        wait_until(lambda: self.channel.polls > polls + 1, "polls that are answered late")
        published_at = time.monotonic()
        self.channel.publish(self.exchange2.entry("Gone"))
        self.assertIsNone(self.exchange2.read())  # its connection is closed
        self.assertLess(time.monotonic() - published_at, TOLD_AFTER_S)
        self.program.wait_log(LATE)

    def test_event_is_learned_from_a_channel_that_answers_each_poll_two_seconds_late(self):
        # Guards against a limit on the wait for an answer that every answer of a slow channel exceeds.
        self.check_event_is_learned(delay_s=2.0)

    def test_answer_of_any_lateness_arrives_over_few_connections_and_one_remains_afterwards(self):
        # Guards against the same limit with a larger figure, and against connections without number.
        self.check_event_is_learned(delay_s=5.0)
        self.channel.delay_s = 0.0
        self.program.wait_log(IN_TIME)
        self.assertLessEqual(self.channel.most_connections, MAX_CONNECTIONS + 1)  # one may be closing
        wait_until(lambda: self.channel.open_connections == 1, "the end of the other connections")
