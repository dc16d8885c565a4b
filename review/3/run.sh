#!/bin/sh
# Runs case 3 (claim.txt). Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/review/case-3 ] && [ -x target/release/frostthread ] || exit 2
exec target/review/case-3 "$folder"
