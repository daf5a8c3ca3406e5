#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are Python programs of the standard library, so that a check of
# their syntax is all there is to do. The programs of the project come from the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")"
for it in common/*.py [1-5]/*.py; do
    [ -e "$it" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$it"
done
[ -x ../target/bin/kumquathavend ] || echo "note: target/bin/kumquathavend is missing; run the build of deploy/system.toml"
