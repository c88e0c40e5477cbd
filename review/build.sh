#!/usr/bin/env bash
# The stand-ins are Python programs of the standard library; this checks that they can be run.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins/*.py [1-5]/*.py <<'P'
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
P
