#!/usr/bin/env bash
# Builds the programs of a commit of the history as deploy/system.toml says: build-version.sh COMMIT DIRECTORY.
set -euo pipefail
cd "$(dirname "$0")/.."
commit=$1 out=$2
source=$(mktemp -d)
trap 'rm -rf "$source"' EXIT
git archive "$commit" | tar -x -C "$source"
build=$(sed -n 's/^build = "\(.*\)"$/\1/p' "$source/deploy/system.toml")
(cd "$source" && sh -c "$build")
mkdir -p "$out"
cp "$source"/target/* "$out"
