#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases: the project's own store, clients and servers, with the review's deployment.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -tags review -o target/review ./review
