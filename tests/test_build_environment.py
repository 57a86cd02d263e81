"""Tests of the build of the virtual environment over whatever stands in its place."""

import importlib.util
import json
import shutil
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from .platform_harness import ROOT

BUILDER = ROOT / "deploy" / "build_environment.py"
REQUIREMENTS, MORE_REQUIREMENTS = "requirements.txt", "more.txt"


def load_builder():
    """The build script as a module."""
    spec = importlib.util.spec_from_file_location("build_environment", BUILDER)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


class FolderCase(unittest.TestCase):
    """An empty folder with empty requirement files."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = Path(folder.name).resolve()
        self.environment = self.root / ".venv"
        for name in (REQUIREMENTS, MORE_REQUIREMENTS):
            (self.root / name).write_text("")

    def build(self):
        command = [sys.executable, BUILDER, ".venv", REQUIREMENTS]
        return subprocess.run(command, cwd=self.root, capture_output=True, text=True, timeout=120.0)


class BuildTests(FolderCase):
    def test_a_link_in_place_of_the_environment_is_replaced_and_its_target_left_alone(self):
        # Guards against "File exists: .venv", and against a build in the environment of another checkout.
        other = self.root / "other"
        other.mkdir()
        for target in (self.environment, other):
            if self.environment.exists():
                shutil.rmtree(self.environment)
            self.environment.symlink_to(target)
            result = self.build()
            self.assertEqual(result.returncode, 0, result.stderr)
            self.assertFalse(self.environment.is_symlink())
            started = subprocess.run([self.environment / "bin" / "python", "-m", "pip", "--version"])
            self.assertEqual(started.returncode, 0)
        self.assertEqual(list(other.iterdir()), [])

    def test_a_failed_installation_is_reported_and_not_taken_for_complete(self):
        # Guards against a start that fails with ModuleNotFoundError after a build that succeeded.
        (self.root / REQUIREMENTS).write_text("./nonexistent")
        for _ in range(2):
            result = self.build()
            self.assertEqual(result.returncode, 1)
            self.assertIn("build: ", result.stderr)


class CompletenessTests(FolderCase):
    """What counts as complete, with an interpreter that only starts this one."""

    def setUp(self):
        super().setUp()
        self.builder = load_builder()
        self.files = [self.root / REQUIREMENTS, self.root / MORE_REQUIREMENTS]
        self.wanted = self.builder.describe(self.environment, self.files)
        self.interpreter = self.environment / "bin" / "python"
        self.interpreter.parent.mkdir(parents=True)
        self.interpreter.write_text(f'#!/bin/sh\nexec "{sys.executable}" "$@"\n')
        self.interpreter.chmod(0o755)
        self.stamp = self.environment / self.builder.STAMP_NAME
        self.stamp.write_text(json.dumps(self.wanted))

    def is_complete(self):
        return self.builder.is_complete(self.environment, self.wanted)

    def test_a_complete_environment_is_kept_also_for_fewer_requirements(self):
        self.assertTrue(self.is_complete())
        self.wanted = self.builder.describe(self.environment, self.files[:1])
        self.assertTrue(self.is_complete())

    def test_more_or_changed_requirements_are_installed(self):
        self.files[0].write_text("# changed")
        self.wanted = self.builder.describe(self.environment, self.files)
        self.assertFalse(self.is_complete())
        self.stamp.write_text(json.dumps(self.builder.describe(self.environment, self.files[:1])))
        self.assertFalse(self.is_complete())

    def test_an_interrupted_build_is_not_complete(self):
        self.stamp.unlink()
        self.assertFalse(self.is_complete())

    def test_a_spoilt_description_is_not_complete(self):
        for text in ("", "[]", "{}", '{"requirements": []}'):
            self.stamp.write_text(text)
            self.assertFalse(self.is_complete(), text)

    def test_the_interpreter_of_another_architecture_is_not_complete(self):
        self.interpreter.write_bytes(b"\x7fELF of another machine")
        self.assertFalse(self.is_complete())

    def test_an_environment_for_another_python_is_not_complete(self):
        self.stamp.write_text(json.dumps({**self.wanted, "interpreter": "other 3.11.0"}))
        self.assertFalse(self.is_complete())

    def test_an_environment_copied_from_elsewhere_is_not_complete(self):
        shutil.copytree(self.environment, self.root / "copy")
        copy = self.builder.describe(self.root / "copy", self.files)
        self.assertFalse(self.builder.is_complete(self.root / "copy", copy))

    def test_a_link_to_a_complete_environment_is_not_complete(self):
        link = self.root / "link"
        link.symlink_to(self.environment)
        self.assertFalse(self.builder.is_complete(link, self.wanted))

    def test_whatever_stands_in_place_is_removed(self):
        path = self.root / "place"
        path.write_text("")
        self.builder.remove(path)
        path.symlink_to(path)
        self.builder.remove(path)
        path.mkdir()
        self.builder.remove(path)
        self.builder.remove(path)
        self.assertFalse(path.is_symlink() or path.exists())
