#!/bin/sh
# Builds what the scripts of the review start, into target/: the project's own
# stand-ins, and the drivers of the cases.  Run after the build of
# deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
make -s -j4 BUILD=target bin=target programs target/fake_store \
  target/fake_upstream
mkdir -p target/review
packages="glib-2.0 jansson"
for source in review/[1-5]/case.c; do
  [ -f "$source" ] || continue
  n=$(basename "$(dirname "$source")")
  # shellcheck disable=SC2046
  gcc -std=gnu11 -O2 -g -Wall -Wextra -D_GNU_SOURCE -Isrc -Itests -Ireview/rig \
    $(pkg-config --cflags $packages) -o "target/review/case-$n" "$source" \
    review/rig/rig.c tests/harness/proc.c tests/harness/web.c \
    $(pkg-config --libs $packages) -lpthread
done
