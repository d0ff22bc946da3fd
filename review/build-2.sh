#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. They need its libraries alone.
cd "$(dirname "$0")/.." || exit 2
test -x .venv/bin/python || { echo "the build of deploy/balancer.toml comes first" >&2; exit 2; }
.venv/bin/python -m compileall -q lemonridge/lab review/standins-2 || exit 1
for module in case_lib node proxy platform_lib lemonridge.lab.standins.etcd; do
    PYTHONPATH=".:review/standins-2" .venv/bin/python -c "import $module" || exit 1
done
