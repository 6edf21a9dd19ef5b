#!/bin/bash
# Builds the stand-ins of the scripted cases of review 3. Run it in the repository root, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o target/review-3 ./review/cases3
