#!/usr/bin/env bash
# Plays case 10 against the node that the deploy file builds; see claim.txt. TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x build/brookrelay ] || [ ! -x build/review-2/case-10 ]; then
  echo "needs the build of the deploy file and review/build-2.sh" >&2
  exit 2
fi
folder=$(mktemp -d) || exit 2
TMPDIR=$folder build/review-2/case-10 review/10/record.txt &
play=$!
# The node ends with the play. One that is told to end couldn't run.
trap 'kill -KILL "$play"; wait "$play"; rm -rf "$folder"; exit 2' HUP INT TERM
wait "$play"
code=$?
rm -rf "$folder"
[ "$code" -le 2 ] || code=2
exit "$code"
