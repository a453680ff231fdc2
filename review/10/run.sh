#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=. python3 review/10/case.py
case $? in
10) exit 0 ;;
11) exit 1 ;;
*) exit 2 ;;
esac
