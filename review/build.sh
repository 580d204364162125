#!/usr/bin/env bash
# Builds the stand-ins and the cases into target/review. Needs nothing but the JDK.
set -euo pipefail
. "$(dirname "${BASH_SOURCE[0]}")/../bin/common.sh"
cd "$root/review"
rm -rf "$root/target/review"
mkdir -p "$root/target/review"
mapfile -t sources < <(find . -name '*.java')
"$JAVA_HOME/bin/javac" -nowarn -d "$root/target/review" "${sources[@]}"
