#!/bin/sh
# Builds the programs of the cases, with their stand-ins, into build-review/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build-review
compile() {
    g++ -std=c++20 -O1 -I. -pthread -c "$1" -o "build-review/$2.o"
}
objects=
for name in review/support/Http review/support/Store review/support/Runner review/support/Cluster \
    tests/process/BlockingHttp tests/process/ChildProcess tests/process/FreePorts tests/process/TemporaryFolder; do
    object=$(basename "$name")
    compile "$name.cpp" "$object"
    objects="$objects build-review/$object.o"
done
for source in review/[0-9]/Case.cpp; do
    number=$(basename "$(dirname "$source")")
    compile "$source" "Case$number"
    # shellcheck disable=SC2046,SC2086
    g++ -pthread "build-review/Case$number.o" $objects $(pkg-config --libs libcurl) -o "build-review/case$number"
done
