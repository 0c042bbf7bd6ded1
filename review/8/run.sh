#!/bin/sh
# A change of the configuration in which one route has priority 1,000.
# TROUBLE=0 gives that route priority 0.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/standin-2 8 review/8/record.txt
