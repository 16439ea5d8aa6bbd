#!/bin/sh
# Starts one gateway of the platform within the memory that its configuration allows. The JVM must know its bounds
# before it starts; the limit counts everything, so the heap is less than half of it.
set -eu
memory=$(sed -n 's/.*"memory_mb"[^0-9]*\([0-9]*\).*/\1/p' "$ROUTER_CONFIG" | head -n 1)
memory=${memory:-64}
if [ "$memory" -ge 160 ]; then heap=64; code=24
elif [ "$memory" -ge 96 ]; then heap=32; code=16
elif [ "$memory" -ge 64 ]; then heap=16; code=12
else heap=8; code=6
fi
FLINTLEAD_JAVA=${FLINTLEAD_JAVA:-}
archive=
if [ -f target/platform.jsa ]; then archive=-XX:SharedArchiveFile=target/platform.jsa; fi
export MALLOC_ARENA_MAX=1
exec java $FLINTLEAD_JAVA -Xms${heap}m -Xmx${heap}m -Xss256k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:ReservedCodeCacheSize=${code}m \
  -XX:MaxMetaspaceSize=40m -XX:MaxDirectMemorySize=8m -XX:-UsePerfData -XX:+ExitOnOutOfMemoryError -Xshare:auto $archive \
  -Djava.io.tmpdir="${TMPDIR:-/tmp}" -Dio.netty.allocator.type=unpooled -Dio.netty.noPreferDirect=true -Djdk.nio.maxCachedBufferSize=65536 \
  -Dslf4j.provider=flintlead.platform.FaultLog -Dslf4j.internal.verbosity=WARN -jar target/flintlead.jar platform
