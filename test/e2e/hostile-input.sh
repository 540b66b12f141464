#!/usr/bin/env bash
# Sends malformed input to every listener of real processes, before and after the platform starts,
# and checks that each gets a clear answer and that no process exits.
set -uo pipefail
cd "$(dirname "$0")/../.."
build=${BUILD:-build}
example=paperfold
. scripts/fleet.sh
trap stop_fleet EXIT
trap 'exit 130' INT TERM

failures=0
expect() { # TEXT PATTERN ACTUAL
    if [[ "$3" == $2 ]]; then
        echo "ok: $1"
    else
        echo "FAILED: $1: expected '$2', got '$3'"
        failures=$((failures + 1))
    fi
}

host=only
hosts=("$host")
node_ip[$host]=$fleet_net.10
host_dc[$host]=akl-a
host_service[$host]=catalogue
host_slots[$host]=10
host_connections[$host]=130
fleet_seeds=$fleet_net.10:8082
ip=${node_ip[$host]}

call_outcome() { # CURL ARGUMENTS...: prints "STATUS REASON RUN"
    curl -s -m 20 -D - "$@" | tr -d '\r' |
        awk 'NR == 1 { code = $2 } tolower($1) == "cornelhead-reason:" { reason = $2 }
             tolower($1) == "cornelhead-run:" { run = $2 } END { print code, reason, run }'
}
send_raw() ( # IP PORT BYTES: prints the first line of the answer
    exec 9<> "/dev/tcp/$1/$2" || exit 1
    printf "$3" >&9 2> /dev/null
    timeout 2 head -1 <&9 2> /dev/null | tr -d '\r\0'
)
check_alive() { kill -0 "${fleet_pids[$1]}" 2> /dev/null && echo alive; }
browse_call=(-H "Cornelhead-Customer: public-site" "http://$ip:8080/catalogue/conventions/1")

start_node "$host"
wait_until 20 curl -sf -m 5 "http://$ip:8081/status"
expect "a node starts without the platform" alive "$(check_alive "node-$host")"
expect "its status says revision 0" 0 "$(node_status "$host" revision)"
expect "it refuses calls and reports them as not run" "503 not-ready not-run" "$(call_outcome "${browse_call[@]}")"
"$build/cornelheadctl" apply examples/paperfold --platform "$platform_address" --timeout 1s > /dev/null 2>&1
expect "apply without the platform exits with 3" 3 $?

start_platform
"$build/cornelheadctl" apply examples/paperfold --platform "$platform_address" > /dev/null
expect "apply with the platform exits with 0" 0 $?
wait_until 30 all_nodes_at 1
expect "the node applies the configuration" 1 "$(node_status "$host" revision)"
expect "a service without servers is refused" "503 no-server not-run" "$(call_outcome "${browse_call[@]}")"
start_backend "$host" v1 9000
call_answered() { [ "$(call_outcome "${browse_call[@]}")" = "200  " ]; }
wait_until 30 call_answered
expect "the call is answered" "200  " "$(call_outcome "${browse_call[@]}")"

expect "no customer" "401 unknown-customer not-run" "$(call_outcome "http://$ip:8080/catalogue/conventions/1")"
expect "no such service" "404 unknown-service not-run" \
    "$(call_outcome -H "Cornelhead-Customer: public-site" "http://$ip:8080/nothing/1")"
expect "no such route" "404 no-route not-run" \
    "$(call_outcome -H "Cornelhead-Customer: public-site" "http://$ip:8080/catalogue/nothing")"
expect "a booking without a key" "400 key-missing not-run" \
    "$(call_outcome -X POST -H "Cornelhead-Customer: public-site" "http://$ip:8080/bookings/book")"

long=$(head -c 100000 /dev/zero | tr '\0' a)
malformed_requests=(
    'GARBAGE\r\n\r\n'
    'GET / HTTP/9.9\r\n\r\n'
    'GET /%%zz%%00/.. HTTP/1.1\r\nHost: x\r\n\r\n'
    'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n'
    'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n'
    'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999999999999\r\n\r\n'
    'POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nx'
    'GET / HTTP/1.1\r\nHost: x\r\nBad Header\r\n\r\n'
    'GET / HTTP/1.1\r\nHost: x\r\n\r\nGET / HTTP/1.1\r\nHost: x\r\n\r\n'
    '\0\1\2\3\377\376\r\n\r\n'
    'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n'
    "GET /$long HTTP/1.1\r\nHost: x\r\n\r\n"
    "GET / HTTP/1.1\r\nHost: x\r\nX-Long: $long\r\n\r\n"
)
targets=("$ip 8080" "$ip 8081" "$ip 8082" "$ip 9000" "${platform_address%:*} ${platform_address#*:}")
for target in "${targets[@]}"; do
    for request in "${malformed_requests[@]}"; do
        # shellcheck disable=SC2086
        send_raw $target "$request" > /dev/null 2>&1
    done
done
for name in "node-$host" "backend-$host-v1" platform; do
    expect "$name still runs after malformed requests" alive "$(check_alive "$name")"
done
answer=$(send_raw "$ip" 8080 'GARBAGE\r\n\r\n')
expect "garbage gets an answer or a close" "@(HTTP/1.[01] 4*|)" "$answer"
expect "the call is still answered" "200  " "$(call_outcome "${browse_call[@]}")"

for body in '' '{' '[]' '{"server":1}' "\"$long\""; do
    code=$(curl -s -m 20 -o /dev/null -w '%{http_code}' -X POST -d "$body" "http://$ip:8081/v1/announce")
    expect "a malformed announcement is refused" "4*" "$code"
done
expect "the node still runs" alive "$(check_alive "node-$host")"

# Invalid declarations leave the configuration unchanged.
invalid=$fleet_dir/invalid
mkdir -p "$invalid"
expect_apply_refused() { # TEXT
    "$build/cornelheadctl" apply "$invalid" --platform "$platform_address" > "$fleet_dir/out" 2>&1
    expect "$1 is refused" "1" $?
    expect "$1 names file, line and remedy" "*.yaml:*: *; *" "$(cat "$fleet_dir/out")"
}
: > "$invalid/plans.yaml"
: > "$invalid/customers.yaml"
expect_apply_refused "an empty configuration"
cp examples/paperfold/*.yaml "$invalid"
printf 'customers:\n  - name: "\377\376"\n    plan: door\n' > "$invalid/customers.yaml"
expect_apply_refused "a customer list that is not UTF-8"
printf 'customers:\n  - name: a\n    plan: nothing\n' > "$invalid/customers.yaml"
expect_apply_refused "a customer list that names an unknown plan"
{ printf 'customers:\n'; yes '  - {name: a, plan: door}' | head -2500000; } > "$invalid/customers.yaml"
expect_apply_refused "a customer list of 2,500,000 lines"
expect "the revision is unchanged" 1 "$(node_status "$host" revision)"

[ $failures -eq 0 ] || { echo "$failures checks failed"; tail -n 5 "$fleet_dir"/*.log; exit 1; }
