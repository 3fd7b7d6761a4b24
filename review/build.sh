#!/bin/sh
# Builds the cases with their stand-ins into review/bin. It needs no network once the deploy file's build has run.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
for n in review/[0-9]; do
	go build -o "review/bin/$(basename "$n")" "./$n"
done
