#!/usr/bin/env bash
# Model checks the models of this folder with spin: each bound
# exhaustively, then each mutation, which has to fail. Needs spin and gcc (Debian: spin, gcc).
set -euo pipefail
cd "$(dirname "$0")"
command -v spin >/dev/null || { echo "spin is missing (remedy: apt-get install spin)"; exit 1; }
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# search MODEL NAME EXPECTED_ERRORS SPIN_FLAG...
search() {
	local model=$1 name=$1-$2 expected=$3
	shift 3
	mkdir "$work/$name"
	cp "$model.pml" "$work/$name"
	(
		cd "$work/$name"
		spin -a "$@" "$model.pml" >spin.log 2>&1 || { cat spin.log; exit 1; }
		gcc -O2 -w -DSAFETY -DCOLLAPSE -DMEMLIM=8000 -o pan pan.c
		./pan -E -m100000 >pan.log 2>&1 || true
	)
	local errors states whole
	errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' "$work/$name/pan.log")
	states=$(sed -n 's/ *\([0-9.e+]*\) states, stored.*/\1/p' "$work/$name/pan.log")
	whole=yes
	if grep -q "Search not completed" "$work/$name/pan.log"; then whole=no; fi
	printf '%-30s errors %s, states %s, searched whole: %s\n' "$name" "$errors" "$states" "$whole"
	if [ "$expected" = 0 ] && { [ "$errors" != 0 ] || [ "$whole" = no ]; }; then echo "FAIL: $name"; exit 1; fi
	if [ "$expected" = 1 ] && [ "$errors" = 0 ]; then echo "FAIL: $name is not found"; exit 1; fi
}

search claim proposals 0 -DNO_RESTART
search claim restart 0 -DTWO_PROPOSALS
if [ "${1:-}" = --long ]; then search claim reconfigurers 0 -DTWO_RECONFIGURERS; fi
search claim witness 1 -DWITNESS
for mutant in NO_CARRY NO_SEAL FAST_OVERRIDE REJOIN; do
	search claim "mutant-$mutant" 1 "-DMUTANT_$mutant"
done
search fence once 0
search fence witness 1 -DWITNESS
for mutant in NO_FENCE LATE_CHECK ANY_INCARNATION; do
	search fence "mutant-$mutant" 1 "-DMUTANT_$mutant"
done
search revoke believed 0
search revoke witness 1 -DWITNESS
for mutant in PUSHED FROM_ANSWER NO_VERSION VERSION_FIRST; do
	search revoke "mutant-$mutant" 1 "-DMUTANT_$mutant"
done
