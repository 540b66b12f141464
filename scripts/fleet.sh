# Starts and stops a fleet of real processes on loopback; sourced by other scripts.
#
# Each host of a deployment gets its own loopback address under $fleet_net, with a node and a
# backend server on it.  The caller sets `build` (and `example` for read_deployment), and must trap
# EXIT with stop_fleet.

fleet_net=127.$((20 + RANDOM % 200)).$((RANDOM % 250))
fleet_dir=$(mktemp -d)
platform_address=$fleet_net.1:2379
declare -A fleet_pids=()      # name -> process id
declare -A node_ip=()         # host name -> address
declare -A host_service=()    # host name -> service
declare -A host_slots=()
declare -A host_connections=()
declare -A host_dc=()
hosts=()
next_ip_octet=10              # last octet of the next host's address
backend_seed=0

launch() { # NAME COMMAND...
    local name=$1
    shift
    "$@" > "$fleet_dir/$name.log" 2>&1 &
    fleet_pids[$name]=$!
}

stop_fleet() {
    local name
    for name in "${!fleet_pids[@]}"; do
        kill -KILL "${fleet_pids[$name]}" 2> /dev/null
    done
    wait 2> /dev/null
    rm -rf "$fleet_dir"
}

# Stops one process with SIGTERM, waits for it, and leaves its exit code in $stopped_exit_code.
stop_process() { # NAME
    kill -TERM "${fleet_pids[$1]}" 2> /dev/null
    wait "${fleet_pids[$1]}"
    stopped_exit_code=$?
    unset "fleet_pids[$1]"
}

wait_until() { # SECONDS COMMAND...
    local deadline=$((SECONDS + $1))
    shift
    until "$@" > /dev/null 2>&1; do
        [ $SECONDS -lt $deadline ] || return 1
        sleep 0.1
    done
}

start_platform() {
    launch platform "$build/cornelhead-platform" --listen "$platform_address"
    wait_until 5 curl -sf -m 1 "http://$platform_address/metrics"
}

read_deployment() { # fills the host arrays from examples/$example
    local kind dc service slots connections name index=0
    while read -r kind dc service slots connections; do
        [ "$kind" = server ] || continue
        index=$((index + 1))
        name=$dc-$service-$index
        hosts+=("$name")
        node_ip[$name]=$fleet_net.$next_ip_octet
        next_ip_octet=$((next_ip_octet + 1))
        host_dc[$name]=$dc
        host_service[$name]=$service
        host_slots[$name]=$slots
        host_connections[$name]=$connections
    done < <("$build/cornelheadctl" deployment "examples/$example")
    local host
    fleet_seeds=
    for host in "${hosts[@]}"; do
        [[ ",$fleet_seeds" == *",${host_dc[$host]}="* ]] || fleet_seeds+="${host_dc[$host]}=${node_ip[$host]}:8082,"
    done
    fleet_seeds=$(sed 's/[^,=]*=//g; s/,$//' <<< "$fleet_seeds")
}

start_node() { # HOST
    local ip=${node_ip[$1]}
    local dcs
    dcs=$(printf '%s\n' "${host_dc[@]}" | sort -u | paste -sd,)
    launch "node-$1" "$build/cornelhead-node" --data-centre "${host_dc[$1]}" --data-centres "$dcs" \
        --listen "$ip:8080" --admin "$ip:8081" --inner "$ip:8082" \
        --platform "$platform_address" --seeds "$fleet_seeds"
}

start_backend() { # HOST VERSION PORT [FLAGS...]
    local host=$1 version=$2 port=$3
    shift 3
    backend_seed=$((backend_seed + 1))
    launch "backend-$host-$version" "$build/cornelhead-backend" --listen "${node_ip[$host]}:$port" \
        --node-admin "${node_ip[$host]}:8081" --service "${host_service[$host]}" \
        --version-name "$version" --slots "${host_slots[$host]}" \
        --connections "${host_connections[$host]}" --seed "$backend_seed" "$@"
}

node_status() { # HOST FIELD
    curl -sf -m 1 "http://${node_ip[$1]}:8081/status" | sed -n "s/.*\"$2\":\"\{0,1\}\([^,\"}]*\).*/\1/p"
}

all_nodes_at() { # REVISION
    local host
    for host in "${hosts[@]}"; do
        [ "$(node_status "$host" revision)" = "$1" ] || return 1
    done
}
