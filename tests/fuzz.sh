#!/bin/sh
# Fuzzes each target: SEED, seconds and inputs for each (-1: no limit).
# What is new to the fuzzer stays in build-fuzz/, findings too.
seed=$1 seconds=$2 runs=$3
fail=0
for dir in tests/corpus/*/; do
	target=$(basename "$dir")
	mkdir -p "build-fuzz/corpus/$target"
	log=build-fuzz/$target.log
	if GD_FUZZ=$target build-fuzz/fuzz -seed="$seed" -runs="$runs" \
		-max_total_time="$seconds" -timeout=10 -rss_limit_mb=1024 \
		-dict=tests/fuzz.dict -verbosity=1 -print_final_stats=1 \
		-artifact_prefix="build-fuzz/found-$target-" \
		"build-fuzz/corpus/$target" "$dir" >"$log" 2>&1; then
		echo "fuzz: $target seed $seed:" \
			"$(sed -n 's/^stat::number_of_executed_units: *//p' \
			"$log") runs, nothing found"
	else
		fail=1
		echo "fuzz: $target seed $seed: FOUND, see $log"
		grep -E 'ERROR|runtime error|SUMMARY|Test unit' "$log"
	fi
done
exit $fail
