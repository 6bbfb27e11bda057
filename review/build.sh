#!/usr/bin/env bash
# Builds the stand-ins and the cases' programs under review/target.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
. "$root/bin/lib/java.sh"
out="$root/review/target/classes"
rm -rf "$out"
mkdir -p "$out"
find "$root/review" -name '*.java' -not -path '*/target/*' -print0 \
  | xargs -0 "$JAVA_HOME/bin/javac" -Xlint:all -d "$out"
