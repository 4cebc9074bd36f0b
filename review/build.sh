#!/bin/sh
# Builds the stand-ins and the drivers of all cases. They need only the standard library.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/cases review/standin/main.rs
