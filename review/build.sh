#!/usr/bin/env bash
# Builds the stand-ins of the scripts into target/review, with the compiler and its
# standard library alone. The programs of the deploy file are built by its own command.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for main in review/*/main.rs; do
  case="$(basename "$(dirname "$main")")"
  rustc --edition 2024 -O -o "target/review/case-$case" "$main"
done
