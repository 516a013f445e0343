#!/bin/sh
# Runs the case against the programs of the deploy file's build, after review/build.sh. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
folder=$(mktemp -d) || exit 2
target/review/release/grebeusher-review-standin foreign-route target/release/grebeusher-tier review/2 "$folder" &
driver=$!
trap 'kill $driver 2>/dev/null' INT TERM
wait $driver
code=$?
# Of a driver that was ended before it could end the others.
for pid in $(cat "$folder/pids" 2>/dev/null); do kill -9 "$pid" 2>/dev/null; done
rm -rf "$folder"
exit $code
