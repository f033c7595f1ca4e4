#!/bin/sh
# A queue with an advisor, on 48 idle workers of which the policy allows nine.
# See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
case_dir=review/3
. review/lib.sh

job=00000000000000d1
# The policy allows the workers whose ids begin so: i-m4-1 and i-m40-1 to
# i-m47-1; without the disruption, all.
allowed=i-m4
[ "$TROUBLE" = 0 ] && allowed=i-m

$bin/advisor "$advisor_port" $allowed >"$dir/advisor.log" 2>&1 &
pids="$pids $!"
start_site gd-site 48
put_config ',"advisor":{"decide_ms":40,"per_item_ms":2,"valid_ms":30000}'
start_vms
pause 3
log "the policy allows the step on the workers whose ids begin with $allowed"
submit $job '{"spec":"ms=500","steps":[{"count":1,"cpu":1000,"mem_mb":64,"estimate_ms":500}]}'
wait_state $job done 40
cat "$dir/advisor.log" >>"$record"
site_lines "$job"
grep -q " start .* $job" "$dir/site.log" && exit 0
log "LOST: no task was started in 40 s, and all workers were idle"
exit 1
