#!/bin/bash
# Builds the stand-ins that the scripts of review/11 to review/15 start. Needs the build of deploy/system.toml, whose
# transport library they use.
set -eu
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"

build() {
    local program=$1
    shift
    g++ -std=c++20 -O1 -w -I. -o "$out/$program" "$@" tests/standin/StandinTask.cpp tests/standin/JsonHttp.cpp \
        target/transport/libtransport.a -lgflags -lmicrohttpd -lcurl -lev -lprometheus-cpp-core -labsl_strings \
        -labsl_raw_logging_internal -lpthread
}

build standin_store tests/standin/storeMain.cpp tests/standin/KeyedStoreTask.cpp tests/standin/KeyedLog.cpp &
store=$!
build standin_batch_runner tests/standin/batchRunnerMain.cpp tests/standin/BatchRunnerHostTask.cpp \
    tests/standin/BatchRunner.cpp
wait $store
