#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start. The build line of deploy/system.toml builds the programs themselves.
set -e
cd "$(dirname "$0")/.."
go build -tags review2 -o target/review-standins-2 ./review/6/standins
