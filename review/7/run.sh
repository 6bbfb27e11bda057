#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
. "$root/bin/lib/java.sh"
[ -f "$root/target/review-2/Endless.class" ] && [ -d "$root/target/platform" ] || exit 2
timeout -k 3 117 "$JAVA_HOME/bin/java" -Xmx512m -XX:-UsePerfData -cp "$root/target/review-2" Endless "$here" "$root"
code=$?
[ "$code" -le 2 ] && exit "$code"
exit 2
