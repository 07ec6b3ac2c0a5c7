#!/usr/bin/env bash
# Workers crash and start again under their ids.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/harness3 ] || { echo "run review/build-3.sh first"; exit 2; }
exec target/harness3 reborn review/11
