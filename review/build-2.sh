#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10 into target/review-2. They
# use the standard library only. The programs come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/review-2 review/tools-2/cases.rs
