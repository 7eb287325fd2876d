#!/usr/bin/env python3
"""Measures real daemons on loopback and writes JSON."""
import json
import os
import re
import signal
import subprocess
import sys
import tempfile
import time

from fleet import BIN, Fleet, http

SHEET_HEAD = ("kind,id,state,service,address,slots,connections,floor,rate,"
              "burst,path,mode,access,timeout_ms,callers\n")


def sheet(accounts, endpoints=24, slots=50):
    rows = ["service,scripts,,,,,,50,,,,,,,", "service,approvals,,,,,,50,,,,,,,"]
    for i in range(endpoints):
        service = "scripts" if i < endpoints // 2 else "approvals"
        rows.append(f"endpoint,e{i},in-service,{service},"
                    f"127.0.0.1:{19301 + i},{slots},5000,,,,,,,,")
    rows += ["route,scripts,,scripts,,,,,,,/scripts,safe,keyed,3000,",
             "route,approvals,,approvals,,,,,,,/approvals,run-once,keyed,3000,"]
    rows += [f"account,a{i},,,,,,,{rate},{burst},,,,,"
             for i, (rate, burst) in enumerate(accounts)]
    return SHEET_HEAD + "\n".join(rows) + "\n"


def start(daemons, accounts):
    fleet = Fleet(tempfile.mkdtemp(prefix="sapphirelane-measure-"), daemons)
    fleet.start_upstreams("upstreams", 19301, 24, 19300, slots=50,
                          work_ms=5)
    for name in fleet.names:
        fleet.start_daemon(name)
    fleet.await_ready(patience=60)
    path = fleet.folder / "sheet.csv"
    path.write_text(sheet(accounts))
    fleet.ctl("entry-1", "sheet", "apply", path)
    keys = []
    for i in range(len(accounts)):
        out = fleet.ctl("entry-1", "key", "create", f"a{i}", f"k{i}").stdout
        keys.append(re.search(r"^key: (\S+)", out, re.M).group(1))
    time.sleep(4)
    return fleet, keys


def callers(fleet, keys, accounts, seconds, reads, approvals=0.0, entries=None,
            stats=True):
    lines = [f"seconds: {seconds}", "seed: 7",
             "entries: " + json.dumps(
                 entries or [fleet.callers(n) for n in fleet.names])]
    if stats:
        lines.append("upstream_stats: [127.0.0.1:19300]")
    lines.append("accounts:")
    for i, (rate, burst) in enumerate(accounts):
        lines.append(f"  - {{ id: a{i}, key: {keys[i]}, rate: {rate}, "
                     f"burst: {burst}, reads: {reads[i]}, "
                     f"approvals: {approvals} }}")
    plan = fleet.folder / "plan.yaml"
    plan.write_text("\n".join(lines) + "\n")
    out = fleet.folder / "callers.json"
    process = subprocess.Popen(
        [BIN / "standin-callers", "--plan", plan, "--out", out],
        stdout=subprocess.PIPE, text=True)
    return process, out


def result(process, out):
    text = process.communicate()[0]
    data = json.loads(out.read_text())
    return {"accounts": data["accounts"], "exit": process.returncode,
            "broken": [p["promise"] for p in data["promises"]
                       if not p["held"]], "text": text}


def usage(fleet, name):
    """Processor seconds and resident memory of a daemon."""
    pid = fleet.children[name].pid
    fields = open(f"/proc/{pid}/stat").read().rsplit(")", 1)[1].split()
    ticks = int(fields[11]) + int(fields[12])
    memory = int(re.search(r"VmRSS:\s+(\d+)",
                           open(f"/proc/{pid}/status").read()).group(1))
    return ticks / 100, memory / 1024


def sent_bytes(fleet, name):
    text = http("GET", fleet.operators(name), "/metrics")[1]
    return sum(float(v) for v in re.findall(
        r"peer_sent_bytes_total\{[^}]*\} (\S+)", text))


def measure_latency():
    """Time that one daemon adds, against going to the endpoint directly."""
    accounts = [(100000, 100000)]
    fleet, keys = start(1, accounts)
    rows = []
    try:
        for rate in (71, 300, 1000, 2000):
            direct = result(*callers(fleet, keys, accounts, 8, [rate],
                                     entries=["127.0.0.1:19301"],
                                     stats=False))
            through = result(*callers(fleet, keys, accounts, 8, [rate],
                                      stats=False))
            rows.append({
                "rate": rate,
                "direct_p50_ms": direct["accounts"][0]["p50_ms"],
                "direct_p99_ms": direct["accounts"][0]["p99_ms"],
                "through_p50_ms": through["accounts"][0]["p50_ms"],
                "through_p99_ms": through["accounts"][0]["p99_ms"],
                "answered": through["accounts"][0]["answered"],
                "sent": through["accounts"][0]["sent"]})
    finally:
        fleet.close()
    return rows


def time_to_force(fleet):
    """Seconds until every daemon shows a change."""
    begin = time.monotonic()
    fleet.ctl("entry-1", "account", "set", "a0", 100, 100 + begin % 100)
    version = fleet.status("entry-1")["config_version"]
    waiting = set(fleet.names)
    while waiting and time.monotonic() - begin < 15:
        for name in list(waiting):
            text = http("GET", fleet.operators(name), "/metrics")[1]
            found = re.search(r"^sapphirelane_config_version (\S+)", text,
                              re.M)
            if found and float(found.group(1)) >= version:
                waiting.discard(name)
    return time.monotonic() - begin


def measure_fleet(daemons):
    accounts = [(100, 100)] * 4
    fleet, keys = start(daemons, accounts)
    try:
        before = {n: (usage(fleet, n)[0], sent_bytes(fleet, n))
                  for n in fleet.names}
        begin = time.monotonic()
        time.sleep(10)
        length = time.monotonic() - begin
        cpu, sent, memory = [], [], []
        for name in fleet.names:
            used, resident = usage(fleet, name)
            cpu.append((used - before[name][0]) / length)
            sent.append((sent_bytes(fleet, name) - before[name][1]) / length)
            memory.append(resident)
        force = [time_to_force(fleet) for _ in range(3)]
        return {"daemons": daemons, "cpu_mean": sum(cpu) / len(cpu),
                "cpu_max": max(cpu), "sent_mean": sum(sent) / len(sent),
                "sent_max": max(sent), "rss_mb_max": max(memory),
                "force_s": force}
    finally:
        fleet.close()


def measure_holder(fault):
    """Load on 40 daemons while one of them, a holder, is lost for a while."""
    accounts = [(60, 60), (30, 30), (10, 12), (5, 8)]
    fleet, keys = start(40, accounts)
    try:
        others = [fleet.callers(n) for n in fleet.names if n != "entry-3"]
        entries = None if fault == "stop" else others
        process, out = callers(fleet, keys, accounts, 60,
                               [45, 22, 7, 3.5], 2.0, entries)
        time.sleep(5)
        code = None
        if fault == "kill":
            fleet.stop("entry-3", signal.SIGKILL)
        elif fault == "pause":
            fleet.signal("entry-3", signal.SIGSTOP)
            time.sleep(8)
            fleet.signal("entry-3", signal.SIGCONT)
        elif fault == "stop":
            code = fleet.stop("entry-3")
        elif fault == "outage":
            fleet.platform_faults(outage=True)
        data = result(process, out)
        sent = sum(a["sent"] for a in data["accounts"])
        return {"fault": fault, "sent": sent, "exit_code": code,
                "refused_within_rate": sum(a["refused_within_rate"]
                                           for a in data["accounts"]),
                "worst_account": max(a["refused_within_rate"] / a["sent"]
                                     for a in data["accounts"]),
                "unknown": sum(a["unknown"] for a in data["accounts"]),
                "no_answer": sum(a["no_answer"] for a in data["accounts"]),
                "broken": data["broken"],
                "p99_ms": [a["p99_ms"] for a in data["accounts"]]}
    finally:
        fleet.close()


def main():
    """Measures everything, or the parts named after the file's name."""
    path = sys.argv[1]
    parts = sys.argv[2:] or ["latency", "fleet", "holder"]
    results = {}
    if len(sys.argv) > 2 and os.path.exists(path):
        results = json.load(open(path))
    if "latency" in parts:
        results["latency"] = measure_latency()
    if "fleet" in parts:
        results["fleet"] = [measure_fleet(n) for n in (10, 40, 80, 160)]
    if "holder" in parts:
        results["holder"] = [measure_holder(fault) for fault in
                             ("none", "kill", "pause", "stop", "outage")]
    for part in parts:
        for row in results[part]:
            print(part, row, flush=True)
    with open(path, "w") as stream:
        json.dump(results, stream, indent=2)


if __name__ == "__main__":
    main()
