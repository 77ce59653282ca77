#!/bin/bash
# Scheduled jobs with many occurrences: the memory of the processes.
# TROUBLE=0 does the same without the disruption.
trouble=${TROUBLE:-1}
record=$(cd "$(dirname "$0")" && pwd)/record.txt
source "$(dirname "$0")/../support-3/lib.sh"

memory_mb=260
jobs=20
repeats=10000
[ "$trouble" != 0 ] || repeats=10
restart_delay_ms=1000
watch_ms=30000
declare -A kills restart_at highest

# Does what the platform does: kills a process over its memory and starts it again after a short delay.
guard_memory() {
    local index mb
    for index in 0 1 2; do
        if [ -z "${pids[e-$index]:-}" ]; then
            [ "$(now)" -lt "${restart_at[$index]}" ] || start_daemon $index
            continue
        fi
        mb=$(($(grep -s VmRSS "/proc/${pids[e-$index]}/status" | grep -o '[0-9]*' || echo 0) / 1024))
        [ $mb -le "${highest[$index]}" ] || highest[$index]=$mb
        [ $mb -gt $memory_mb ] || continue
        stop_now e-$index
        kills[$index]=$((kills[$index] + 1))
        restart_at[$index]=$(($(now) + restart_delay_ms))
        note "e-$index has $mb MB, above its limit of $memory_mb MB, and is killed (${kills[$index]})"
    done
}

start_installation 3 4
for index in 0 1 2; do
    kills[$index]=0
    highest[$index]=0
    start_daemon $index
done
for index in 0 1 2; do wait_for 15 "daemon $index" daemon_ready $index; done
wait_for 15 "a leader" find_leader
sleep 1

tomorrow=$((($(date +%s) + 86400) * 1000))
accepted=0
bytes=0
for ((number = 0; number < jobs; ++number)); do
    content='{"spec":"{}","steps":[{"count":10,"cpu":1000,"gpu":1,"estimate_ms":1000}],"repeats":'$repeats',"first_ms":'$tomorrow',"interval_ms":60000}'
    for index in 0 1 2; do
        http POST $((front_port + index)) "/jobs/$(printf '%016x' $number)" "$content"
        [ "$status" != 200 ] || break
    done
    [ "$status" != 200 ] || { accepted=$((accepted + 1)) && bytes=$((bytes + ${#content})); }
    guard_memory
done
note "$accepted jobs of 10 tasks x $repeats occurrences accepted, $bytes bytes in all"

limit=$(($(now) + watch_ms))
while [ "$(now)" -lt $limit ]; do
    guard_memory
    sleep 0.02
done
ready=0
for index in 0 1 2; do
    if daemon_ready $index; then ready=$((ready + 1)); fi
    note "e-$index: killed ${kills[$index]} times, at most ${highest[$index]} MB"
done
note "$ready of 3 instances are ready"
for index in 0 1 2; do [ "${kills[$index]}" -ge 3 ] || { note "held"; exit 0; }; done
note "BROKEN: all processes end again and again, because each start reads the accepted jobs anew"
exit 1
