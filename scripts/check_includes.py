#!/usr/bin/env python3
"""Checks that modules include only modules above them in the order below."""
import pathlib
import re
import sys

ORDER = ["base", "logs", "config", "wire", "store", "routing", "admission",
         "claims", "membership", "relay", "kernel", "proxy", "programs"]
ROOT = pathlib.Path(__file__).resolve().parent.parent
INCLUDE = re.compile(r'#include "sapphirelane/([a-z_]+)/')


def faults():
    for folder in ("include/sapphirelane", "src/sapphirelane"):
        for path in sorted((ROOT / folder).rglob("*")):
            if path.suffix not in (".h", ".cpp"):
                continue
            module = path.relative_to(ROOT / folder).parts[0]
            for number, line in enumerate(path.read_text().splitlines(), 1):
                found = INCLUDE.match(line)
                if not found:
                    continue
                used = found.group(1)
                if used not in ORDER or ORDER.index(used) > ORDER.index(module):
                    yield f"{path.relative_to(ROOT)}:{number}: " \
                          f"{module} must not include {used}"


FOUND = list(faults())
print("\n".join(FOUND) if FOUND else "include direction: clean")
sys.exit(1 if FOUND else 0)
