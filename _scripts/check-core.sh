#!/usr/bin/env bash
# Fails if core does input or output, reads a clock, sets a timer, starts a goroutine or
# uses global randomness.
set -euo pipefail
cd "$(dirname "$0")/.."
bad=0
imports=$(cd core && GOWORK=off go list -f '{{$p := .ImportPath}}{{range .Imports}}{{$p}} {{.}}{{"\n"}}{{end}}' ./...)
if grep -E ' (net|net/http|os|os/.*|syscall|io/ioutil|log|crypto/rand|math/rand)$' <<<"$imports"; then
	echo "the core imports a package that does input or output" >&2
	bad=1
fi
files=$(git ls-files --cached --others --exclude-standard 'core/*.go' | grep -v '_test\.go$')
if grep -nE 'time\.(Now|Sleep|After|AfterFunc|Tick|NewTimer|NewTicker|Since|Until)\(' $files; then
	echo "the core reads a clock or sets a timer" >&2
	bad=1
fi
if grep -nE '\brand\.(Int|IntN|Uint|Float|Perm|Shuffle|N|Norm|Exp)[A-Za-z0-9]*\(' $files; then
	echo "the core uses global randomness" >&2
	bad=1
fi
if grep -nE '^\s*go (func|[a-z])' $files; then
	echo "the core starts a goroutine" >&2
	bad=1
fi
exit $bad
