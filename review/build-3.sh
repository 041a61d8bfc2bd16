#!/usr/bin/env bash
# Builds the stand-ins and the driver of review/open-3/kinds.sh into target/. It needs Go and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
for file in review/harness-3/*.txt; do
	cp "$file" "$folder/$(basename "$file" .txt)"
done
mkdir -p target
out=$PWD/target/review-3
cd "$folder"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o "$out" .
