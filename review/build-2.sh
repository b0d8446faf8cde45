#!/bin/sh
# Builds what the scripts of the second review start, into target/: the
# project's own stand-ins, and the drivers of the cases.  Run after the build of
# deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
make -s -j4 BUILD=target bin=target programs target/fake_store \
  target/fake_upstream
mkdir -p target/review-2
packages="glib-2.0 jansson"
for source in review/[6-9]/case.c review/10/case.c; do
  [ -f "$source" ] || continue
  n=$(basename "$(dirname "$source")")
  # shellcheck disable=SC2046
  gcc -std=gnu11 -O2 -g -Wall -Wextra -D_GNU_SOURCE -Isrc -Itests \
    -Ireview/rig-2 $(pkg-config --cflags $packages) \
    -o "target/review-2/case-$n" "$source" review/rig-2/rig2.c \
    tests/harness/proc.c tests/harness/web.c \
    $(pkg-config --libs $packages) -lpthread
done
