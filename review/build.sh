#!/bin/sh
# The stand-ins of the scripts are plain JavaScript for Node.js and need no build; this only looks at their syntax.
set -eu
cd "$(dirname "$0")"
for file in lib/*.mjs */run.mjs; do node --check "$file"; done
