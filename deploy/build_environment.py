"""Builds the virtual environment that the program runs in, unless a complete one for this machine is there.

Usage: python3 build_environment.py FOLDER REQUIREMENTS_FILE...

Whatever stands at FOLDER without being complete is replaced: a link or a file, the folder of an interrupted
build, of another processor architecture, of another Python, or copied from elsewhere. The standard library is
all that this needs. Exit code 0: the environment is complete; 1: it could not be built.
"""

from __future__ import annotations

import fcntl
import hashlib
import json
import os
import platform
import shutil
import subprocess
import sys
import venv
from pathlib import Path

MINIMUM_PYTHON = (3, 11)
STAMP_NAME = "complete.json"  # written last; describes the environment
INTERPRETER_CHECK = "import platform; print(platform.machine(), platform.python_version())"
INTERPRETER_CHECK_TIMEOUT_S = 60.0


def describe(folder: Path, requirement_files: list[Path]) -> dict[str, object]:
    """What a complete environment in this folder is tied to: its path, the machine and the requirements."""
    return {
        "folder": str(folder),
        "interpreter": f"{platform.machine()} {platform.python_version()}",
        "requirements": {
            path.name: hashlib.sha256(path.read_bytes()).hexdigest() for path in requirement_files
        },
    }


def interpreter_works(folder: Path, expected: str) -> bool:
    """Whether the environment's interpreter starts here and is the expected one."""
    command = [folder / "bin" / "python", "-c", INTERPRETER_CHECK]
    try:
        result = subprocess.run(command, capture_output=True, text=True, timeout=INTERPRETER_CHECK_TIMEOUT_S)
    except (OSError, subprocess.TimeoutExpired):
        return False
    return result.returncode == 0 and result.stdout.strip() == expected


def is_complete(folder: Path, wanted: dict[str, object]) -> bool:
    """Whether the folder holds a whole environment with at least the wanted requirements."""
    if folder.is_symlink() or not folder.is_dir():
        return False
    try:
        stamp = json.loads((folder / STAMP_NAME).read_text(encoding="utf-8"))
        installed = stamp["requirements"].items()
        same_place = stamp["folder"] == wanted["folder"] and stamp["interpreter"] == wanted["interpreter"]
    except (OSError, ValueError, KeyError, TypeError, AttributeError):
        return False
    return (
        same_place
        and wanted["requirements"].items() <= installed
        and interpreter_works(folder, wanted["interpreter"])
    )


def remove(folder: Path) -> None:
    """Removes what stands at the path; of a link only the link itself."""
    if folder.is_symlink() or folder.is_file():
        folder.unlink()
    elif folder.exists():
        shutil.rmtree(folder)


def build(folder: Path, requirement_files: list[Path]) -> None:
    """Creates the environment anew. Raises OSError or CalledProcessError."""
    remove(folder)
    venv.create(folder, with_pip=True)
    install = [folder / "bin" / "python", "-m", "pip", "--quiet", "install"]
    for path in requirement_files:
        install += ["-r", path]
    subprocess.run(install, check=True)
    stamp = json.dumps(describe(folder, requirement_files), indent=1)
    (folder / STAMP_NAME).write_text(stamp, encoding="utf-8")


def main(arguments: list[str]) -> int:
    """Builds the environment if necessary; one build at a time in the folder's parent."""
    if sys.version_info < MINIMUM_PYTHON:
        print(f"build: Python {'.'.join(map(str, MINIMUM_PYTHON))} or newer is needed", file=sys.stderr)
        return 1
    if not arguments:
        print(__doc__, file=sys.stderr)
        return 1
    # Of the path, only the parent is resolved: the folder itself may be a link that is to be replaced.
    folder = Path(arguments[0]).parent.resolve() / Path(arguments[0]).name
    requirement_files = [Path(argument) for argument in arguments[1:]]
    lock = os.open(folder.parent, os.O_RDONLY)
    try:
        fcntl.flock(lock, fcntl.LOCK_EX)
        if not is_complete(folder, describe(folder, requirement_files)):
            build(folder, requirement_files)
    except (OSError, subprocess.CalledProcessError) as error:
        print(f"build: {folder}: {error}", file=sys.stderr)
        return 1
    finally:
        os.close(lock)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
