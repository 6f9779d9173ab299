#!/usr/bin/env bash
# Runs a case: run-case.sh FOLDER TEST. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
root=$(cd "$(dirname "$0")/.." && pwd)
for program in "$root/target/hickorypath" "$root/review/bin/cases"; do
  if [ ! -x "$program" ]; then
    echo "$program is missing; run the build of deploy/system.toml and review/build.sh"
    exit 2
  fi
done
CASE="$1" ROOT="$root" "$root/review/bin/cases" -test.run "^$2\$" -test.timeout 110s &
trap 'kill -TERM $!' TERM INT # the case ends its processes
wait $!
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
