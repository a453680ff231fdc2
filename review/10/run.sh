#!/usr/bin/env bash
# Plays the case and writes record.txt.  TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
export PYTHONDONTWRITEBYTECODE=1
python3 case.py &
pid=$!
trap 'kill -TERM "$pid" 2>/dev/null' TERM INT HUP
wait "$pid"
status=$?
while kill -0 "$pid" 2>/dev/null; do
  wait "$pid"
  status=$?
done
# The processes of the case are one group; none is left unless it was killed.
kill -KILL -- "-$pid" 2>/dev/null
case $status in
  10) exit 0 ;;
  11) exit 1 ;;
  *) exit 2 ;;
esac
