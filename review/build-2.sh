#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases 6 to 10 under target/review-2.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
. "$root/bin/lib/java.sh"
rm -rf "$root/target/review-2"
mkdir -p "$root/target/review-2"
"$JAVA_HOME/bin/javac" -d "$root/target/review-2" "$root"/review/lib-2/*.java
