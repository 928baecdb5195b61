#!/usr/bin/env bash
# Fails if a program is not linked dynamically to the C library.
set -euo pipefail
for program in "$@"; do
	libraries=$(ldd "$program")
	if [[ $libraries != *libc.so* ]]; then
		echo "$program is not linked to the C library" >&2
		exit 1
	fi
done
