#!/usr/bin/env bash
# Builds the files that the gateway needs at run time into target/: jars, a link to the JDK and an
# ahead-of-time cache of loaded and linked classes, without which a start takes much longer.
set -euo pipefail
. "$(dirname "${BASH_SOURCE[0]}")/../bin/common.sh"
cd "$root"
mvn -q -B -DskipTests -pl core,wire,platform,gateway package
rm -rf target/app target/runtime target/gateway.aot target/gateway.jsa target/training
mkdir -p target/app target/training
cp gateway/target/lib/*.jar target/app/
for module in core wire platform gateway; do
    cp "$module/target/fuchsiaspindle-$module-0.1.0-SNAPSHOT.jar" target/app/
done
ln -s "$JAVA_HOME" target/runtime

# The JVM uses the cache only if the class path and these options are the same at run time.
mapfile -t options < <(sed -n 's/^run = "target\/runtime\/bin\/java \(.*\) org\.fuchsiaspindle.*/\1/p' \
    deploy/system.toml | tr ' ' '\n' | grep -v -e '^-XX:SharedArchiveFile' -e '^-Xlog')

# Runs the gateway once to record the classes for the cache. This training run listens on unused loopback
# ports, has no store, serves one request and stops.
cat > target/training/settings.json <<'SETTINGS'
{"node": "training", "ip": "127.0.0.1", "zone": "none", "portRange": [27660, 27675],
 "listen": {"front": "127.0.0.1:27644", "readiness": "127.0.0.1:27640"}, "seeds": [],
 "heartbeatMs": 1000, "bounds": {"graceS": 4, "drainMs": 1000},
 "platform": {"address": "127.0.0.1:27642"}}
SETTINGS
FUCHSIASPINDLE_SETTINGS=target/training/settings.json \
    target/runtime/bin/java -XX:AOTCacheOutput=target/gateway.aot "${options[@]}" \
    org.fuchsiaspindle.gateway.GatewayMain > target/training/log 2>&1 &
training=$!
for _ in $(seq 100); do
    grep -q 'gateway: started' target/training/log && break
    sleep 0.1
done
exec 3<> /dev/tcp/127.0.0.1/27644 &&
    printf 'GET /lots/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n' >&3 &&
    timeout 2 cat <&3 > target/training/answer || true
kill -TERM "$training" 2> /dev/null || true
wait "$training" || true
if [ ! -s target/gateway.aot ]; then
    # Not an error: without the cache, the gateway only starts more slowly.
    echo "ahead-of-time cache was not created; see target/training/log" >&2
fi
