#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this folder start. Run after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/stand review/stand/main.rs
