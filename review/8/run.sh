#!/usr/bin/env bash
# The owner is killed, and a job is cancelled before another VM takes over. The
# workers where the job's tasks still ran are not used any more, for good.
. "$(dirname "$0")/../tools-2/common.sh"
workers=2
enforces=false # workers start whatever they are told to
start_all

# One long task on each of the two workers.
old=d1b2c3d4e5f60001
submit 0 $old '{"spec":"ms=60000","steps":[{"count":2,"cpu":12000,"mem_mb":100,"estimate_ms":60000}]}'
[ "$status" = 200 ] || give_up "the job was not accepted"
sleep 4
state 0 $old
[ "$(grep -c " start .* $old" "$dir/site.log")" = 2 ] || give_up "the job doesn't run"

if [ "$TROUBLE" = 1 ]; then
	lost=$(owner)
	note "vm$lost owns the shard"
	kill_vm "$lost"
else
	lost=0
fi
request 3000 DELETE "$(vm_url $(((lost + 1) % vms)) $old)"
note "DELETE $old at vm$(((lost + 1) % vms)): $status"
[ "$status" = 200 ] || give_up "the job was not cancelled"
if [ "$TROUBLE" = 1 ]; then
	sleep 1
	start_vm "$lost"
	note "vm$lost started again"
fi
sleep 14

new=d1b2c3d4e5f60002
submit $(((lost + 1) % vms)) $new '{"spec":"ms=500","steps":[{"count":4,"cpu":1000,"mem_mb":100,"estimate_ms":500}]}'
[ "$status" = 200 ] || give_up "the second job was not accepted"
# finish_s (14 s) after the last submission, and 3 s more.
for _ in $(seq 6); do
	sleep 3
	state 0 $new
done
note_runs d1b2c3d4e5f6

# LOST: the job has nothing running for 3 s though its turn has come, both
# workers are empty (32 cores for 4 asked), and finish_s has passed.
grep -q " start .* $new" "$dir/site.log" ||
	verdict broken "no task of $new was started in 18 s; both workers are empty"
verdict held "$new was started"
