#!/usr/bin/env bash
# Runs the program of one case for run.sh, which names the folder and, as $RECORD, its record.txt.
set -u
folder=$1
cd "$folder/../.." || exit 2
program=build/review/case-$(basename "$folder")
RUN_COMMAND=$(sed -n 's/^run *= *"\(.*\)"[^"]*$/\1/p' deploy/balancer.toml)
[ -x "$program" ] && [ -x build/brookrelay ] && [ -n "$RUN_COMMAND" ] || {
  echo "not played: build the project and run review/build.sh first" | tee "$RECORD" >&2
  exit 2
}
WORK_FOLDER=$(mktemp -d) || exit 2
trap 'rm -rf "$WORK_FOLDER"' EXIT
export RUN_COMMAND WORK_FOLDER
# Nodes end with the program that started them, however it ends.
timeout -k 2 115 "$program" &
child=$!
trap 'kill "$child" 2>/dev/null' TERM INT HUP
wait "$child"
status=$?
if kill -0 "$child" 2>/dev/null; then
  wait "$child"
  status=2
fi
case $status in
  0 | 1) exit "$status" ;;
  *) exit 2 ;;
esac
