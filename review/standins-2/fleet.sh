# Starts and stops a small deployment of real sidecars with stand-ins around them; sourced by the
# scripts of the cases.
#
# Each host gets a loopback address of its own.  A case sets `case_dir` and
# `trouble` before it sources this file.
# The exit codes of a case are 1 for a broken rule, 0 for a kept one, and 2 if it could not run.

cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
standins=target/review-2
net=127.$((20 + RANDOM % 200)).$((1 + RANDOM % 250))
port=$((20000 + RANDOM % 1000 * 10))
work=$(mktemp -d) || exit 2
record=$case_dir/record.txt
: > "$record" || exit 2
declare -A pids=()        # name -> process id
declare -A host_store=() host_ip=() host_zone=() host_service=()
next_host=10
store=$net.1:$port
started_at=$(date +%s%3N)

# Settings of a process, with the names that the deploy file uses for them.
memory_mb=260 link_mbps=1000.0 grace=6s budget_ratio=0.2 budget_window=10s

note() {
    echo "$(date +%s%3N) $*" >> "$record"
}

cannot_run() {
    note "cannot run: $*"
    echo "cannot run: $*" >&2
    exit 2
}

end_all() {
    local name
    for name in "${!pids[@]}"; do
        kill -CONT "${pids[$name]}" 2> /dev/null
        kill -TERM "${pids[$name]}" 2> /dev/null
    done
    sleep 0.2
    for name in "${!pids[@]}"; do
        kill -KILL "${pids[$name]}" 2> /dev/null
    done
    wait 2> /dev/null
    rm -rf "$work"
}
trap end_all EXIT

launch() { # NAME COMMAND...
    local name=$1
    shift
    "$@" > "$work/$name.log" 2>&1 &
    pids[$name]=$!
}

# Sends a signal to a process of this case.
signal() { # SIGNAL NAME
    note "signal $1 to $2"
    kill "-$1" "${pids[$2]}" || cannot_run "$2 is not running"
}

start_store() {
    [ -x "$standins/store" ] || cannot_run "build with review/build-2.sh first"
    [ -x target/cornelhead-sidecar ] || cannot_run "build the deploy file first"
    local i addresses=$store
    # The store has an address for each machine, so that it can turn single ones away.
    for i in $(seq 1 16); do
        addresses+=,$net.1:$((port + 20 + i))
    done
    launch store "$standins/store" --listen "$addresses"
    for i in $(seq 50); do
        operator_write probe ready && return
        sleep 0.1
    done
    cannot_run "the store does not answer"
}

# For so long the store gives no response to the sidecar of the host.
silence_store_for() { # NAME MS
    note "the store gives no response to sidecar-$1 for $2 ms"
    "$standins/client" --to "$store" --method PUT \
        --path "/operator?silence=${host_store[$1]}&ms=$2" --id operator > /dev/null
}

operator_write() { # KEY VALUE
    "$standins/client" --to "$store" --method PUT --path "/operator?key=$1" --id operator \
        --body "$2" --timeout-ms 2000 > /dev/null
}

# Prints a configuration.  ROWS: name, host, prefix, kind, timeout, slo, priority, service, attempts,
# split.  TENANTS, which may be left out: name, api-keys, rate-per-s, burst.
configuration() { # VERSION ROWS SERVICES TENANTS
    local services='' service tenants=''
    [ -z "${4:-}" ] || tenants="\"tenants\":{\"columns\":[\"name\",\"api-keys\",\"rate-per-s\",\"burst\"],\"rows\":[$4]},"
    for service in $3; do
        services+="${services:+,}[\"$service\",\"/healthz\",120,\"h1\",false]"
    done
    printf '{"version":"%s",%s"routes":{"columns":["name","host","prefix","kind","timeout","slo","priority","service","attempts","split"],"rows":[%s]},"services":{"columns":["name","health-path","max-conns","protocol","tls"],"rows":[%s]},"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout":"3000ms","idle-timeout":"15000ms"},"base-version":"00000000"}' \
        "$1" "$tenants" "$2" "$services"
}

add_host() { # NAME ZONE SERVICE
    host_ip[$1]=$net.$next_host
    host_store[$1]=$net.1:$((port + 11 + next_host))
    next_host=$((next_host + 1))
    host_zone[$1]=$2
    host_service[$1]=$3
}

outbound_of() { # NAME
    echo "${host_ip[$1]}:$((port + 4))"
}

# Starts a sidecar with the command of the deploy file.
start_sidecar() { # NAME
    local ip=${host_ip[$1]} run
    run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)
    [ -n "$run" ] || cannot_run "no run line in the deploy file"
    run=${run//'{{zone}}'/${host_zone[$1]}}
    run=${run//'{{service}}'/${host_service[$1]}}
    run=${run//'{{app}}'/$ip:$((port + 1))}
    run=${run//'{{listen.outbound}}'/$ip:$((port + 4))}
    run=${run//'{{listen.inbound}}'/$ip:$port}
    run=${run//'{{listen.readiness}}'/$ip:$((port + 2))}
    run=${run//'{{listen.control}}'/$ip:$((port + 6))}
    run=${run//'{{platform.address}}'/${host_store[$1]}}
    run=${run//'{{limits.link-mbps}}'/$link_mbps}
    run=${run//'{{limits.memory-mb}}'/$memory_mb}
    run=${run//'{{bounds.grace}}'/$grace}
    run=${run//'{{bounds.budget-ratio}}'/$budget_ratio}
    run=${run//'{{bounds.budget-window}}'/$budget_window}
    case $run in *'{{'*) cannot_run "a field of the run line is not known: $run" ;; esac
    note "start sidecar-$1: $run"
    # Words are split at spaces, as the platform does.
    # shellcheck disable=SC2086
    launch "sidecar-$1" $run
}

start_server() { # NAME FLAGS...
    local name=$1 ip=${host_ip[$1]}
    shift
    launch "server-$name" "$standins/server" --listen "$ip:$((port + 1))" \
        --control "$ip:$((port + 6))" --service "${host_service[$name]}" \
        --zone "${host_zone[$name]}" --name "i-$name" --record "$record" "$@"
}

# Waits until all sidecars are ready, as the platform asks them.
wait_ready() {
    local name i
    for name in "${!host_ip[@]}"; do
        for i in $(seq 150); do
            "$standins/client" --to "${host_ip[$name]}:$((port + 2))" --path /readyz --id r \
                --timeout-ms 1000 2> /dev/null | grep -q 'status=200' && break
            [ "$i" -lt 150 ] || cannot_run "sidecar-$name is not ready"
            sleep 0.1
        done
    done
}

# Sends a request from a client of a host; its outcome goes to the record and to $work/ID.
request() { # HOST ID FLAGS...
    local host=$1 id=$2
    shift 2
    note "send $id at $host: $*"
    "$standins/client" --to "$(outbound_of "$host")" --id "$id" "$@" > "$work/$id"
    note "outcome $(cat "$work/$id")"
}

# Counts the lines of the record that match.
count() { # PATTERN
    grep -c -- "$1" "$record"
}

held() {
    note "result: held: $*"
    echo "held: $*"
    exit 0
}

broken() {
    note "result: broken: $*"
    echo "broken: $*"
    exit 1
}
