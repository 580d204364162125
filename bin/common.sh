# Functions shared by the launch scripts: find JDK 25, build, and assemble the class path. This file
# is sourced, not run.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)

find_jdk() {
    local candidate
    for candidate in "${FUCHSIASPINDLE_JAVA_HOME:-}" "${JAVA_HOME:-}" /usr/lib/jvm/temurin-25-jdk* \
            /usr/lib/jvm/*25*; do
        if [ -n "$candidate" ] && [ -x "$candidate/bin/java" ] &&
                grep -q '^JAVA_VERSION="25' "$candidate/release" 2>/dev/null; then
            echo "$candidate"
            return
        fi
    done
    echo "error 8001 invalid_setting: no JDK 25 found; set FUCHSIASPINDLE_JAVA_HOME" >&2
    return 2
}

JAVA_HOME=$(find_jdk) || exit 2
export JAVA_HOME

# Touched after each complete build; a newer source file triggers a rebuild.
build_stamp="$root/target/built"

build_if_needed() {
    if [ -e "$build_stamp" ] && [ -z "$(find "$root" -path '*/target' -prune -o \
            \( -name '*.java' -o -name pom.xml -o -name logback.xml \) -newer "$build_stamp" -print \
            -quit)" ]; then
        return
    fi
    echo "building ..." >&2
    (cd "$root" && mvn -q -B -DskipTests package >&2) || exit 3
    mkdir -p "$root/target"
    touch "$build_stamp"
}

# Prints the class path of the last given module: the classes of all given modules and the last one's
# libraries.
class_path() {
    local path="" module
    for module in "$@"; do
        path="$path$root/$module/target/classes:"
    done
    echo "$path$root/${!#}/target/lib/*"
}

small_heap_options=(-XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:+UseCompactObjectHeaders -Xss512k
    -XX:MaxMetaspaceSize=64m -XX:ReservedCodeCacheSize=32m
    --enable-native-access=ALL-UNNAMED --sun-misc-unsafe-memory-access=allow)
