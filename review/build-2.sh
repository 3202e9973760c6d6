#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 and later start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-2 ./review/standin-2/platform/*.go
