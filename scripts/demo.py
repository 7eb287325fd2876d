#!/usr/bin/env python3
"""Runs three daemons under faults and reports what the callers saw."""
import json
import re
import subprocess
import sys
import tempfile
import threading
import time

from fleet import BIN, ROOT, Fleet, http

SECONDS = 20
STALL_AT = 4
WITHDRAW_AT = 7
LEAVE_AT = 9
OUTAGE_AT = 11
OUTAGE_FOR = 6
STOP_AT = 13

RATES = {  # rate, burst, reads, approvals, uploads, all a second
    "studio-a": (60, 60, 40, 8, 2), "studio-b": (50, 50, 35, 6, 2),
    "studio-c": (40, 40, 28, 5, 1), "studio-d": (8, 12, 5, 1, 0.5),
    "studio-e": (8, 12, 25, 1, 0.5), "studio-f": (6, 10, 3, 1, 0.2),
    "studio-g": (5, 10, 2, 1, 0.2), "studio-h": (4, 8, 2, 0.5, 0.1)}
WITHDRAWN = "studio-f"


def write_plan(fleet, path, keys):
    lines = [f"seconds: {SECONDS}", "seed: 4", "repeat_share: 0.2",
             "entries: " + json.dumps([fleet.callers(n) for n in fleet.names]),
             "upstream_stats: [127.0.0.1:19300, 127.0.0.1:19400, "
             "127.0.0.1:19500]", "accounts:"]
    for account, (rate, burst, reads, approvals, uploads) in RATES.items():
        until = f", valid_until: {WITHDRAW_AT}" if account == WITHDRAWN else ""
        lines.append(f"  - {{ id: {account}, key: {keys[account]}, "
                     f"rate: {rate}, burst: {burst}, reads: {reads}, "
                     f"approvals: {approvals}, uploads: {uploads}{until} }}")
    path.write_text("\n".join(lines) + "\n")


def prepare(fleet):
    fleet.start_upstreams("scripts", 19301, 6, 19300)
    fleet.start_upstreams("approvals", 19401, 10, 19400)
    fleet.start_upstreams("voice", 19501, 8, 19500)
    for name in fleet.names:
        fleet.start_daemon(name)
    fleet.await_ready()
    sheet = ROOT / "examples" / "cascade" / "sheet.csv"
    print(fleet.ctl("entry-1", "sheet", "apply", sheet).stdout.splitlines()[-1])
    keys = {}
    for account in RATES:
        out = fleet.ctl("entry-2", "key", "create", account, account).stdout
        keys[account] = re.search(r"^key: (\S+)", out, re.M).group(1)
    time.sleep(3)
    return keys


class Timeline:
    """Brings the faults about while the callers run."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.facts = []
        self.start = time.monotonic()
        self.stop_code = None
        self.leaving_before = 0
        self.drained_version = None

    def at(self, seconds):
        time.sleep(max(0, self.start + seconds - time.monotonic()))

    def note(self, text):
        print(f"  {time.monotonic() - self.start:5.1f} s  {text}")

    def run(self):
        self.at(STALL_AT)
        http("GET", "127.0.0.1:19300", "/fault?endpoint=19303&kind=stall")
        self.note("endpoint scripts-3 stalls its work and answers probes")
        self.at(WITHDRAW_AT)
        out = self.fleet.ctl("entry-3", "key", "withdraw", WITHDRAWN).stdout
        self.note(f"key of {WITHDRAWN}: {out.strip()}")
        self.at(LEAVE_AT)
        out = self.fleet.ctl("entry-1", "upstream", "leave", "voice-2").stdout
        self.note(f"endpoint voice-2 leaves: {out.strip()}")
        self.at(OUTAGE_AT)
        self.fleet.platform_faults(outage=True)
        self.note("the platform goes away")
        time.sleep(max(0, self.start + LEAVE_AT + 3 - time.monotonic()))
        http("GET", "127.0.0.1:19500", "/fault?endpoint=19502&kind=none")
        self.note("3 s after it left, work on voice-2 is counted from here")
        self.at(STOP_AT)
        self.note("daemon entry-2 is stopped as planned")
        self.stop_code = self.fleet.stop("entry-2")
        self.note(f"daemon entry-2 has stopped with exit code {self.stop_code}")
        self.at(OUTAGE_AT + OUTAGE_FOR)
        self.fleet.platform_faults(outage=False)
        self.note("the platform is back")


def upstream_stats(control, port):
    endpoints = json.loads(http("GET", f"127.0.0.1:{control}", "/stats")[1])
    return next(e for e in endpoints if e["port"] == port)


def requests_on(fleet, name):
    return (fleet.folder / f"{name}.log").read_text()


def check_ejection(fleet):
    """The stalled endpoint went out of choice, within its service's floor."""
    times = []
    least = 6
    for name in fleet.names:
        log = requests_on(fleet, name)
        out = {}
        for line in log.splitlines():
            found = re.search(r"endpoint=(\S+) service=scripts "
                              r"standing=(out|in)", line)
            if found:
                out[found.group(1)] = found.group(2) == "out"
                least = min(least, 6 - sum(out.values()))
                if found.group(1) == "scripts-3" and out["scripts-3"]:
                    times.append(line[11:23])
    return least >= 3, (f"at the least {least} of 6 endpoints in choice, floor "
                        f"3; scripts-3 ejected by "
                        f"{len(times)} of 3 daemons")


def check_config(fleet):
    """Every daemon holds one version, and none went back."""
    names = [n for n in fleet.names if n in fleet.children]
    versions = {fleet.status(n)["config_version"] for n in names}
    back = 0
    for name in fleet.names:
        seen = [int(v) for v in re.findall(
            r"\[config\] Takes over version (\d+)", requests_on(fleet, name))]
        back += sum(1 for a, b in zip(seen, seen[1:]) if b < a)
    return (len(versions) == 1 and back == 0,
            f"version {sorted(versions)} on {len(names)} daemons, "
            f"{back} steps back")


def main():
    folder = tempfile.mkdtemp(prefix="sapphirelane-demo-")
    fleet = Fleet(folder)
    try:
        print("Starting stand-ins and three daemons.")
        keys = prepare(fleet)
        plan = fleet.folder / "plan.yaml"
        write_plan(fleet, plan, keys)
        print(f"Callers run for {SECONDS} s; logs are in {folder}.")
        timeline = Timeline(fleet)
        faults = threading.Thread(target=timeline.run)
        faults.start()
        # A stopped daemon takes no connections: a balancer would know.
        callers = subprocess.run(
            [BIN / "standin-callers", "--plan", plan,
             "--out", fleet.folder / "callers.json",
             "--samples", fleet.folder / "samples.csv"],
            capture_output=True, text=True)
        faults.join()
        time.sleep(5)
        print("\n" + callers.stdout + callers.stderr)
        held = callers.returncode == 0
        checks = [
            ("ejection never pushes healthy capacity below the floor",
             check_ejection(fleet)),
            ("a leaving endpoint gets no new work after 3 s",
             (lambda n: (n == 0, f"{n} requests after that"))(
                 upstream_stats(19500, 19502)["work_since_fault"])),
            ("a planned stop cuts off no request",
             (timeline.stop_code == 0,
              f"exit code {timeline.stop_code}; "
              + ("log says that none was cut off" if
                 "no request cut off" in requests_on(fleet, "entry-2")
                 else "log does not say so"))),
            ("an accepted configuration is in force everywhere, never reverts",
             check_config(fleet))]
        for promise, (good, evidence) in checks:
            held = held and good
            print(f"{'held    ' if good else 'BROKEN  '}{promise}: {evidence}")
        print("\nEvery promise held." if held else "\nA promise was broken.")
        return 0 if held else 1
    finally:
        fleet.close()


if __name__ == "__main__":
    sys.exit(main())
