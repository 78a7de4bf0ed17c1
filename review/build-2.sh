#!/usr/bin/env bash
# Builds the stand-ins of the second review to target/review-2/. The program of the deploy file is built before.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/ ./review/standin-2
