#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. The program itself is built as the deploy file says.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standins.new ./review/standins
mv target/review-standins.new target/review-standins

