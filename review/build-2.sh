#!/bin/sh
# Builds the programs of the second review's cases, which contain their stand-ins, into bin/. Run after the deploy
# file's build. It needs no network.
cd "$(dirname "$0")/.." || exit 2
for n in 6 7 8 9 10; do
	[ ! -d "review/$n" ] || go build -o "bin/review-$n" "./review/$n" || exit 2
done
