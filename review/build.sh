#!/usr/bin/env bash
# The stand-ins are Python, of the standard library alone: nothing is to be built.
set -eu
python3 -c 'import sys; sys.exit(sys.version_info < (3, 8))'
