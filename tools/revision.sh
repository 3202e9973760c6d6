#!/bin/sh
# Prints the revision of the source: the commit, with "-dirty" if tracked files differ from
# it, or, outside of a checkout, a digest of the source files. "revision.sh --digest" prints
# the digest in any case, to compare it with that of a commit.
cd "$(dirname "$0")/.." || exit 1
if [ "$1" != --digest ] && [ -z "$(git rev-parse --show-prefix 2>&1)" ]; then
  git describe --always --dirty --abbrev=12 --exclude '*' 2>/dev/null && exit
fi
printf 'source-'
find go.work platform policy server -type f \( -name '*.go' -o -name 'go.*' \) ! -name '*_test.go' |
  LC_ALL=C sort | xargs cat | sha256sum | cut -c 1-12
