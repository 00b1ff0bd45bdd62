#!/bin/sh
# Plays the case: exit code 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/wharfplatform ] || [ ! -x target/standin2 ]; then
  echo "build the programs first: the line in deploy/system.toml, and review/build-2.sh"
  exit 2
fi
exec target/standin2 leave review/10
