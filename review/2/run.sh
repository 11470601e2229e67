#!/usr/bin/env bash
# Plays the case many-ends. See claim.txt; exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
folder=$(cd "$(dirname "$0")" && pwd)
exec bash "$folder/../run-case.sh" many-ends "$folder"
