#!/usr/bin/env bash
# Runs the program of a case. Arguments: the case's folder, its main class.
set -u
root=$(cd "$(dirname "$0")/../.." && pwd)
. "$root/bin/lib/java.sh" || exit 2
cd "$root" || exit 2
[ -d review/target/classes ] && [ -d target/platform ] || { echo "not built" >&2; exit 2; }
exec timeout -k 5 110 "$JAVA_HOME/bin/java" -cp review/target/classes "$2" "$1"
