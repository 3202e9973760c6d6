#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. The project's own
# program is built before, as deploy/system.toml says.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-stand-2 ./review/stand-2/platform/*.go
go build -o target/review-2 ./review/standin-2/platform/*.go
