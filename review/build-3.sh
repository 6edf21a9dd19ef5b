#!/bin/bash
# Builds the stand-ins that the scripts of cases 12 to 15 start. The build line of deploy/system.toml builds the programs themselves.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o target/review-3 ./review/12/standins
