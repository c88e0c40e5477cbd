#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are Python programs, so this only checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
for file in standins-2/*.py [6-9]/*.py 10/*.py; do
  [ -e "$file" ] || continue
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
