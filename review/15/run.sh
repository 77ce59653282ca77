#!/bin/bash
# A large job waits for capacity, and nothing else starts on the idle workers.
# TROUBLE=0 does the same without the disruption.
trouble=${TROUBLE:-1}
record=$(cd "$(dirname "$0")" && pwd)/record.txt
source "$(dirname "$0")/../support-3/lib.sh"

finish_s=14

# submit PATH COUNT GPU WORK_MS GANG: submits a job and expects its acceptance.
submit() {
    local path=$1 count=$2 gpu=$3 work=$4 gang=$5 spec
    spec="{\\\"work_ms\\\":$work,\\\"gpu\\\":$gpu"
    [ "$gang" = true ] && spec+=",\\\"gang\\\":$count"
    spec+="}"
    http POST $front_port "$path" '{"spec":"'"$spec"'","steps":[{"count":'"$count"',"cpu":'$((gpu * 1000))',"mem_mb":1000,
        "gpu":'"$gpu"',"gang":'"$gang"',"estimate_ms":'"$work"'}]}'
    note "POST $path ($count x $gpu GPUs, $work ms each, gang: $gang): $status"
    [ "$status" = 200 ] || give_up "the job was not accepted"
}

# Sets busy to the number of workers on which a run has not ended.
count_busy_workers() { busy=$(list_runs | grep '"end_ms":null' | grep -o '"worker":"[^"]*"' | sort -u | wc -l); }

start_installation 3 10
for index in 0 1 2; do start_daemon $index; done
for index in 0 1 2; do wait_for 15 "daemon $index" daemon_ready $index; done
wait_for 15 "a leader" find_leader
sleep 1

for number in 1 2 3 4; do submit "/batches/000000000000000$number" 1 8 100000 false; done
all_busy() { count_busy_workers; [ "$busy" = 4 ]; }
wait_for 10 "four busy workers" all_busy
note "4 of 10 workers are busy"
if [ "$trouble" != 0 ]; then
    submit /plans/00000000000000aa 7 8 20000 true
    sleep 2
fi
submit /batches/00000000000000bb 1 1 2000 false
note "end of the traffic"
sleep $finish_s
since=""
limit=$(($(now) + 5000))
while [ "$(now)" -lt $limit ]; do
    sleep 0.5
    job_state $front_port /batches/00000000000000bb
    count_busy_workers
    note "GET /batches/00000000000000bb: $status $state; $busy of 10 workers are busy"
    if [ "$state" != queued ]; then
        note "held: the small job was started"
        exit 0
    fi
done
note "BROKEN: the small job has not begun ${finish_s} s after the end of the traffic and 5 s later, with 6 of 10 workers idle"
exit 1
