#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. claim.txt says what is played.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/pinelb ] && [ -x target/review-standins ] || { echo "build first" >&2; exit 2; }
exec target/review-standins last-tenant review/3/record.txt
