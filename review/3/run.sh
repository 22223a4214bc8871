#!/usr/bin/env bash
exec "$(dirname "$0")/../standin/run-case.sh" "$(dirname "$0")"
