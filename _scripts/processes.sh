#!/usr/bin/env bash
# Runs five VMs as processes on loopback under load while one is killed, one is
# frozen for a while and one is stopped gracefully, and checks every order
# against what the targets ran. It ends only the processes that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
make --silent build
work=$(mktemp -d)
pids=()
cleanup() {
	for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; kill -KILL "$pid" 2>/dev/null || true; done
	rm -rf "$work"
}
trap cleanup EXIT

bin/lugbench standins >"$work/standins.log" 2>&1 &
pids+=($!)
start_vm() {
	bin/lugd run --name "vm-$1" --failure-domain "domain-$(($1 % 3 + 1))" --platform http://127.0.0.1:18000 \
		--caller-address "127.0.0.1:181$1" --peer-address "127.0.0.1:182$1" --operator-address "127.0.0.1:183$1" \
		--plain-text callers,peers,operators --balancer-lag 200ms --log-format text >"$work/vm-$1.log" 2>&1 &
	pids+=($!)
	vm_pid=$!
}
declare -A vm
for num in 10 11 12 13 14; do
	start_vm "$num"
	vm[$num]=$vm_pid
done
members() { bin/lugctl --address http://127.0.0.1:18310 --output json vm list 2>/dev/null | grep -c '"ready": true' || true; }
for _ in $(seq 100); do [ "$(members)" = 5 ] && break; sleep 0.2; done
echo "VMs ready: $(members)"
bin/lugbench drive --note >"$work/note.yaml"
bin/lugctl --address http://127.0.0.1:18310 release apply "$work/note.yaml"
bin/lugbench drive --per-second 50 --for 24s 127.0.0.1:18110 127.0.0.1:18111 127.0.0.1:18112 127.0.0.1:18113 127.0.0.1:18114 >"$work/drive.log" 2>&1 &
drive=$!
sleep 3
echo "killing vm-11"
kill -KILL "${vm[11]}"
sleep 3
echo "freezing vm-12 for 8 s"
kill -STOP "${vm[12]}"
sleep 8
kill -CONT "${vm[12]}"
sleep 2
echo "stopping vm-13"
kill -TERM "${vm[13]}"
wait "${vm[13]}" && echo "vm-13 ended with exit code 0"
result=0
wait "$drive" || result=$?
cat "$work/drive.log"
bin/lugctl --address http://127.0.0.1:18310 vm list
exit "$result"
