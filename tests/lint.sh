#!/bin/sh
# Checks that no tool makes: layers, event catalogue, stray marks.
fail=0
err() { echo "lint: $*" >&2; fail=1; }

# A lower layer never includes a higher one.
layers="base transport protocol org coordination state"
below=""
for layer in $layers; do
	above=""
	seen=no
	for other in $layers daemon entry sched tools; do
		[ "$seen" = yes ] && above="$above $other"
		[ "$other" = "$layer" ] && seen=yes
	done
	for other in $above; do
		grep -nH "#include \"$other/" src/$layer/*.[ch] &&
			err "$layer includes $other"
	done
done
grep -nH '#include "sched/' src/entry/*.[ch] && err "entry includes sched"
grep -nH '#include "entry/' src/sched/*.[ch] && err "sched includes entry"

# The platform's names stay in its folder, and nothing includes that.
words='run-start|run-stop|rows-tx|rows-get|rows-feed|rows-parts|blob-put'
words="$words|fence_token|ack_seq|machine-move|machine-upkeep|run_start"
words="$words|Expect-Instance|GODWITDRUM_BOOT|max_per_server"
words="$words|estimate_ms|long_running|slack_factor|set_keys|expected_rev"
grep -nHE "\b($words)\b" $(git ls-files 'src/*.[ch]') &&
	err "a name of the platform outside platform/"
grep -nH '#include "pf_' $(git ls-files 'src/*.[ch]') &&
	err "src includes platform"
for f in fleet; do
	grep -nH "#include \"$f/" src/base/*.[ch] src/transport/*.[ch] \
		src/protocol/*.[ch] src/org/*.[ch] src/coordination/*.[ch] \
		src/state/*.[ch] &&
		err "a lower layer includes $f"
done
for f in $(git ls-files '*.[ch]'); do
	[ "$(wc -l <"$f")" -le 600 ] || err "$f has more than 600 lines"
done

# The events of the code are those of the catalogue.
code=$(mktemp) docs=$(mktemp)
sed -n 's/^[[:space:]]*X(LOG_[A-Z_]*, \([0-9]*\), \([0-9]\), "\(.*\)").*/\1 \2 \3/p' \
	src/base/log.h | sort >"$code"
sed -n 's/^| GD\([0-9]*\) | \([0-9]\) | \([^|]*\) |.*/\1 \2 \3/p' \
	docs/EVENTS.md | sed 's/ *$//' | sort >"$docs"
diff "$code" "$docs" || err "docs/EVENTS.md and src/base/log.h differ"
rm -f "$code" "$docs"

# Every settings key is described for operators.
for key in $(sed -n 's/^[[:space:]]*INT(\([a-z_]*\),.*/\1/p' \
	src/protocol/settings.c); do
	grep -q "\`$key\`" docs/OPERATIONS.md ||
		err "docs/OPERATIONS.md does not describe $key"
done
exit $fail
