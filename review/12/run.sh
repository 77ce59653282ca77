#!/bin/bash
# A cancellation that is answered "no such job" while the job's submission has no known outcome.
# TROUBLE=0 does the same without the disruption.
trouble=${TROUBLE:-1}
record=$(cd "$(dirname "$0")" && pwd)/record.txt
source "$(dirname "$0")/../support-3/lib.sh"

job=0123456789abcdef
cancel_ms=3000
stop_grace_ms=400
contact_ms=3000
submission='{"spec":"{\"work_ms\":30000,\"gpu\":1}","steps":[{"count":1,"cpu":1000,"gpu":1,"estimate_ms":30000}]}'

start_installation 3 4
for index in 0 1 2; do start_daemon $index; done
for index in 0 1 2; do wait_for 15 "daemon $index" daemon_ready $index; done
wait_for 15 "a leader" find_leader
first=$(((leader + 1) % 3))
second=$(((leader + 2) % 3))
note "leader: e-$leader; the client submits at e-$first and cancels at e-$second"

if [ "$trouble" != 0 ]; then
    http POST $store_port /control '{"begin":"late","late":1.0,"ports":['$first']}'
    note "the store answers no append of e-$first and carries it out late"
fi
http POST $((front_port + first)) "/jobs/$job" "$submission"
note "POST $job at e-$first: $status"
if [ "$trouble" != 0 ]; then
    http POST $store_port /control '{"end":"late"}'
    note "the store answers all appends again"
fi
http DELETE $((front_port + second)) "/jobs/$job"
cancelled=$(now)
note "DELETE $job at e-$second: $status"
[ "$status" = 200 ] || [ "$status" = 410 ] || give_up "the cancellation was not acknowledged"

# Beyond the bound, and longer than contact_ms after the store was sound again.
check=$((cancelled + cancel_ms + stop_grace_ms + contact_ms))
while [ "$(now)" -lt $check ]; do sleep 0.1; done
job_state $((front_port + second)) "/jobs/$job"
note "GET $job at e-$second: $status $state"
runs=$(list_runs)
note "runs: ${runs:-none}"
if grep "\"task\":\"$job\." <<< "$runs" | grep -q '"end_ms":null'; then
    note "BROKEN: a work item runs $(($(now) - cancelled)) ms after the cancellation was acknowledged"
    exit 1
fi
note "held: nothing of the job runs"
