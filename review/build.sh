#!/usr/bin/env bash
# The stand-ins are Python scripts that use the standard library alone: there is nothing to build.
# The controllers are built with the command of deploy/service.toml.
set -euo pipefail
command -v python3 >/dev/null || { echo "python3 (3.10 or newer) is needed"; exit 2; }
python3 -c 'import sys; sys.exit(sys.version_info < (3, 10))'
