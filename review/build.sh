#!/bin/sh
# Builds the stand-ins that the scripts start, after the build of the deploy file: the project's own
# store and the program of each case.
set -e
cd "$(dirname "$0")/.."
make -s -j4 OUT=target/build target/build/bin/storeservice
mkdir -p target/build/review
for case in review/[1-9]/case.c; do
	number=$(basename "$(dirname "$case")")
	gcc -std=gnu11 -D_GNU_SOURCE -Wall -Wextra -O1 -g -I. -o "target/build/review/case$number" \
		"$case" review/stand.c -lpthread
done
