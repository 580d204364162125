#!/usr/bin/env bash
# Plays the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
. "$here/../../bin/common.sh" || exit 2
number=$(basename "$here")
[ -e "$root/target/review/Case$number.class" ] && [ -x "$root/target/runtime/bin/java" ] || {
    echo "run deploy/build.sh and review/build.sh first" >&2
    exit 2
}
timeout -k 2 115 "$JAVA_HOME/bin/java" -Xmx1500m -Dreview.root="$root" -cp "$root/target/review" "Case$number" "$here/record.txt"
case $? in
    10) exit 1 ;;
    0) exit 0 ;;
    *) exit 2 ;;
esac
