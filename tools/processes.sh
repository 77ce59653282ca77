# Functions for scripts that start processes on loopback; sourced, not run.
#
# The script sets `address`, `folder` (a temporary folder) and `title` (its name) before it sources this file. All processes that
# launch() starts are ended when the script ends.

pids=
attempts=300

cleanup() {
    status=$?
    trap - EXIT INT TERM
    for pid in $pids; do
        kill -TERM "$pid" 2> /dev/null || true
    done
    for pid in $pids; do
        end_process "$pid"
    done
    if [ "$status" -ne 0 ]; then
        for log in "$folder"/*.log; do
            echo "--- $(basename "$log")"
            tail -n 5 "$log"
        done >&2
        echo "$title failed" >&2
    fi
    rm -rf "$folder"
    exit "$status"
}

# Waits for a process that got SIGTERM; kills it if it does not end.
end_process() {
    tries=0
    while kill -0 "$1" 2> /dev/null && [ "$tries" -lt 100 ]; do
        tries=$((tries + 1))
        sleep 0.1
    done
    kill -KILL "$1" 2> /dev/null || true
    wait "$1" 2> /dev/null || true
}
trap cleanup EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# Usage: launch NAME COMMAND...; the process's output goes to NAME.log.
launch() {
    name=$1
    shift
    "$@" > "$folder/$name.log" 2>&1 &
    pids="$pids $!"
}

# Usage: until_true WHAT COMMAND...; repeats the command until it succeeds.
until_true() {
    what=$1
    shift
    tries=0
    until "$@"; do
        tries=$((tries + 1))
        if [ "$tries" -ge "$attempts" ]; then
            echo "$title: gave up waiting until $what" >&2
            exit 1
        fi
        sleep 0.1
    done
}

http() {
    curl --silent --fail --max-time 5 "$@"
}

# Usage: answers PORT PATH
answers() {
    http "http://$address:$1$2" > /dev/null
}

# Usage: is_ready PORT; whether an entry instance is ready.
is_ready() {
    http "http://$address:$1/v1/status" | grep -q '"ready": *true'
}
