#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
PYTHONPATH=.. PYTHONDONTWRITEBYTECODE=1 exec python3 case.py
