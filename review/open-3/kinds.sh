#!/usr/bin/env bash
# Plays the script of kinds.txt and writes record.txt. Exit code 1: the rule was broken, 0: it held, 2: the script could not run.
# TROUBLE=0 leaves the crashes out.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-3 kinds "$PWD" review/open-3/record.txt
