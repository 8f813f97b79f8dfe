#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: the names of the parts have 8 hex digits, not 128.
cd "$(dirname "$0")/../.." || exit 2
exec node review/5/run.cjs
