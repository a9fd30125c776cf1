#!/usr/bin/env bash
# Measures what an idle call controller's event loop costs: its thread's processor time and voluntary switches per second.
#   bench/idle-loop.sh ROOT SECONDS    ROOT is a checkout whose jar is built; run two side by side to compare them
set -euo pipefail
root=$(cd "$1" && pwd)
seconds=$2
warm_up_seconds=8
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
sed 's/"127.0.0.1:5060"/"127.0.0.1:0"/' "$root/example/config.json" > "$work/config.json"
cd "$root"
RELAY_CONFIG="$work/config.json" java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xshare:auto \
    -XX:SharedArchiveFile=daemon/target/pathlane.jsa -Xms32m -Xmx64m -jar daemon/target/pathlane.jar serve 2> "$work/log" &
program=$!
sleep "$warm_up_seconds"
loop=$(dirname "$(grep -lE 'multiThreadIo' /proc/"$program"/task/*/comm | head -n 1)")
sample() {
    awk '{ printf "%d ", $1 / 1000 }' "$loop/schedstat"
    awk '/^voluntary_ctxt_switches/ { print $2 }' "$loop/status"
}
read -r cpu_before switches_before <<< "$(sample)"
sleep "$seconds"
read -r cpu_after switches_after <<< "$(sample)"
echo "loop_cpu_us_per_s=$(((cpu_after - cpu_before) / seconds)) voluntary_switches_per_s=$(((switches_after - switches_before) / seconds))"
kill "$program"
wait "$program" || true
