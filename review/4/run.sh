#!/bin/sh
# Exits with 1 if a rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
exec env PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps python3 review/4/play.py
