#!/bin/bash
# The instance with the most processors restarts and dies again right after it has asked for the leadership.
# TROUBLE=0 does the same without the disruption.
trouble=${TROUBLE:-1}
record=$(cd "$(dirname "$0")" && pwd)/record.txt
source "$(dirname "$0")/../support-3/lib.sh"

job=0123456789abcdef
finish_s=14

gang_timeout_ms=4000

# Sets requests to the number of times that e-1 has announced its processors, which asks for the leadership.
count_requests() {
    http GET $store_port "/history?topic=keyed.lentilsaddle&key=i/e-1"
    requests=$(grep -o '\[1,500\]' <<< "$body" | wc -l)
}

start_installation 3 4
start_daemon 0 0.25
start_daemon 1 0.5
start_daemon 2 0.25
for index in 0 1 2; do wait_for 15 "daemon $index" daemon_ready $index; done
wait_for 15 "leadership of e-1, which has the most processors" is_leading 1
note "e-1 (0.5 cores) leads; e-0 and e-2 (0.25 cores) follow"

if [ "$trouble" != 0 ]; then
    stop_now e-1
    stop_now e-2
    note "e-1 and e-2 are killed"
    wait_for 15 "leadership of e-0" is_leading 0
    note "e-0 leads"
    count_requests
    before=$requests
    start_daemon 1 0.5
    note "e-1 is started again"
    limit=$(($(now) + 15000))
    while [ "$requests" -le "$before" ]; do
        [ "$(now)" -lt $limit ] || give_up "e-1 did not ask for the leadership"
        count_requests
    done
    stop_now e-1
    note "e-1 has asked for the leadership and is killed again"
fi

sleep 5
daemon_ready 0 || give_up "e-0 is not ready"
note "e-0 is ready"
http POST $front_port "/jobs/$job" \
    '{"spec":"{\"work_ms\":1000,\"gpu\":1}","steps":[{"count":1,"cpu":1000,"gpu":1,"estimate_ms":1000}]}'
note "POST $job at e-0: $status"
[ "$status" = 200 ] || give_up "the job was not accepted"
limit=$(($(now) + (finish_s + 16) * 1000))
state=none
while [ "$(now)" -lt $limit ] && [ "$state" != completed ]; do
    sleep 0.5
    job_state $front_port "/jobs/$job"
done
note "GET $job at e-0: $status $state"
runs=$(list_runs)
note "runs: ${runs:-none}"
http GET $store_port "/history?topic=keyed.lentilsaddle&key=leader"
note "last leader records in the store: $(grep -o '\[1,[^]]*\]' <<< "$body" | tail -3 | tr '\n' ' ')"
if [ "$state" != completed ] && [ -z "$runs" ]; then
    note "BROKEN: the accepted job has not begun within 30 s, and all workers are idle"
    exit 1
fi
note "held: the job was done"
