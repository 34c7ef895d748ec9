#!/usr/bin/env bash
# Case 3, see claim.txt. TROUBLE=0 does the same without the disruption.
exec bash "$(dirname "${BASH_SOURCE[0]}")/../standins/run-case.sh" 3
