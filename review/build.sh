#!/bin/sh
# Builds the stand-ins of all cases: one program that uses the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/harness review/harness/main.rs
