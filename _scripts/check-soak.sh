#!/usr/bin/env bash
# Shows that the soak finds what is missing: takes one safeguard after the other
# out of a copy of the source, and expects a broken promise of each.
set -euo pipefail
cd "$(dirname "$0")/.."
make -s build
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
mkdir "$copy/source"
cp -r go.work go.work.sum core lugd lugctl lugbench platform "$copy/source"

# without NAME FILE OLD NEW FLAGS...: replaces OLD, which must be there, by NEW,
# and runs the soak beside the others.
without() {
	local name=$1 file=$copy/source/$2 old=$3 new=$4
	local own=$copy/${name// /-}
	shift 4
	mkdir "$own"
	cp "$file" "$own/saved"
	grep -qF -- "$old" "$file" || { echo "$name: $file has no \"$old\""; exit 1; }
	OLD=$old NEW=$new perl -pi -e 's/\Q$ENV{OLD}\E/$ENV{NEW}/' "$file"
	(cd "$copy/source" && go build -ldflags=-linkmode=external -o "$own/lugd" ./platform/cmd/lugd)
	cp "$own/saved" "$file"
	(
		if target/lugbench soak --lugd "$own/lugd" "$@" >"$own/report" 2>&1; then
			echo "$name: not found"
			touch "$copy/failed"
		else
			echo "$name: found: $(sed -n '/^broken:/,$p' "$own/report" | sed -n 2p)"
		fi
	) &
}

without "lease" core/gateway/flight.go 'age > mac.set.Terms.RevokeTime-proofSlack' 'age > time.Hour' --seed 1 --for 8s
without "retry rule" core/gateway/flight.go 'evt.Verdict == verdict.NotRun || fli.route.Idempotent)' 'true)' --seed 2 --for 30s
without "drain" core/registry/registry.go 'tgt.entry.Service != service || tgt.entry.Leaving' 'tgt.entry.Service != service' --seed 1 --for 8s
without "subtraction of tokens" core/quota/server.go 'acc.ready -= rate.Tokens(gra.Count) * rate.Request' 'acc.sum = 0' --seed 1 --for 8s
without "verdict" core/gateway/flight.go 'ref.Verdict = fli.verdict' 'ref.Verdict = verdict.NotRun' --seed 2 --for 30s
wait
test ! -e "$copy/failed"
