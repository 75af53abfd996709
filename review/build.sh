#!/bin/sh
# Builds the stand-ins and scripts of the review's cases; needs no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc -O --edition 2021 review/standin.rs -o target/review/standin
