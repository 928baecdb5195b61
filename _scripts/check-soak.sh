#!/usr/bin/env bash
# Shows that the soak finds missing safeguards: removes one after the other from a copy
# of the source, and expects the soak to report the promise that is then broken.
set -euo pipefail
cd "$(dirname "$0")/.."
make -s build
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
mkdir "$copy/source"
cp -r go.work go.work.sum core lugd lugctl lugbench platform "$copy/source"

# without NAME FILE OLD NEW SEEN FLAGS...: replaces OLD, which FILE must contain, by NEW
# and runs the soak in the background; a broken promise in its report must match SEEN.
without() {
	local name=$1 file=$copy/source/$2 old=$3 new=$4 seen=$5
	local own=$copy/${name// /-}
	shift 5
	mkdir "$own"
	cp "$file" "$own/saved"
	grep -qF -- "$old" "$file" || { echo "$name: $file has no \"$old\""; exit 1; }
	OLD=$old NEW=$new perl -pi -e 's/\Q$ENV{OLD}\E/$ENV{NEW}/' "$file"
	(cd "$copy/source" && go build -ldflags=-linkmode=external -o "$own/lugd" ./platform/cmd/lugd)
	cp "$own/saved" "$file"
	(
		target/lugbench soak --lugd "$own/lugd" "$@" >"$own/report" 2>&1 || true
		if ! sed -n '/^broken:/,$p' "$own/report" | grep -E -- "$seen" >"$own/found"; then
			echo "$name: not found"
			touch "$copy/failed"
		else
			echo "$name: found: $(head -n 1 "$own/found")"
		fi
	) &
}

without "lease" core/gateway/inflight.go 'age > mac.set.Policy.RevokeTime-clockDriftMargin' 'age > time.Hour' 'after its route was withdrawn' --seed 1 --for 8s
without "retry rule" core/gateway/inflight.go 'evt.Verdict == verdict.NotRun || inf.route.Idempotent)' 'true)' 'request-.* ran [0-9]+ times' --seed 2 --for 30s
without "drain" core/registry/registry.go 'if tgt.entry.Leaving {' 'if false {' 'which had left' --seed 1 --for 8s
without "subtraction of tokens" core/quota/server.go 'acc.available -= rate.Tokens(gra.Count) * rate.Request' 'acc.sum = 0' 'requests of potter ran' --seed 1 --for 8s
without "verdict" core/gateway/inflight.go 'ref.Verdict = inf.verdict' 'ref.Verdict = verdict.NotRun' 'was answered 503 and ran' --seed 2 --for 30s
without "signals of a stopping VM" lugd/pkg/edge/signals.go 'cancel(errors.New(sig.String()))' 'cancel(errors.New(sig.String())); signal.Reset(syscall.SIGHUP)' 'told to stop: signal: hangup' --seed 1 --for 20s
without "limits of targets" core/rate/bucket.go 'if bkt.tokens >= Request {' 'if bkt.tokens >= -1<<60 {' 'requests in 4s from VMs that had heard of its limit' --seed 1 --for 20s
without "leaving targets" core/announcement/book.go 'return ent != nil && ent.leaving' 'return ent != nil && false' 'had passed on that it leaves' --seed 8 --for 20s
without "pauses of targets" core/announcement/book.go 'return ent.pausedUntil.Mono - now.Mono' 'return 0' 'after it wanted none' --seed 1 --for 20s
without "drained domains" core/drain/drain.go 'return drained' 'return drained && domain == ""' 'after its failure domain was drained' --seed 1 --for 20s
without "quarantine" core/quarantine/book.go 'if bok.quarantined[fpr] {' 'if false {' 'reached targets [0-9]+ times later' --seed 1 --for 20s
wait
test ! -e "$copy/failed"
