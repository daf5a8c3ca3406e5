#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They are scripts, so that there is nothing to compile: this only checks that they can be read.
set -e
cd "$(dirname "$0")"
for n in common-3 11 12 13 14 15; do
    [ -d "$n" ] || continue
    for it in "$n"/*.py; do
        [ -e "$it" ] && python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$it"
    done
done
