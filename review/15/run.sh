#!/bin/sh
# Plays the case of this folder; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" && exec python3 case.py
