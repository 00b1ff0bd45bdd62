#!/bin/sh
# Builds the stand-in that the scripts of the second review start, into target/. The program
# under test is built by the line in deploy/system.toml.
set -eu
cd "$(dirname "$0")/standin-2"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/standin2 .
