#!/bin/sh
# The stand-ins of the cases are scripts that the runtime of the deploy file runs as they are; this checks that it reads
# them and that the gateway has been built.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do
    node --check "$file"
done
test -f ../target/fescue-gateway.cjs
