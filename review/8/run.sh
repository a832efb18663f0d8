#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: the same
# without the disruption.
cd "$(dirname "$0")/../.." || exit 2
case=8
[ -x build/review-2/case-$case ] && [ -x target/build/bin/godwithitchd ] || exit 2
RIG_FOLDER=$(mktemp -d) || exit 2
export RIG_FOLDER
build/review-2/case-$case review/$case/record.txt &
pid=$!
trap 'kill $pid; wait $pid; rm -rf "$RIG_FOLDER"; exit 2' HUP INT TERM
wait $pid
result=$?
rm -rf "$RIG_FOLDER"
exit $result
