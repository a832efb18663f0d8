#!/bin/sh
# Builds the stand-ins and the scripts' programs of the second review, with the C compiler alone.
cd "$(dirname "$0")/.." || exit 1
out=build/review-2
mkdir -p $out || exit 1
for case in 6 7 8 9 10; do
	[ -f review/$case/case.c ] || continue
	gcc -std=gnu11 -D_GNU_SOURCE -O1 -g -Wall -Wextra -pthread -I. \
		-o $out/case-$case review/rig*.c review/$case/case.c || exit 1
done
