#!/bin/sh
# Builds the stand-ins of the review's cases. They are Python of the standard library and need no build but to
# be compiled once, which shows that this machine's Python can read them. Run it from any folder, after the
# build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 .venv/bin/python - <<'PYTHON'
import pathlib
for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
PYTHON
