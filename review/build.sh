#!/usr/bin/env bash
# The stand-ins of the scripts are plain JavaScript modules, so there is nothing to compile; this only checks that they parse.
set -euo pipefail
cd "$(dirname "$0")"
for file in harness/*.mjs [0-9]/*.mjs; do node --check "$file"; done
