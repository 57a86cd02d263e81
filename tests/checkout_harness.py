"""A checkout of this repository in an empty folder, built and started with the deploy file's commands."""

import json
import os
import shutil
import subprocess
import tempfile
import tomllib
import unittest
from pathlib import Path

from .platform_harness import ROOT, SETTINGS, Program

BUILD_TIMEOUT_S = 20 * 60.0  # what the platform allows


def git(*arguments):
    """The standard output of a git command in the repository's root, as text."""
    return subprocess.run(["git", *arguments], cwd=ROOT, check=True, capture_output=True, text=True).stdout


def deploy_command(name):
    """A command of the deploy file, such as `build`."""
    return tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())[name]


class CheckoutCase(unittest.TestCase):
    """A folder with what git's index holds, and nothing else."""

    def setUp(self):
        if shutil.which("git") is None or not (ROOT / ".git").exists():
            self.skipTest("the tests do not run in a git checkout")
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.checkout = Path(folder.name) / "checkout"
        git("checkout-index", "--all", f"--prefix={self.checkout}/")

    def shell(self, command):
        """Runs a command as the platform does, from the checkout's root; returns its result."""
        return subprocess.run(
            ["/bin/sh", "-c", command],
            cwd=self.checkout,
            capture_output=True,
            text=True,
            timeout=BUILD_TIMEOUT_S,
        )

    def build(self):
        """Runs the deploy file's `build`, which must succeed."""
        result = self.shell(deploy_command("build"))
        self.assertEqual(result.returncode, 0, result.stdout + result.stderr)

    def start_node(self):
        """Starts the deploy file's `run` in the checkout and waits until it serves."""
        config = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "seed": "1",
            "channel": "127.0.0.1:1",
            "settings": SETTINGS,
            "known": {"cursor": 0, "cmds": []},
        }
        path = self.checkout.parent / "config.json"
        path.write_text(json.dumps(config))
        program = Program(
            {"EDGE_CONFIG": str(path)}, ["/bin/sh", "-c", deploy_command("run")], cwd=self.checkout
        )
        self.addCleanup(program.close)
        program.wait_log("serving ")
        return program

    def start_adapter(self):
        """Starts the deploy file's `sim` with no input; returns its exit code."""
        return subprocess.run(
            ["/bin/sh", "-c", deploy_command("sim")],
            cwd=self.checkout,
            stdin=subprocess.DEVNULL,
            env={**os.environ},
            timeout=20.0,
        ).returncode
