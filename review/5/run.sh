#!/bin/sh
# Quick changes of a configuration with many routes while the process that watches the store is killed.
# TROUBLE=0 leaves the kill out.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/standin-2 5 review/5/record.txt
