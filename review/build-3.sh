#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15: one program without dependencies, which plays
# the clients, the servers and the platform.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/cases review/tools-3/cases.rs
