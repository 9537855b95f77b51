#!/bin/sh
# The stand-ins of the cases need no build: standin.py runs with Python 3.11 and its standard library alone.
# The cases start the program that the deploy file names, target/release/rockwick.
cd "$(dirname "$0")/.." || exit 2
test -x target/release/rockwick || cargo build --release --workspace --offline
