#!/usr/bin/env bash
# Plays this case and writes record.txt beside this script: what was sent, answered and run. Exit codes: 0 the rule
# held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves the disruption out.
set -u
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
export RECORD="$folder/record.txt"
echo "not played" >"$folder/record.txt" || exit 2
exec "$folder/../standin/run-case.sh" "$folder"
