# Common parts of the run.sh scripts; they source this file from the project's
# root. A script's processes are three gd-fleet VMs (target/gd-fleet, as the
# deploy file runs it) and stand-ins, all on 127.0.0.1 with free ports. Times
# are milliseconds of the clock that the stand-ins log, too.

bin=build/review
dir=$(mktemp -d)
pids=""
vms="0 1 2"
TROUBLE=${TROUBLE:-1}
record=$case_dir/record.txt
: >"$record"

now_ms() { awk '{ printf "%d", $1 * 1000 }' /proc/uptime; }
log() { echo "$(now_ms) $*" | tee -a "$record"; }
pause() { sleep "$1"; }

cant_run() {
	log "CANNOT RUN: $*"
	exit 2
}

# Ends the processes of this script, by their ids.
cleanup() {
	for p in $pids; do
		kill -KILL "$p" 2>/dev/null && wait "$p" 2>/dev/null
	done
	rm -rf "$dir"
}
trap cleanup EXIT
trap 'exit 2' INT TERM

[ -x target/gd-fleet ] || cant_run "target/gd-fleet is not built"
[ -x $bin/http ] || cant_run "run review/build.sh first"
set -- $($bin/http ports 20)
[ $# = 20 ] || cant_run "no free ports"
site_port=$1
advisor_port=$2
shift 2
ports="$*"

port() { echo "$ports" | cut -d' ' -f"$1"; }
front() { port $(($1 * 4 + 1)); }

# start_site PROGRAM WORKERS: the platform's store, workers and VM service.
start_site() {
	"$bin/$1" "$site_port" "$2" >"$dir/site.log" 2>&1 &
	pids="$pids $!"
	for _ in $(seq 100); do
		case $($bin/http POST "http://127.0.0.1:$site_port/control/fault" x '{}') in
		*200) return ;;
		esac
		pause 0.05
	done
	cant_run "the platform's stand-in does not answer"
}

# put_row TABLE KEY VALUE: writes a row as the operator or a worker does; VALUE
# is JSON without blanks in strings.
put_row() {
	value=$(printf '%s' "$3" | sed 's/\\/\\\\/g; s/"/\\"/g')
	$bin/http POST "http://127.0.0.1:$site_port/control/row" x \
		"{\"table\":\"$1\",\"key\":\"$2\",\"value\":\"$value\"}" >/dev/null
}

# put_config [ROUTE-FIELDS]: one queue on one service.
put_config() {
	put_row op config '{"version":1,"routes":[{"name":"q","host":"jobs.example","prefix":"/q/","service":"pool","prio":0,"attempts":3,"slack_factor":2,"aim_ms":600,"timeout_ms":3000,"kind":"mutating"'"${1:-}"'}],"services":[{"name":"pool","enforces_capacity":true}],"limits":{}}'
}

write_settings() {
	cat >"$dir/vm$1.conf" <<EOF
node=edge-$1
role=fleet
class=edge
serves=edge,ctl
ip=127.0.0.1
zone=z$1
region=r
listen.front=127.0.0.1:$(front "$1")
listen.ready=127.0.0.1:$(port $(($1 * 4 + 2)))
listen.control=127.0.0.1:$(port $(($1 * 4 + 3)))
port_range=$(port $(($1 * 4 + 4))),$(port $(($1 * 4 + 4)))
bootstrap=true
limits.cpu_share=0.25
limits.cores=1
limits.memory_mb=260
limits.max_fds=4100
limits.link_mbps=1000.0
heartbeat_ms=1500
bounds.stable_ms=4000
bounds.ack_ms=5000
bounds.drain_ms=3000
bounds.grace_s=6
bounds.apply_ms=3000
bounds.hold_max_ms=6000
bounds.stop_timeout_ms=900
bounds.gang_wait_ms=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.status_s=120
bounds.cross_rack_factor=3
bounds.fencing=false
bounds.lease_ms=3000
control_mode=rpc
advisor=127.0.0.1:$advisor_port
platform.addr=127.0.0.1:$site_port
platform.form=table
platform.row_bytes=65536
cloud.addr=127.0.0.1:$site_port
EOF
}

# start_vm N: with the run command of deploy/system.toml.
start_vm() {
	write_settings "$1"
	GODWITDRUM_BOOT="$dir/vm$1.conf" target/gd-fleet >>"$dir/vm$1.log" 2>&1 &
	eval "vm_pid_$1=$!"
	pids="$pids $!"
}

kill_vm() {
	eval "p=\$vm_pid_$1"
	kill -KILL "$p"
	wait "$p" 2>/dev/null
	pids=$(echo "$pids " | sed "s/ $p / /")
}

wait_ready() {
	for _ in $(seq 200); do
		case $($bin/http GET "http://127.0.0.1:$(port $(($1 * 4 + 2)))/v1/readyz" x) in
		*200) return ;;
		esac
		pause 0.05
	done
	cant_run "VM $1 is not ready"
}

start_vms() {
	for v in $vms; do start_vm "$v"; done
	for v in $vms; do wait_ready "$v"; done
}

# call VM METHOD ID [BODY]: a client's request; sets `answer`.
call() {
	answer=$($bin/http "$2" "http://127.0.0.1:$(front "$1")/q/$3" jobs.example ${4:+"$4"})
	shown=$4
	[ ${#shown} -gt 300 ] && shown="(${#shown} bytes)"
	log "client $2 $3 at vm$1 $shown -> $answer"
}

# submit ID BODY: tries one VM after the other until the job is accepted.
submit() {
	for _ in 1 2 3 4 5 6 7 8 9 10; do
		for v in $vms; do
			call "$v" POST "$1" "$2"
			case $answer in *200) return ;; esac
			pause 0.3
		done
	done
	cant_run "job $1 was not accepted"
}

# state_is ID STATE: asks all VMs in turn; true if one answers with it.
state_is() {
	for v in $vms; do
		answer=$($bin/http GET "http://127.0.0.1:$(front "$v")/q/$1" jobs.example)
		case $answer in *"\"$2\""*) return 0 ;; esac
	done
	return 1
}

# wait_state ID STATE SECONDS: returns 1 if the state is not reached.
wait_state() {
	end=$(($(now_ms) + $3 * 1000))
	while [ "$(now_ms)" -lt "$end" ]; do
		if state_is "$1" "$2"; then
			log "client GET $1 -> $answer"
			return 0
		fi
		pause 0.2
	done
	log "client GET $1 -> $answer (after $3 s)"
	return 1
}

# site_lines PATTERN: appends the matching lines of the stand-in's log.
site_lines() { grep -E "$1" "$dir/site.log" >>"$record"; }
