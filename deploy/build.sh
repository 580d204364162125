#!/usr/bin/env bash
# Builds the files that the gateway needs at run time into target/: jars, a link to the JDK and an
# ahead-of-time cache of loaded and linked classes, without which a start takes much longer.
set -euo pipefail
. "$(dirname "${BASH_SOURCE[0]}")/../bin/common.sh"
cd "$root"
rm -rf gateway/target/lib
mvn -q -B -DskipTests -pl core,wire,platform,gateway package
rm -rf target/app target/runtime target/gateway.aot target/gateway.aot.config
mkdir -p target/app
cp gateway/target/lib/*.jar target/app/
for module in core wire platform gateway; do
    cp "$module/target/fuchsiaspindle-$module-0.1.0-SNAPSHOT.jar" target/app/
done
ln -s "$JAVA_HOME" target/runtime

# The training run serves requests of an emulated platform with the command of the deploy file, because
# the JVM uses the cache only if the class path and its options are the same at run time. The stand-ins
# are built after the gateway: if they fail, the gateway only starts more slowly.
train() {
    mvn -q -B -DskipTests -pl testbed -am package &&
        "$JAVA_HOME/bin/java" -Dlogback.configurationFile=daemon/target/classes/logback.xml \
            -cp "$(class_path core wire platform daemon gateway cli testbed)" \
            org.fuchsiaspindle.testbed.bench.Bench train-startup target/gateway.aot
}
train > target/training.log 2>&1 || true
if [ ! -s target/gateway.aot ]; then
    echo "ahead-of-time cache was not created; see target/training.log" >&2
fi
