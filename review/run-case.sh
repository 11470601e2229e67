#!/usr/bin/env bash
# Plays a case: run-case.sh CASE FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't
# run. review/build.sh and the build of the deploy file come first.
set -u
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/.."
timeout --signal=TERM --kill-after=4 114 target/review/runner "$1" "$PWD" "$folder"
result=$?
case $result in
  0 | 1) exit $result ;;
  *) exit 2 ;;
esac
