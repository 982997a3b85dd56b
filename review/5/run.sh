#!/usr/bin/env bash
# Runs the case; TROUBLE=0 runs it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
TROUBLE="${TROUBLE:-1}" exec target/review/stand stream review/5
