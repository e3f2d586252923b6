#!/bin/sh
# Builds the stand-ins of all cases into review/bin.
set -e
cd "$(dirname "$0")/.."
for case in review/[0-9]; do
    if ls "$case"/*.go >/dev/null 2>&1; then
        go build -o "review/bin/case-$(basename "$case")" "./$case"
    fi
done
