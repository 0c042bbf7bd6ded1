#!/bin/sh
# Four entries of another writer with long names, then a change of the configuration that adds 351 routes.
# TROUBLE=0 leaves the entries out.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/standin-2 5 review/5/record.txt
