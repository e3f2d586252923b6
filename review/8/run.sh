#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case-8 ] || exit 2
exec target/review-2/case-8 review/8/record.txt
