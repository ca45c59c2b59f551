#!/usr/bin/env bash
# Plays a case: play-2.sh CASE FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
root=$(cd "$(dirname "$0")/.." && pwd)
program=$root/review/standins-2/target/release/review-2
if [ ! -x "$program" ]; then
  echo "run review/build-2.sh first"
  exit 2
fi
PIDS=$(mktemp)
export PIDS
"$program" "$1" "$root" "$2/record.txt" &
player=$!
# The program ends its daemons itself, unless it is ended before.
end_all() {
  kill "$player" 2>/dev/null
  while read -r pid; do kill -KILL "$pid" 2>/dev/null; done <"$PIDS"
  rm -f "$PIDS"
  exit 2
}
trap end_all INT TERM
wait "$player"
code=$?
[ "$code" -le 2 ] || end_all
rm -f "$PIDS"
exit "$code"
