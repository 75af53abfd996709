#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. It needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standin-2 review/standin-2.rs
