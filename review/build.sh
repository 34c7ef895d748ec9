#!/usr/bin/env bash
# Builds the driver of each case with its stand-ins, into target/review. Needs the build of the
# deploy file, whose libraries hold the project's HTTP client and server, and none but its packages.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[0-9]*/case.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -DASIO_STANDALONE -DASIO_NO_DEPRECATED -DMSGPACK_NO_BOOST \
    -DSPDLOG_FMT_EXTERNAL -Isrc -Ireview/standins "$source" -o "target/review/case-$number" \
    target/libvioletpulley_shell.a target/libvioletpulley_core.a \
    -lhttp_parser -lspdlog -lfmt -lpthread &
done
for job in $(jobs -p); do wait "$job"; done
