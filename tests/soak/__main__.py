"""Plays runs of the soak: `python -m tests.soak --front platform --seeds 1-50 [--jobs 3] [--keep FOLDER]`.

Each seed is one run. Exit code 0: no violation; 1: violations, which are printed with their seed, the events
of their calls and all faults.
"""

import argparse
import json
import re
import sys
import tempfile
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from .events import read_events
from .platform_run import PlatformRun
from .sip_run import SipRun

RUNS = {"platform": PlatformRun, "sip": SipRun}
PRINTED_VIOLATIONS = 20
WORDS = re.compile(r"[^\s,:]+")


def evidence(violation, events):
    """The events of the call that a violation names, and all faults, as lines of text."""
    words = set(WORDS.findall(violation))
    if not any(event.get("call") in words for event in events):
        return []
    return [
        json.dumps(event)
        for event in events
        if event.get("call") in words or ("call" not in event and event["event"] != "told")
    ]


def play(front, seed, keep):
    """Plays one seed; returns the seed, the violations with their evidence, and how many calls there were."""
    with tempfile.TemporaryDirectory() as temporary:
        folder = Path(keep) / f"{front}-{seed}" if keep else Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        try:
            violations = RUNS[front](seed, folder).play()
        except Exception as error:
            violations = [f"harness: {type(error).__name__}: {error}"]
        events = read_events(folder)
        calls = sum(event["event"] == "launch" for event in events)
        found = [(violation, evidence(violation, events)) for violation in violations[:PRINTED_VIOLATIONS]]
    return seed, found, calls


def main():
    """Plays the runs that the command line asks for, and prints what they found."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--front", choices=sorted(RUNS), default="platform")
    parser.add_argument("--seeds", default="1-50", help="first-last")
    parser.add_argument("--jobs", type=int, default=3, help="runs at a time")
    parser.add_argument("--keep", default="", help="folder for the records of the runs")
    arguments = parser.parse_args()
    first, _, last = arguments.seeds.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    broken = total_calls = 0
    with ProcessPoolExecutor(arguments.jobs) as pool:
        results = [pool.submit(play, arguments.front, seed, arguments.keep) for seed in seeds]
        for result in results:
            seed, violations, calls = result.result()
            total_calls += calls
            broken += bool(violations)
            print(f"{arguments.front} seed {seed}: {calls} calls, {len(violations)} violations", flush=True)
            for violation, lines in violations:
                print(f"  {violation}", *(f"    {line}" for line in lines), sep="\n", flush=True)
    print(f"{len(seeds)} runs, {total_calls} calls, {broken} runs with violations")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
