#!/usr/bin/env bash
# Runs the case with the given number. Exits with 1 if its rule was broken, 0 if it held, 2 if it could not run.
number=$1
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
. bin/jdk.sh || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout 115 "$JAVA_HOME/bin/java" -Xmx512m -cp target/review-2 CaseMain "$number" "review/$number" "$folder"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
