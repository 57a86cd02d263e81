"""Signals that come while the real program starts."""

import json
import signal
import sys
import time

from .checkout_harness import deploy_command
from .platform_harness import Channel, PlatformCase, Program, socket_address

STEP_S = 0.04  # between the signals, which come over the whole start
STEPS = 12


class SignalsAtStart(PlatformCase):
    def test_program_survives_new_configurations_at_any_time_of_its_start_and_uses_the_last(self):
        # Guards against a program that SIGHUP ends while it starts, or that keeps to the address read first.
        self.program.close()
        command = deploy_command("run").replace(".venv/bin/python", sys.executable)
        program = Program(
            {"EDGE_CONFIG": str(self.path), "EDGE_LISTEN": "127.0.0.1:0"}, ["/bin/sh", "-c", command]
        )
        self.addCleanup(program.close)
        time.sleep(STEP_S)  # the shell needs a moment to ignore the signal
        for _ in range(STEPS):
            channel = Channel()
            self.addCleanup(channel.close)
            channel.events = list(self.channel.events)
            replacement = self.path.with_suffix(".new")
            replacement.write_text(json.dumps({**self.config, "channel": socket_address(channel.sock)}))
            replacement.replace(self.path)
            program.process.send_signal(signal.SIGHUP)
            time.sleep(STEP_S)
        program.wait_log("serving ")
        with channel.changed:
            self.assertTrue(channel.changed.wait_for(lambda: channel.polls >= 2, 10.0))
        self.assertIsNone(program.process.poll())
