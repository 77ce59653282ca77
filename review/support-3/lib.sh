# Functions of the scripts in review/11 to review/15: processes, HTTP calls over bash's /dev/tcp, the record. A script
# sets "trouble" (0: without the disruption) and "record" (path of its record) before it reads this file.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
# Workers below this index are not announced by start_installation.
first_announced=0
work=$(mktemp -d)
: > "$record"
declare -A pids
begin_ms=$(date +%s%3N)

# Milliseconds since the start of the script.
now() { echo $(($(date +%s%3N) - begin_ms)); }

note() { printf '%6d ms  %s\n' "$(now)" "$*" | tee -a "$record"; }

# Kills everything that was started, by its process id.
end_all() {
    local name
    for name in "${!pids[@]}"; do
        kill -KILL "${pids[$name]}" 2> /dev/null
        wait "${pids[$name]}" 2> /dev/null
    done
    rm -rf "$work"
}
trap end_all EXIT

# The case could not run.
give_up() {
    note "the case could not run: $*"
    tail -n 5 "$work"/*.log >> "$record" 2> /dev/null
    exit 2
}

port_free() { ! (exec 3<> "/dev/tcp/127.0.0.1/$1") 2> /dev/null; }

# Sets first_port to the first of COUNT consecutive ports on which nothing listens.
find_ports() {
    local count=$1 attempt port
    for ((attempt = 0; attempt < 50; ++attempt)); do
        first_port=$((20000 + RANDOM % 10000))
        for ((port = first_port; port < first_port + count; ++port)); do
            port_free $port || continue 2
        done
        return
    done
    give_up "no free ports"
}

# launch NAME PROGRAM ARGUMENTS...: starts a process in the background.
launch() {
    local name=$1
    shift
    (cd "$root" && exec "$@") >> "$work/$name.log" 2>&1 &
    pids[$name]=$!
    disown "${pids[$name]}"
}

# stop_now NAME: ends a process with SIGKILL.
stop_now() {
    kill -KILL "${pids[$1]}" 2> /dev/null || true
    while kill -0 "${pids[$1]}" 2> /dev/null; do sleep 0.01; done
    unset "pids[$1]"
}

# http METHOD PORT PATH [BODY [TIMEOUT_S]]: sets status (0 without a response) and body.
http() {
    local method=$1 port=$2 path=$3 content=${4:-} timeout=${5:-3} response
    response=$(timeout "$timeout" bash -c '
        exec 3<> "/dev/tcp/127.0.0.1/$2" || exit 1
        printf "%s %s HTTP/1.1\r\nHost: shop.example\r\nCredential: key-1\r\nContent-Type: application/json\r\n" \
            "$1" "$3" >&3
        printf "Content-Length: %d\r\nConnection: close\r\n\r\n%s" "${#4}" "$4" >&3
        cat <&3' - "$method" "$port" "$path" "$content" 2> /dev/null)
    status=0
    body=""
    [[ $response =~ ^HTTP/1\.[01]\ ([0-9]+) ]] || return
    status=${BASH_REMATCH[1]}
    body=${response#*$'\r\n\r\n'}
}

# wait_for SECONDS DESCRIPTION COMMAND...: repeats a command until it succeeds.
wait_for() {
    local limit=$(($(now) + $1 * 1000)) description=$2
    shift 2
    until "$@"; do
        [ "$(now)" -lt "$limit" ] || give_up "$description: not within the time"
        sleep 0.05
    done
}

responds() {
    http GET "$1" "$2"
    [ "$status" = 200 ]
}

# Whether both stand-ins respond within 3 s.
standins_respond() {
    local limit=$(($(now) + 3000))
    until responds $store_port "/history?topic=x&key=y" && responds $worker_port /journal; do
        [ "$(now)" -lt $limit ] || return 1
        sleep 0.05
    done
    kill -0 "${pids[store]}" && kill -0 "${pids[workers]}"
} 2> /dev/null

# start_installation DAEMONS WORKERS: ports, stand-ins, directory of workers and configuration.
start_installation() {
    daemons=$1
    workers=$2
    # Another process may take a port between the check and the start.
    local attempt
    for ((attempt = 0; attempt < 5; ++attempt)); do
        find_ports $((daemons * 4 + workers))
        store_port=$first_port
        front_port=$((store_port + daemons))
        ready_port=$((front_port + daemons))
        metrics_port=$((ready_port + daemons))
        worker_port=$((metrics_port + daemons))
        launch store target/review-3/standin_store --port=$store_port --ports=$daemons --seed=1
        launch workers target/review-3/standin_batch_runner --port=$worker_port --workers=$workers --accelerators=8 \
            --seed=1
        standins_respond && break
        stop_now store
        stop_now workers
    done
    [ $attempt -lt 5 ] || give_up "the stand-ins do not respond"
    local worker
    for ((worker = first_announced; worker < workers; ++worker)); do announce_worker $worker; done
    put keyed.op config '{"version":1,"routes":['"$(route r0 /jobs/ 0),$(route r1 /plans/ 1),$(route r2 /batches/ 2)"'],
        "services":[{"name":"s"}],"tenants":[{"name":"t","api_keys":["key-1"],"guaranteed":{"gpu":8}}]}'
}

# route NAME PREFIX PRIORITY: a queue of the configuration.
route() {
    printf '{"name":"%s","host":"shop.example","path_prefix":"%s","service":"s","priority":%d,"max_attempts":3,' \
        "$1" "$2" "$3"
    printf '"stretch":3.0,"target_runtime_ms":2000}'
}

put() {
    http POST $store_port "/put?topic=$1&key=$2" "$3"
    [ "$status" = 200 ] || give_up "the store stand-in refused $2"
}

# announce_worker INDEX [PORT]: writes the directory entry of a worker's current lifetime. PORT is that of the first
# worker of its process.
announce_worker() {
    local born first=${2:-$worker_port}
    responds $first /journal || give_up "no journal of the workers"
    born=$(grep -o '"born":[0-9]*,"id":"w-'"$1"'"' <<< "$body" | grep -o '[0-9]*' | head -1)
    put keyed.servers "w-$1" '{"service":"s","addr":"127.0.0.1:'$((first + $1))'","zone":"dc-1","state":"ready",
        "seq":1,"born":'"$born"',"labels":["a","rack-1"],"capacity":{"cpu":32000,"mem_mb":65536,"gpu":8}}'
}

# start_daemon INDEX [PROCESSORS]: the program of the deploy file with its template of settings.
start_daemon() {
    local index=$1 processors=${2:-0.25} settings="$work/e-$1.yaml"
    sed -e "s|{{node}}|e-$index|; s|{{zone}}|dc-1|; s|{{platform.addr}}|127.0.0.1:$((store_port + index))|" \
        -e "s|{{listen.front}}|127.0.0.1:$((front_port + index))|; s|{{listen.ready}}|127.0.0.1:$((ready_port + index))|" \
        -e "s|{{ip}}:{{internal_port_range.0}}|127.0.0.1:$((metrics_port + index))|" \
        -e "s|{{bounds.max_hold_ms}}|${max_hold_ms:-6000}|; s|{{bounds.stop_grace_ms}}|${stop_grace_ms:-400}|; s|{{bounds.gang_timeout_ms}}|${gang_timeout_ms:-3000}|" \
        -e "s|{{limits.cpu_share}}|$processors|; s|{{limits.max_fds}}|4100|; s|{{limits.memory_mb}}|260|" \
        -e '/{{#bounds/,/{{\/bounds/d' "$root/deploy/settings.yaml" > "$settings"
    launch "e-$index" target/daemon/lentilsaddled --settings "$settings"
}

daemon_ready() { responds $((ready_port + $1)) /-/ready; }

is_leading() {
    http GET $((metrics_port + $1)) /metrics
    grep -q '^lentilsaddle_batch_leading 1' <<< "$body"
}

# Sets leader to the index of the leading daemon.
find_leader() {
    for ((leader = 0; leader < daemons; ++leader)); do
        [ -n "${pids[e-$leader]:-}" ] && is_leading $leader && return 0
    done
    return 1
}

# job_state PORT PATH: sets status and state of a job.
job_state() {
    http GET "$1" "$2"
    state=$(grep -o '"state":"[a-z]*"' <<< "$body" | cut -d'"' -f4)
}

# list_runs [PORT]: one line for each run that the workers of a process have seen.
list_runs() {
    responds "${1:-$worker_port}" /journal || give_up "no journal of the workers"
    sed 's/{"acknowledged"/\n&/g' <<< "$body" | grep '^{"acknowledged"'
}
