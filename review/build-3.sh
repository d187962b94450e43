#!/bin/sh
# Builds what the scripts of the cases 11 to 15 start beside the programs of the deploy file. Their
# clients and minions are in Python, with its standard library only: `tools-3`, and `case.py` of a case.
set -e
cd "$(dirname "$0")/.."
cargo build --release -p cowslipwing-standin
python3 -B -c 'import ast, glob
for path in glob.glob("review/tools-3/*.py") + glob.glob("review/1[1-5]/case.py"):
    ast.parse(open(path).read(), path)'
