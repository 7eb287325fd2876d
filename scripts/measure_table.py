#!/usr/bin/env python3
"""Prints one table of measures, targets, baselines and results."""
import json
import subprocess
import sys


def find(rows, **wanted):
    return next(r for r in rows
                if all(r[k] == v for k, v in wanted.items()))


def rows_of(policy, processes):
    gray = policy["gray"]
    ours = find(gray, ejector="peer-comparison")
    base = find(gray, ejector="consecutive-failures")
    probe = find(gray, ejector="probe-only")
    yield ("gray endpoint out of choice, median", "<= 2 s",
           f"{base['median_s']:.2f} s; probe-only {probe['median_s']:.0f} s",
           f"{ours['median_s']:.2f} s", ours["median_s"] <= 2)
    yield ("gray endpoint out of choice, p99", "<= 5 s",
           f"{base['p99_s']:.2f} s", f"{ours['p99_s']:.2f} s",
           ours["p99_s"] <= 5)
    for key, name in (("mistakes", "at 50% load"),
                      ("mistakes_at_90", "at 90% of slots")):
        ours, base = (sum(r["mistakes"] for r in policy[key]
                          if r["ejector"] == ejector)
                      for ejector in ("peer-comparison", "fixed-latency"))
        yield (f"healthy ejected in 4 hours {name}", "0", base, ours, ours == 0)
    ours = find(policy["flapping"],
                ejector="peer-comparison")["work_in_sick_phases"]
    base = find(policy["flapping"],
                ejector="consecutive-failures")["work_in_sick_phases"]
    yield ("work sent into sick phases", "baseline / 5", base, ours,
           ours * 5 <= base)
    free = find(policy["reads"], fault=False)
    hedge = find(policy["reads"], fault=True, hedging="hedge")
    none = find(policy["reads"], fault=True, hedging="none")
    ratio = hedge["p99_ms"] / free["p99_ms"]
    yield ("read p99, one stalled, against fault-free", "<= 1.5x",
           f"{none['unanswered']} unanswered without hedge", f"{ratio:.2f}x",
           ratio <= 1.5)
    extra = hedge["attempts_per_request"] - 1
    yield ("extra load of hedging", "< 5%", "0%", f"{extra:.1%}", extra < 0.05)
    fair = find(policy["fairness"], queue="fair", aggressor=5)
    alone = find(policy["fairness"], queue="fair", aggressor=0)
    first = find(policy["fairness"], queue="first-come", aggressor=5)
    share = fair["worst_goodput"] / alone["worst_goodput"]
    yield ("worst-served account while another sends 5x", ">= 99% of alone",
           f"{first['worst_goodput']:.1%}", f"{share:.1%}", share >= 0.99)
    ours = find(policy["limits"], kind="holder")["share"]
    base = find(policy["limits"], kind="static")["share"]
    yield ("refused within rate, fault-free", "<= 0.1%", f"{base:.1%}",
           f"{ours:.3%}", ours <= 0.001)
    ours = find(policy["outage"], retry="budget")["attempts_per_request"]
    base = find(policy["outage"], retry="fixed-attempts")
    yield ("attempts per request in a full outage", "<= 1.2",
           base["attempts_per_request"], ours, ours <= 1.2)
    ours = find(policy["run_once"], claims=True)["run_twice"]
    base = find(policy["run_once"], claims=False)["run_twice"]
    yield ("run-once actions run twice", "0", base, ours, ours == 0)
    for row in processes["latency"]:
        added = row["through_p99_ms"] - row["direct_p99_ms"]
        yield (f"added p99 at {row['rate']} requests/s, one daemon",
               "<= 5.9 ms", f"direct {row['direct_p99_ms']:.1f} ms",
               f"{added:.1f} ms", added <= 5.9)
    for row in processes["fleet"]:
        worst = max(row["force_s"])
        name = f"{row['daemons']} daemons"
        yield (f"change in force, {name}", "<= 3 s", "-", f"{worst:.2f} s",
               worst <= 3)
        yield (f"control bytes sent/s, {name}", "<= 6 KB", "-",
               f"{row['sent_mean'] / 1024:.2f} KB mean, "
               f"{row['sent_max'] / 1024:.2f} max",
               row["sent_max"] <= 6 * 1024)
        yield (f"idle processor share, {name}", "<= 2.4%", "-",
               f"{row['cpu_mean']:.2%} mean, {row['cpu_max']:.2%} max",
               row["cpu_max"] <= 0.024)
        yield (f"resident memory, {name}", "<= 256 MB", "-",
               f"{row['rss_mb_max']:.0f} MB", row["rss_mb_max"] <= 256)
    for row in processes["holder"]:
        share = row["refused_within_rate"] / row["sent"]
        bound = 0.01 if row["fault"] in ("kill", "pause") else 0.001
        yield (f"refused within rate, holder: {row['fault']}",
               f"<= {bound:.1%}", "-", f"{share:.2%} of {row['sent']}",
               share <= bound)
        worst = row["worst_account"]
        yield (f"worst account's refused, holder: {row['fault']}",
               f"<= {bound:.1%}", "-", f"{worst:.2%}", worst <= bound)
        yield (f"promises broken, holder: {row['fault']}", "0", "-",
               len(row["broken"]), not row["broken"])


def plot(processes):
    """Draws control cost against the number of daemons."""
    with open("out/fleet.dat", "w") as stream:
        for row in processes["fleet"]:
            stream.write(f"{row['daemons']} {row['sent_mean']} "
                         f"{row['cpu_mean'] * 100} {max(row['force_s'])}\n")
    subprocess.run(["gnuplot", "-e",
                    "set terminal png size 800,500; set output 'out/fleet.png';"
                    "set xlabel 'daemons'; set key left;"
                    "plot 'out/fleet.dat' using 1:($2/1024) with linespoints "
                    "title 'control KB/s sent by a daemon', "
                    "'' using 1:3 with linespoints title 'processor %', "
                    "'' using 1:4 with linespoints title 'seconds to force'"],
                   check=False)


def main():
    policy = json.load(open(sys.argv[1]))
    processes = json.load(open(sys.argv[2]))
    json.dump({"policy": policy, "processes": processes},
              open(sys.argv[3], "w"), indent=2)
    print(f"{'measure':48} {'target':16} {'baseline':32} {'ours':28} met")
    for name, target, baseline, ours, met in rows_of(policy, processes):
        print(f"{name:48} {target:16} {str(baseline):32} {str(ours):28} "
              f"{'yes' if met else 'NO'}")
    plot(processes)


if __name__ == "__main__":
    main()
