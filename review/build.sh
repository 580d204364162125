#!/usr/bin/env bash
# Builds the stand-ins and the cases into review/classes. Needs nothing but the JDK.
set -euo pipefail
. "$(dirname "${BASH_SOURCE[0]}")/../bin/common.sh"
cd "$root/review"
rm -rf classes
mkdir -p classes
mapfile -t sources < <(find standins [1-5] -name '*.java')
"$JAVA_HOME/bin/javac" -nowarn -d classes "${sources[@]}"
