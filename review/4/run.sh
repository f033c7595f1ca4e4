#!/bin/sh
# A step with colocate. Rack r2 has more free cores in all than rack r1, but no
# worker there has enough of them for one task. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
case_dir=review/4
. review/lib.sh

load=00000000000000e0
before=00000000000000e1
after=00000000000000e2
two_tasks='{"spec":"ms=500","steps":[{"count":2,"cpu":8000,"mem_mb":64,"estimate_ms":500,"colocate":true}]}'

# worker N KIND RACK: what worker N of the stand-in says of itself.
worker() {
	put_row servers "i-m$1-1" '{"service":"pool","addr":"127.0.0.1:'"$site_port"'","zone":"z1","version":"v1","slots":8,"state":"ready","cold_left_ms":0,"machine":"m'"$1"'","capacity":{"cpu":16000,"mem_mb":64000,"gpu":0},"labels":["'"$2"'","'"$3"'"],"seq":2}'
}

start_site gd-site 11
for n in 0 1 2; do worker $n a r1; done
for n in 3 4 5 6 7 8 9 10; do worker $n b r2; done
put_config
start_vms
pause 3
log "workers of 16 cores: m0 to m2 in rack r1, m3 to m10 in rack r2"
submit $before "$two_tasks"
wait_state $before done 15 || cant_run "the job is not done on empty workers"
if [ "$TROUBLE" != 0 ]; then
	submit $load '{"spec":"lasts","steps":[{"count":8,"cpu":9000,"mem_mb":64,"estimate_ms":500,"long_running":true,"max_per_server":1,"requires":"b"}]}'
	wait_state $load running 10 || cant_run "the long-running tasks did not start"
	pause 3
	log "in use: 72 of 176 cores; free: 16 on each worker of r1, 7 on each of r2"
fi
submit $after "$two_tasks"
wait_state $after done 40
site_lines ' (start|done|failed|stopped|lapsed) '
grep -q " start .* $after" "$dir/site.log" && exit 0
log "LOST: no task of $after was started in 40 s; r1 has room for six of them"
exit 1
