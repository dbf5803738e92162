#!/usr/bin/env bash
# With TROUBLE=0 the case is played without its disruption.
export TROUBLE="${TROUBLE:-1}"
exec python3 "$(dirname "$0")/case.py"
