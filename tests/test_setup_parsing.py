"""What is read of a caller's set-up, and which ones are unusable."""

import unittest
from types import SimpleNamespace

from chutefork.net.connection import MAX_MESSAGE_BYTES
from chutefork.net.setups import SetupParser

CALL = 7
CONFIG = SimpleNamespace(
    class_names=("rate-quote", "transfer-status"),
    tenant_names=("gaucha-envios",),
    settings=SimpleNamespace(
        classes=(SimpleNamespace(width_circuits=1.0), SimpleNamespace(width_circuits=6.0))
    ),
    longest_deadline_s=3.0,
)
META = {
    "class": "transfer-status",
    "left": "1500",
    "tenant": "gaucha-envios",
    "key": "7f3A",
    "extras": "dest:2;width:6;via:4;again:1",
}


def record(body="sdp", **meta):
    return {"kind": "launch", "meta": {**META, **meta}, "body": body}


class SetupParserTests(unittest.TestCase):
    def setUp(self):
        self.parser = SetupParser(CONFIG)

    def test_sound_set_up(self):
        arrival, texts = self.parser.parse(CALL, record())
        self.assertEqual((arrival.call, arrival.class_index, arrival.time_left_us), (CALL, 1, 1_500_000))
        self.assertEqual((arrival.destination, arrival.advice, arrival.width_circuits), (2, 4, 6.0))
        self.assertEqual(texts, ("transfer-status", "7f3A", "sdp"))

    def test_time_left_of_a_tenth_over_the_longest_deadline_is_usable_and_no_more(self):
        self.assertEqual(self.parser.parse(CALL, record(left=3300))[0].time_left_us, 3_300_000)
        with self.assertRaises(ValueError):
            self.parser.parse(CALL, record(left=3301))

    def test_largest_description_is_that_which_fits_a_frame(self):
        room = MAX_MESSAGE_BYTES - len("transfer-status") - len("7f3A") - 64
        self.parser.parse(CALL, record("x" * room))
        for body in ("x" * (room + 1), "é" * (room // 2 + 1)):
            with self.assertRaises(ValueError):
                self.parser.parse(CALL, record(body))

    def test_unusable_set_ups(self):
        # Guards against a set-up that an exchange cannot read, with which it would close its connection.
        for unusable in (
            record(**{"class": "nobody"}),
            record(left="nan"),
            record(left="-1"),
            record(tenant="nobody"),
            record(tenant=""),
            record(key=""),
            record(key="x"),
            record(key="1" * 17),
            record(extras="dest:2;width:1"),
            record(extras="dest:-1;width:6"),
            record(extras="dest:inf;width:6"),
            record(extras="width:6"),
            record(extras="dest:2;width:6;via:-2"),
            record(body=""),
            record(body="a\0b"),
            record(body="\ud800"),
            record(body=5),
            {"meta": 5, "body": "sdp"},
            {"meta": {}, "body": "sdp"},
        ):
            with self.assertRaises((ValueError, KeyError, TypeError, OverflowError), msg=repr(unusable)):
                self.parser.parse(CALL, unusable)
