#!/bin/sh
# Builds what the scripts of the cases start beside target/gd-fleet: the
# project's gd-site, a variant of it and the small tools of this folder. All of
# it goes to build/review.
set -eu
cd "$(dirname "$0")/.."
out=build/review
mods="talloc tevent libmicrohttpd libcurl jansson glib-2.0 libxxhash"
mkdir -p "$out"
make build/gd-site build/libgd.a >/dev/null
cp --remove-destination build/gd-site "$out/gd-site"
# shellcheck disable=SC2046
compile() {
	gcc -std=gnu11 -O2 -g -Wall -Wextra -D_GNU_SOURCE -Isrc -I. \
		$(pkg-config --cflags $mods) -o "$@" \
		build/libgd.a $(pkg-config --libs $mods) -lpthread -lm
}
compile "$out/http" review/tools/http.c
compile "$out/advisor" review/tools/advisor.c
compile "$out/gd-site-limited" -Wl,--wrap=store_handle \
	review/tools/row_limit.c build/standins/site*.o
echo "built in $out"
