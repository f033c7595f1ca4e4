#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start beside target/gd-fleet: the
# project's stand-ins gd-site and gd-faultproxy, and the small HTTP client.
set -eu
cd "$(dirname "$0")/.."
make build/gd-site build/gd-faultproxy
mkdir -p build/review-2
gcc -std=gnu11 -O2 -Wall -Wextra -o build/review-2/call review/tools-2/call.c \
	$(pkg-config --cflags --libs libcurl)
