#!/bin/sh
# Builds the stand-ins of the scripts: one program, which needs the standard library only.
set -e
cd "$(dirname "$0")/harness"
GOWORK=off GOTOOLCHAIN=local go build -buildvcs=false -o ../../target/review-harness .
