#!/usr/bin/python3
"""Runs daemons under random faults and checks the promises from outside.

    tests/soak/soak.py --seeds 1-50 --jobs 4
    tests/soak/soak.py --seeds 7 --keep /tmp/soak-7
    tests/soak/soak.py --seeds 118 --program OTHER/bin/sapphirelane-entry

A seed fixes the faults and each caller's choices; the timing of processes is
the machine's, so a seed may break a promise once and hold it the next time.
"""
import argparse
import asyncio
import pathlib
import subprocess
import sys
import tempfile

from promises import Verdict
from schedule import Schedule
from world import World

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
PROGRAM = ROOT / "build" / "bin" / "sapphirelane-entry"
REGRESSIONS = pathlib.Path(__file__).resolve().parent / "regressions.txt"
START_S = 2.5         # for a fleet to find itself and read the store
CALM_S = 4.0


def seeds_of(text):
    """Reads "3", "1-50" or "regressions"."""
    if text == "regressions":
        lines = REGRESSIONS.read_text().splitlines()
        return [int(line.split()[0]) for line in lines
                if line and not line.startswith("#")]
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


async def play(arguments, seed):
    """@return True if every promise held."""
    folder = arguments.keep or tempfile.mkdtemp(prefix=f"soak-{seed}-")
    pathlib.Path(folder).mkdir(parents=True, exist_ok=True)
    world = World(seed, folder, arguments.program, arguments.daemons,
                  arguments.slot)
    schedule = Schedule(world)
    try:
        await world.start()
        await asyncio.sleep(START_S)
        await world.serve(schedule, arguments.seconds, CALM_S,
                          arguments.callers)
    finally:
        world.close()
    broken = Verdict(world).check()
    served = sum(1 for one in world.attempts if 200 <= one.status < 300)
    print(f"seed {seed}: {len(world.attempts)} requests, {served} served, "
          f"{len(schedule.log)} faults, {len(world.lags)} lags of the soak: "
          f"{'every promise held' if not broken else 'BROKEN'}")
    if broken:
        print("\n".join(f"    {line}" for line in broken[:20]))
        print("\n".join(f"    {line}" for line in schedule.log))
        print(f"    logs: {folder}", flush=True)
    elif not arguments.keep:
        for file in pathlib.Path(folder).iterdir():
            file.unlink()
        pathlib.Path(folder).rmdir()
    return not broken


def play_all(arguments, seeds):
    """Plays seeds side by side, each in a process of its own."""
    running = {}
    failed = []
    waiting = list(seeds)
    while waiting or running:
        while waiting and len(running) < arguments.jobs:
            slot = next(i for i in range(arguments.jobs) if i not in running)
            seed = waiting.pop(0)
            running[slot] = (seed, subprocess.Popen(
                [sys.executable, __file__, "--seeds", str(seed), "--slot",
                 str(slot), "--daemons", str(arguments.daemons), "--seconds",
                 str(arguments.seconds), "--callers", str(arguments.callers),
                 "--program", str(arguments.program)]))
        for slot, (seed, child) in list(running.items()):
            try:
                if child.wait(0.05) != 0:
                    failed.append(seed)
                del running[slot]
            except subprocess.TimeoutExpired:
                pass
    print(f"{len(seeds)} seeds, {len(failed)} broken: {failed}")
    return not failed


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", default="1", help="3, 1-50 or regressions")
    parser.add_argument("--daemons", type=int, default=6)
    parser.add_argument("--seconds", type=float, default=10.0,
                        help="time in which faults begin")
    parser.add_argument("--callers", type=int, default=15)
    parser.add_argument("--jobs", type=int, default=1, help="seeds at a time")
    parser.add_argument("--slot", type=int, default=0, help="range of ports")
    parser.add_argument("--program", default=PROGRAM, help="the daemon to run")
    parser.add_argument("--keep", help="folder for settings and logs")
    arguments = parser.parse_args()
    seeds = seeds_of(arguments.seeds)
    if len(seeds) == 1:
        return 0 if asyncio.run(play(arguments, seeds[0])) else 1
    return 0 if play_all(arguments, seeds) else 1


if __name__ == "__main__":
    sys.exit(main())
