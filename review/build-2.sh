#!/bin/sh
# Builds the stand-ins and the programs of the scripted cases 6 to 10 into build-review-2/. Run it after the build of the
# deploy file, whose daemon the cases start.
set -eu
cd "$(dirname "$0")/.."
cmake -S review/support-2 -B build-review-2 -DCMAKE_BUILD_TYPE=Release > /dev/null
cmake --build build-review-2 -j6
