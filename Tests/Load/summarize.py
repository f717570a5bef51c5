#!/usr/bin/env python3
"""Table of the runs of compare.sh: mean and half the range over the seeds.

Usage: summarize.py FILE
"""
import json
import sys

MEASURES = [
    ("interactive first token p50, s", ("interactive_first", "p50")),
    ("interactive first token p95, s", ("interactive_first", "p95")),
    ("interactive first token p99, s", ("interactive_first", "p99")),
    ("review first token p95, s", ("batch_first", "p95")),
    ("order p95, s", ("order", "p95")),
    ("between tokens p95, s", ("token_gap", "p95")),
    ("worst account p95, s", ("worst_account_p95",)),
    ("worst account completed", ("worst_account_completed_share",)),
    ("share sent to another region", ("remote_share",)),
    ("bytes across regions, MB", ("link_bytes",)),
    ("computed prompt tokens, part", ("prefilled_share",)),
    ("not completed", ("not_completed_share",)),
    ("refused though within rate", ("refused_within_rate_share",)),
]


def value(run, path):
    for name in path:
        run = run[name]
    return run / 1e6 if path == ("link_bytes",) else run


def cell(runs, path):
    values = [value(run, path) for run in runs]
    mean = sum(values) / len(values)
    return f"{mean:.3f} ± {(max(values) - min(values)) / 2:.3f}"


def main():
    with open(sys.argv[1], encoding="utf-8") as lines:
        runs = [json.loads(line) for line in lines]
    policies = sorted({run["policy"] for run in runs})
    print("| measure |", " | ".join(policies), "|")
    print("|---" * (len(policies) + 1) + "|")
    for name, path in MEASURES:
        cells = [cell([r for r in runs if r["policy"] == p], path)
                 for p in policies]
        print(f"| {name} |", " | ".join(cells), "|")
    for title, key in (("Ends", "ends"), ("Decisions", "decisions")):
        print(f"\n{title}, all seeds:\n")
        for policy in policies:
            total = {}
            for run in runs:
                if run["policy"] == policy:
                    for name, count in run[key].items():
                        total[name] = total.get(name, 0) + count
            text = ", ".join(f"{k} {v}" for k, v in sorted(total.items()))
            print(f"- {policy}: {text}")


main()
