#!/bin/bash
# Builds the stand-in that the scripts of the cases from 11 on start, into target/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -tags review3 -o target/review-standin-3 ./review/standin-3
