# Shared by the run.sh of the cases: starts the platform's stand-in and some VMs
# with target/gd-fleet, sends requests, and keeps record.txt. Everything it
# starts is ended by process id when the script ends.
#
# A case sets, before start_all: vms, workers, and if it needs them bounds (more
# lines of the settings), enforces (true or false), and slow_bytes_s and delay_us
# (rate of each VM's link to the platform in bytes a second, and its delay one way;
# 0 bytes a second: no proxy).

here=$(cd "$(dirname "$0")" && pwd)
top=$(cd "$here/../.." && pwd)
bin=$top/build
call=$bin/review-2/call
dir=$(mktemp -d)
record=$here/record.txt
TROUBLE=${TROUBLE:-1}
vms=3
workers=4
bounds=
enforces=true
slow_bytes_s=0
delay_us=0
pids=()
vm_pids=()
began=$(date +%s%3N)

now() { echo $(($(date +%s%3N) - began)); }
# Time in ms since the start, and what happened.
note() { echo "$(now) $*" >>"$record"; }
# The case can't run.
give_up() { note "can't run: $*"; exit 2; }

finish() {
	exec 2>/dev/null
	for p in ${pids[@]+"${pids[@]}"}; do
		kill -CONT "$p" 2>/dev/null
		kill -KILL "$p" 2>/dev/null
	done
	wait 2>/dev/null
	rm -rf "$dir"
}
trap finish EXIT
trap 'exit 2' INT TERM

is_free() { ! (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }
# The first of N free ports in a row.
free_ports() {
	local n=$1 port i ok
	for _ in $(seq 100); do
		port=$((20000 + RANDOM % 10000))
		ok=1
		for i in $(seq 0 $((n - 1))); do
			is_free $((port + i)) || ok=
		done
		[ "$ok" ] && { echo "$port"; return; }
	done
	give_up "no free ports"
}

# Sends a request; sets `status` and `body`.
request() {
	local out
	out=$("$call" "$@")
	status=${out%% *}
	body=${out#* }
}
control() {
	request 3000 POST "http://127.0.0.1:$1" "$2"
	[ "$status" = 200 ] || give_up "control call $2: $status"
}
vm_url() { echo "http://127.0.0.1:$((vm_ports + $1 * 4))/q/$2"; }
# traffic N PREFIX: submits N jobs of 2,400 bytes, one short task each, about 11 a
# second over all VMs. Sets `accepted`. Their ids begin with PREFIX.
traffic() {
	local text vm i
	text=$(printf 'x%.0s' $(seq 2380))
	for vm in $(seq 0 $((vms - 1))); do
		for i in $(seq "$vm" "$vms" $(($1 - 1))); do
			request 3000 POST "$(vm_url "$vm" "$(printf '%s%08x' "$2" "$i")")" \
				"{\"spec\":\"ms=100 $text\",$one_task"
			echo "$status" >>"$dir/traffic$vm"
			sleep "$pause"
		done &
		loops[$vm]=$!
	done
	wait "${loops[@]}"
	accepted=$(cat "$dir"/traffic* | grep -c 200)
	note "traffic: $accepted of $1 jobs accepted, $(grep -c ' done ' "$dir/site.log") tasks done"
}
one_task='"steps":[{"count":1,"cpu":500,"mem_mb":100,"estimate_ms":100}]}'
pause=0.25
# submit VM ID BODY: notes the answer.
submit() {
	request 3000 POST "$(vm_url "$1" "$2")" "$3"
	note "POST $2 at vm$1: $status"
}
state() {
	request 3000 GET "$(vm_url "$1" "$2")"
	note "GET $2 at vm$1: $status $body"
}

start_vm() {
	GODWITDRUM_BOOT=$dir/vm$1.conf "$top/target/gd-fleet" \
		>>"$dir/vm$1.log" 2>&1 &
	vm_pids[$1]=$!
	pids+=($!)
}
kill_vm() {
	kill -KILL "${vm_pids[$1]}"
	wait "${vm_pids[$1]}" 2>/dev/null
	note "vm$1 killed (SIGKILL)"
}
# The VM that gained the shard last, by the VMs' logs.
owner() {
	grep -h -o 'event=GD3001.*' "$dir"/vm*.log /dev/null | grep -o 'epoch=[0-9]*' |
		sort -t= -k2n | tail -1 >"$dir/epoch"
	for i in $(seq 0 $((vms - 1))); do
		grep -q "event=GD3001.*$(cat "$dir/epoch") " "$dir/vm$i.log" &&
			{ echo "$i"; return; }
	done
}
is_ready() {
	request 1000 GET "http://127.0.0.1:$((vm_ports + $1 * 4 + 1))/v1/readyz"
	[ "$status" = 200 ]
}

start_all() {
	[ -x "$top/target/gd-fleet" ] && [ -x "$bin/gd-site" ] && [ -x "$call" ] ||
		{ : >"$record"; give_up "build the deploy file, then review/build-2.sh"; }
	echo "TROUBLE=$TROUBLE $(uname -m); times in ms since the start" >"$record"
	cd "$top" || exit 2
	site_port=$(free_ports 1)
	vm_ports=$(free_ports $((vms * 4)))
	local store=$site_port i
	"$bin/gd-site" "$site_port" "$workers" 0 6000 \
		$([ "$enforces" = true ] || echo overcommit) >"$dir/site.log" &
	pids+=($!)
	if [ "$slow_bytes_s" != 0 ]; then
		proxy_port=$(free_ports 1)
		"$bin/gd-faultproxy" "$proxy_port" >/dev/null &
		pids+=($!)
		store_ports=$(free_ports "$vms")
	fi
	sleep 0.5
	for i in $(seq 0 $((vms - 1))); do
		if [ "$slow_bytes_s" != 0 ]; then
			store=$((store_ports + i))
			control "$proxy_port/map" "{\"ip\":\"127.0.0.1\",\"port\":$store,\"as\":\"s$i\",\"to_ip\":\"127.0.0.1\",\"to_port\":$site_port}"
			control "$proxy_port/rule" "{\"from\":\"s$i\",\"bytes_s\":$slow_bytes_s,\"delay_us\":$delay_us}"
		fi
		cat >"$dir/vm$i.conf" <<-EOF
			node=vm$i
			zone=z$i
			region=r
			listen.front=127.0.0.1:$((vm_ports + i * 4))
			listen.ready=127.0.0.1:$((vm_ports + i * 4 + 1))
			listen.control=127.0.0.1:$((vm_ports + i * 4 + 2))
			platform.addr=127.0.0.1:$store
			cloud.addr=127.0.0.1:$site_port
			$bounds
		EOF
	done
	control "$site_port/control/row" "{\"table\":\"op\",\"key\":\"config\",\"value\":\"{\\\"version\\\":1,\\\"routes\\\":[{\\\"name\\\":\\\"q\\\",\\\"host\\\":\\\"jobs.example\\\",\\\"prefix\\\":\\\"/q/\\\",\\\"service\\\":\\\"pool\\\",\\\"prio\\\":0,\\\"attempts\\\":3,\\\"slack_factor\\\":2,\\\"aim_ms\\\":600,\\\"timeout_ms\\\":3000,\\\"kind\\\":\\\"mutating\\\"}],\\\"services\\\":[{\\\"name\\\":\\\"pool\\\",\\\"enforces_capacity\\\":$enforces}],\\\"limits\\\":{}}\"}"
	for i in $(seq 0 $((vms - 1))); do
		start_vm "$i"
	done
	for i in $(seq 0 $((vms - 1))); do
		for _ in $(seq 100); do
			is_ready "$i" && break
			sleep 0.1
		done
		is_ready "$i" || give_up "vm$i isn't ready"
	done
	note "ready: $vms VMs, $workers workers"
}

# Copies what the workers ran to the record: start, end and crash, on the
# platform's clock in ms. Shows runs of tasks whose names begin with $1.
note_runs() {
	note "runs at the workers (clock, event, worker, task, attempt):"
	grep " ${1:-[0-9a-f]}" "$dir/site.log" | cut -c1-110 >>"$record"
}
# The platform stand-in's clock (ms), as in its log.
site_clock() { echo $(($(awk '{print int($1 * 1000)}' /proc/uptime))); }

# Ends the case: 1 if the rule was broken, 0 if it held.
verdict() {
	if [ "$1" = broken ]; then
		note "rule broken: $2"
		exit 1
	fi
	note "rule held: $2"
	exit 0
}
