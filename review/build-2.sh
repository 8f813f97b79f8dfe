#!/bin/sh
# The stand-ins of review/4 to review/8 are plain Node.js without dependencies: nothing is generated, only checked.
set -eu
cd "$(dirname "$0")/.."
for file in review/stand-ins-2/*.cjs review/[4-8]/*.cjs; do
  [ -e "$file" ] || continue
  node --check "$file"
done
