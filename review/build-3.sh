#!/usr/bin/env bash
# Builds the stand-ins of the third review into target/review-3, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
. bin/common.sh
rm -rf target/review-3
mkdir -p target/review-3
"$JAVA_HOME/bin/javac" -nowarn -cp 'target/app/*' -d target/review-3 review/R3*.java
