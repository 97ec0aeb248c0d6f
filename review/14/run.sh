#!/bin/sh
# Plays the case; see claim.txt. Exits with 0, 1 or 2.
cd "$(dirname "$0")" || exit 2
exec python3 case.py
