#!/bin/sh
# Checks that the stand-ins of the cases 6 to 10 are readable by the runtime. They need no build and no dependency.
set -e
cd "$(dirname "$0")"
for file in lib-2/*.mjs */case.mjs; do
    node --check "$file"
done
