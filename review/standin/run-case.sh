#!/usr/bin/env bash
# Runs the program of one case: standin/run-case.sh FOLDER. Exit codes: 0 the rule held, 1 it was broken, 2 the case
# could not run. With TROUBLE=0 the disruption is left out.
set -u
folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/../.." || exit 2
program=build/review/case-$(basename "$folder")
RUN_COMMAND=$(sed -n 's/^run *= *"\(.*\)"[^"]*$/\1/p' deploy/balancer.toml)
[ -x "$program" ] && [ -x build/brookrelay ] && [ -n "$RUN_COMMAND" ] || {
  echo "build the project and run review/build.sh first" >&2
  exit 2
}
WORK_FOLDER=$(mktemp -d) || exit 2
trap 'rm -rf "$WORK_FOLDER"' EXIT
export RUN_COMMAND WORK_FOLDER RECORD="$folder/record.txt"
timeout -k 2 115 "$program"
status=$?
# 124 and 137: it took too long. Nodes end with the program that started them.
case $status in
  0 | 1) exit $status ;;
  *) exit 2 ;;
esac
