#!/bin/sh
# Fuzzes each target: SEED, seconds and inputs for each (-1: no limit).
# A number of inputs is for runs that can be repeated, so these begin with the
# corpus of the repository alone; others add to what earlier ones came to.
# What is found stays in build-fuzz/.
seed=$1 seconds=$2 runs=$3
fail=0
[ "$runs" -ge 0 ] && rm -rf build-fuzz/seeded
for dir in tests/corpus/*/; do
	target=$(basename "$dir")
	grown=build-fuzz/corpus/$target
	[ "$runs" -ge 0 ] && grown=build-fuzz/seeded/$target
	mkdir -p "$grown"
	log=build-fuzz/$target.log
	if GD_FUZZ=$target build-fuzz/fuzz -seed="$seed" -runs="$runs" \
		-max_total_time="$seconds" -timeout=10 -rss_limit_mb=1024 \
		-dict=tests/fuzz.dict -print_final_stats=1 \
		-artifact_prefix="build-fuzz/found-$target-" \
		"$grown" "$dir" >"$log" 2>&1; then
		echo "fuzz: $target seed $seed:" \
			"$(sed -n 's/^stat::number_of_executed_units: *//p' \
			"$log") inputs, nothing found"
	else
		fail=1
		echo "fuzz: $target seed $seed: FOUND, see $log"
		grep -E 'ERROR|runtime error|SUMMARY|Test unit' "$log"
	fi
done
exit $fail
