#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
set -uo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
number=$(basename "$folder")
[ -x "target/review/case$number" ] && [ -x target/poplarmoor-sessiond ] || exit 2
REVIEW_TEMP=$(mktemp -d) || exit 2
export REVIEW_TEMP
trap 'rm -rf "$REVIEW_TEMP"' EXIT
timeout -k 5 115 "target/review/case$number" "$folder"
status=$?
if [ $status -gt 2 ] && [ -f "$REVIEW_TEMP/pids" ]; then
  xargs -r kill -KILL <"$REVIEW_TEMP/pids" 2>/dev/null
fi
[ $status -le 1 ] || status=2
exit $status
