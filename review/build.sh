#!/bin/sh
# Builds the stand-ins of the review's scripts with the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for main in review/[1-5]/main.rs; do
	[ -e "$main" ] || continue
	number=$(basename "$(dirname "$main")")
	rustc --edition 2021 -O --crate-name "review_case_$number" -o "target/review/case-$number" "$main"
done
