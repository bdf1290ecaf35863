#!/bin/sh
# Builds the stand-ins of this review. They are Python scripts without dependencies (python3 is in packages.txt),
# so nothing is compiled: their syntax is checked. Run it after the build of deploy/system.toml.
cd "$(dirname "$0")/.." || exit 2
PYTHONDONTWRITEBYTECODE=1 python3 - review/fleet.py review/*/case.py <<'EOF'
import ast
import sys

for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        ast.parse(file.read(), name)
    print("checked", name)
EOF
