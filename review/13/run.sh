#!/bin/sh
# Plays the case; see claim.txt. Exits with 0, 1 or 2. TROUBLE=0 leaves the
# disruption out; ../rig-3/rig.py hands the choice to case.py.
cd "$(dirname "$0")" || exit 2
TROUBLE="${TROUBLE:-1}" exec python3 case.py
