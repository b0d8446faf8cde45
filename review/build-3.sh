#!/bin/sh
# Builds what the scripts of review/11 to review/15 start: the project's
# stand-ins and, into build/review, the programs of the cases.
set -e
cd "$(dirname "$0")/.."
make -s -j4 build/release/bin/fake_store build/release/bin/process/demo_site
packages="libevent msgpack glib-2.0 yaml-0.1 jansson libxxhash"
objects=$(find build/release/tests/harness build/release/src/base \
  build/release/src/generated build/release/src/decide -name '*.o')
mkdir -p build/review
for source in review/1[1-5]/case.c
do
  [ -f "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  gcc -std=gnu11 -O2 -g -Wall -Wextra -Wno-unused-result -D_GNU_SOURCE \
    -Isrc -I. -Itests -Ireview/11 $(pkg-config --cflags $packages) \
    "$source" $objects -o "build/review/case-$number" \
    $(pkg-config --libs $packages) -lhttp_parser -lm -lpthread
done
