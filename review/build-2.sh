#!/usr/bin/env bash
# Builds the stand-ins of the cases review/4 to review/8 into target/review-2. Needs the packages of
# deploy/service.toml only.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -DASIO_STANDALONE -DSPDLOG_COMPILED_LIB -DSPDLOG_FMT_EXTERNAL
       -I src -I review/standins-2)
for part in http_client http_server; do
  g++ "${flags[@]}" -c "src/net/$part.cpp" -o "$out/$part.o" &
done
wait
pids=()
for source in review/[4-8]/main.cpp; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" "$out/http_client.o" "$out/http_server.o" \
    -o "$out/case-$number" -lhttp_parser -lspdlog -lfmt -pthread &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
