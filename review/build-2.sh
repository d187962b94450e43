#!/bin/sh
# Builds the stand-in that the scripts of the review start: the project's store.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline -p cowslipwing-standin
