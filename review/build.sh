#!/bin/sh
# Builds the stand-ins of the scripts: one program, which needs the standard library only. Its
# sources end in .txt, so that they are no part of the project's modules and checks.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
for f in review/harness/*.txt; do
	cp "$f" "$dir/$(basename "$f" .txt)"
done
(cd "$dir" && GOWORK=off GOTOOLCHAIN=local go build -buildvcs=false -o review-harness .)
mv "$dir/review-harness" target/review-harness
