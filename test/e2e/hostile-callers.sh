#!/usr/bin/env bash
# Sends requests without end to the listeners of a real sidecar, and checks that its memory stays
# below 60 % of its limit and that it still answers other callers.
set -uo pipefail
cd "$(dirname "$0")/../.."
build=${BUILD:-build}
. scripts/fleet.sh
trap stop_fleet EXIT
trap 'exit 130' INT TERM

ip=$fleet_net.10
memory_limit_mb=256
max_memory_kb=$((memory_limit_mb * 1024 * 60 / 100))
seconds=6
callers_of_a_kind=6
failures=0
fail() {
    echo "FAILED: $*"
    failures=$((failures + 1))
}
memory_kb() { awk '/VmHWM/ { print $2 }' "/proc/${fleet_pids[sidecar]}/status" 2> /dev/null || echo 0; }
status_of() { curl -s -m 20 -o /dev/null -w '%{http_code}' "$@"; }

launch sidecar "$build/cornelhead-sidecar" --data-centre akl-a --service bookings \
    --server "$ip:8085" --outbound "$ip:8080" --inbound "$ip:8082" --readiness "$ip:8081" \
    --control "$ip:8083" --platform "$platform_address" --memory-mb $memory_limit_mb
wait_until 20 curl -s -m 1 "http://$ip:8081/metrics" || fail "the sidecar does not start"

flood() ( # PORT COMMAND...: sends the output of the command, and reads the responses
    exec 9<> "/dev/tcp/$ip/$1" || exit 0
    shift
    cat <&9 > /dev/null 2>&1 &
    timeout $seconds "$@" >&9 2> /dev/null
    kill $! 2> /dev/null
)
chunk_head=$'POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r'
requests_sent_ahead() { yes $'GET /nothing HTTP/1.1\r\nHost: x\r\nCornelhead-Request-Id: 1\r\n\r'; }
chunk_size() { echo "$chunk_head"; yes 1 | tr -d '\n'; }
chunk_extension() { echo "$chunk_head"; echo -n '1;'; yes x | tr -d '\n'; }
large_bodies() { # of which the end is not sent
    printf 'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 8000000\r\n\r\n'
    head -c 7900000 /dev/zero
    sleep $seconds
}
export -f requests_sent_ahead chunk_size chunk_extension large_bodies
export chunk_head seconds

for port in 8080 8081 8082 8083; do
    for kind in requests_sent_ahead chunk_size chunk_extension large_bodies; do
        for ((i = 0; i < callers_of_a_kind; i++)); do
            flood $port bash -c "$kind" &
            fleet_pids["$kind-$port-$i"]=$!
        done
    done
    sleep 0.5
    code=$(status_of -H "Cornelhead-Request-Id: sound-$port" "http://$ip:$port/nothing")
    [ "$code" != 000 ] || fail "no answer on port $port beside hostile callers"
    for name in "${!fleet_pids[@]}"; do
        [[ $name == *-$port-* ]] || continue
        wait "${fleet_pids[$name]}"
        unset "fleet_pids[$name]"
    done
    kill -0 "${fleet_pids[sidecar]}" 2> /dev/null || fail "the sidecar has ended"
    memory=$(memory_kb)
    echo "after port $port: at most $((memory / 1024)) MB"
    [ "$memory" -lt $max_memory_kb ] || fail "memory of $((memory / 1024)) MB after port $port"
done
[ "$(status_of "http://$ip:8081/metrics")" = 200 ] || fail "no metrics"
[ $failures -eq 0 ] || exit 1
