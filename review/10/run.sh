#!/usr/bin/env bash
# Runs the case after `bash deploy/build.sh` and `review/build-2.sh`: 1 broken, 0 held, 2 not run.
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
. "$here/../../bin/common.sh" || exit 2
[ -x "$root/target/runtime/bin/java" ] && [ -d "$root/target/review-2" ] || exit 2
exec "$JAVA_HOME/bin/java" -Xmx1g -cp "$root/target/review-2" fuchsiareview2.Case10 "$here" "$root"
