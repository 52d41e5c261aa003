#!/usr/bin/env bash
# The scripts' own stand-ins need only python3; the store's stand-in is the project's own,
# which the build of the deploy file puts into target/deps. This makes sure that it is there.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -c "import fuchsiaspool.commands.standin, fuchsiaspool.commands.sidecar" || {
  echo "run the build of deploy/system.toml first" >&2
  exit 1
}
python3 -c "import sys; sys.exit(sys.version_info < (3, 11))"
