# Functions that start and stop a site of two availability zones with two entry VMs each on loopback addresses, and
# inject faults into it. Sourced by tools/demo and tools/prove-processes. Every wait has a time limit.
#
# Variables that configure site_open:
#   net              first three octets of the loopback addresses, distinct for each site, such as 127.0.30
#   work             directory for settings and logs; emptied first
#   adapters         number of declared adapters
#   slots            adapter slots of each engine
#   service_work     duration of a call to an application server
#   vm_lag           delay until a change appears in the VM list
# Addresses: VMs are $net.1 to $net.4 (1 and 2 in zone-a), engines $net.11 to $net.14, service endpoints $net.21 and
# $net.22, the platform's endpoints for zone-a and zone-b $net.101 and $net.102, the stand-ins' admin address $net.100:7001.
# Engines with odd numbers check fencing numbers, the others ignore them.

bin=${bin:-$PWD/bin}
adapters=${adapters:-100}
slots=${slots:-8}
vm_lag=${vm_lag:-5s}
service_work=${service_work:-5ms}
declare -A process_ids=()
failures=0

# process_start NAME BINARY SETTINGS
process_start() {
	"$bin/$2" --settings "$3" >>"$work/$1.log" 2>&1 &
	process_ids[$1]=$!
}

# process_alive NAME
process_alive() { kill -0 "${process_ids[$1]}" 2>/dev/null; }

# process_stop NAME [LIMIT in s]: sends SIGTERM, waits up to the limit and returns the exit code. A process that is
# still running after the limit is killed, and 124 is returned.
process_stop() {
	local id=${process_ids[$1]} tenths=$((${2:-25} * 10)) code=0
	kill -TERM "$id" 2>/dev/null || true
	while kill -0 "$id" 2>/dev/null && [ "$tenths" -gt 0 ]; do sleep 0.1; tenths=$((tenths - 1)); done
	if kill -0 "$id" 2>/dev/null; then kill -KILL "$id"; code=124; fi
	wait "$id" 2>/dev/null || [ "$code" -ne 0 ] || code=$?
	unset "process_ids[$1]"
	return "$code"
}

# process_kill NAME: sends SIGKILL.
process_kill() {
	kill -KILL "${process_ids[$1]}"
	wait "${process_ids[$1]}" 2>/dev/null || true
	unset "process_ids[$1]"
}

process_freeze() { kill -STOP "${process_ids[$1]}"; }
process_continue() { kill -CONT "${process_ids[$1]}"; }

# wait_for URL [LIMIT in s]: waits until URL answers with status 200.
wait_for() {
	local end=$((SECONDS + ${2:-20}))
	while [ "$SECONDS" -lt "$end" ]; do
		if "$bin/waxwing-load" probe "$1" >/dev/null 2>&1; then return 0; fi
		sleep 0.1
	done
	echo "not ready in time: $1" >&2
	"$bin/waxwing-load" probe "$1" >&2 || true
	return 1
}

# role_port ROLE: prints the port of a role. The admin port is higher by 1000.
role_port() {
	case $1 in gateway) echo 8000 ;; scheduler) echo 8002 ;; apiserver) echo 8003 ;; esac
}

vm_zone() { if [ "$1" -le 2 ]; then echo zone-a; else echo zone-b; fi; }

# vm_start ROLE VM: starts one process of an entry VM.
vm_start() { process_start "$1-$2" "waxwing-$1" "$work/$1-$2.json"; }

# vm_ready ROLE VM [LIMIT in s]
vm_ready() { wait_for "http://$net.$2:$(($(role_port "$1") + 1000))/readyz" "${3:-20}"; }

gateways_of() { # VMs
	local list=() vm
	for vm in "$@"; do list+=("$net.$vm:8000"); done
	(IFS=,; echo "${list[*]}")
}

ctl() { "$bin/waxwingctl" --server "$net.1:8003" --server "$net.3:8003" --server "$net.2:8003" --server "$net.4:8003" "$@"; }
ctl_at() { local vm=$1; shift; "$bin/waxwingctl" --server "$net.$vm:8003" "$@"; }
fault() { "$bin/waxwing-load" fault --admin "$net.100:7001" "$@"; }
counter() { "$bin/waxwing-load" counters --url "http://$net.100:7001/counters" "$1"; }

write_standin_settings() {
	local i zone vms="" engines="" checks
	for i in 1 2 3 4; do
		zone=$(vm_zone "$i")
		checks=true; [ $((i % 2)) -eq 0 ] && checks=false
		vms+=",{\"name\":\"vm-$i\",\"zone\":\"$zone\",\"address\":\"$net.$i\",\"state\":\"live\"}"
		engines+=",{\"name\":\"engine-$i\",\"zone\":\"$zone\",\"address\":\"$net.1$i:8000\",\"slots\":$slots,\"checksFence\":$checks}"
	done
	cat >"$work/standin.json" <<JSON
{
  "adminListen": "$net.100:7001",
  "platform": {
    "endpoints": [{"zone": "zone-a", "address": "$net.101:7000"}, {"zone": "zone-b", "address": "$net.102:7000"}],
    "vmLag": "$vm_lag",
    "vms": [${vms#,}]
  },
  "engines": [${engines#,}],
  "services": [
    {"name": "records-1", "zone": "zone-a", "address": "$net.21:8000", "work": "$service_work"},
    {"name": "records-2", "zone": "zone-b", "address": "$net.22:8000", "work": "$service_work"}
  ]
}
JSON
}

# common_settings VM PORT
common_settings() {
	local platform="http://$net.101:7000"
	[ "$(vm_zone "$1")" = zone-b ] && platform="http://$net.102:7000"
	printf '"node":{"name":"vm-%s","region":"local","zone":"%s"},"listen":"%s.%s:%s","adminListen":"%s.%s:%s",' \
		"$1" "$(vm_zone "$1")" "$net" "$1" "$2" "$net" "$1" "$(($2 + 1000))"
	printf '"platform":{"logURL":"%s","vmListURL":"%s","timeout":"2s"},' "$platform" "$platform"
	printf '"schedulers":["%s.1:8002","%s.2:8002","%s.3:8002","%s.4:8002"],"shutdownTimeout":"20s"' "$net" "$net" "$net" "$net"
}

write_vm_settings() { # VM
	printf '{%s,"peerListen":"%s.%s:8001","announcePeriod":"2s","claimsRetention":"30m"}\n' "$(common_settings "$1" 8000)" "$net" "$1" >"$work/gateway-$1.json"
	printf '{%s}\n' "$(common_settings "$1" 8002)" >"$work/scheduler-$1.json"
	printf '{%s}\n' "$(common_settings "$1" 8003)" >"$work/apiserver-$1.json"
}

declare_resources() {
	printf '[{"kind":"priorityclasses","name":"urgent","spec":{"rank":0,"queueLimit":1000,"maximumWaitMs":20000}},\n'
	printf '{"kind":"priorityclasses","name":"standard","spec":{"rank":1,"queueLimit":1000,"maximumWaitMs":40000}},\n'
	printf '{"kind":"priorityclasses","name":"background","spec":{"rank":2,"queueLimit":1000,"maximumWaitMs":60000}},\n'
	local i checks
	for i in 1 2 3 4; do
		checks=true; [ $((i % 2)) -eq 0 ] && checks=false
		printf '{"kind":"backendservers","name":"engine-%s","spec":{"zone":"%s","address":"%s.1%s:8000","baseModel":"base","slots":%s,"concurrency":32,"checksFence":%s,"drain":false}},\n' \
			"$i" "$(vm_zone "$i")" "$net" "$i" "$slots" "$checks"
	done
	printf '{"kind":"services","name":"records","spec":{"endpoints":[{"zone":"zone-a","address":"%s.21:8000","drain":false},{"zone":"zone-b","address":"%s.22:8000","drain":false}],"nonIdempotent":[{"method":"POST","pathPrefix":"/"}]}}' "$net" "$net"
	for i in $(seq 0 $((adapters - 1))); do
		printf ',\n%s' "$(adapter_resource "$i" v1 v1)"
	done
	printf ']\n'
}

# adapter_resource NUMBER DEFAULT VERSION...: the JSON of an adapter.
adapter_resource() {
	local name number=$1 default=$2 versions=""
	name=$(printf 'adapter-%04d' "$number")
	shift 2
	for version in "$@"; do versions+=",{\"name\":\"$version\",\"path\":\"adapters/$name/$version\"}"; done
	printf '{"kind":"adapters","name":"%s","spec":{"baseModel":"base","versions":[%s],"defaultVersion":"%s","priorityClass":"standard"}}' \
		"$name" "${versions#,}" "$default"
}

# site_in_force waits until the declared resources are in force.
site_in_force() { ctl wait --timeout 30s >>"$work/apply.out"; }

# site_open starts all processes, declares the resources, and waits until these are in force and all processes are
# ready.
site_open() {
	rm -rf "$work"
	mkdir -p "$work"
	write_standin_settings
	process_start standin waxwing-standin "$work/standin.json"
	wait_for "http://$net.100:7001/readyz"
	local vm
	for vm in 1 2 3 4; do
		write_vm_settings "$vm"
		vm_start scheduler "$vm"
		vm_start apiserver "$vm"
		vm_start gateway "$vm"
	done
	for vm in 1 2 3 4; do vm_ready scheduler "$vm"; vm_ready apiserver "$vm"; done
	declare_resources >"$work/resources.json"
	ctl apply -f "$work/resources.json" >"$work/apply.out"
	site_in_force
	for vm in 1 2 3 4; do vm_ready gateway "$vm"; done
}

# site_close stops all processes except the stand-ins in parallel, then the stand-ins, and counts unclean exits in
# failures.
site_close() {
	local name
	for name in "${!process_ids[@]}"; do
		[ "$name" = standin ] || kill -TERM "${process_ids[$name]}" 2>/dev/null || true
	done
	for name in "${!process_ids[@]}"; do
		[ "$name" = standin ] && continue
		process_stop "$name" || { echo "$name did not stop cleanly (exit code $?)" >&2; failures=$((failures + 1)); }
	done
	process_stop standin 5 || failures=$((failures + 1))
}

# site_abort kills all remaining processes, for use in a trap.
site_abort() {
	local name
	for name in "${!process_ids[@]}"; do
		kill -CONT "${process_ids[$name]}" 2>/dev/null || true
		kill -KILL "${process_ids[$name]}" 2>/dev/null || true
	done
}
