#!/bin/sh
# Starts one gateway of the platform within the memory that its configuration allows. The JVM must know its bounds
# before it starts; the limit counts everything, so the heap is less than half of it.
set -eu
# No other program is started and nothing forked: the platform refuses both, and the gateway is this one process.
config=
while IFS= read -r line || [ -n "$line" ]; do config="$config $line"; done <"$ROUTER_CONFIG"
memory=64
before=
set -f
IFS=' ,:{}[]'
for word in $config; do
  if [ "$before" = '"memory_mb"' ]; then
    case ${word%%.*} in ''|*[!0-9]*) ;; *) memory=${word%%.*} ;; esac
    break
  fi
  before=$word
done
unset IFS
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
  -Dslf4j.provider=flintlead.platform.RateLimitedLog -Dslf4j.internal.verbosity=WARN -jar target/flintlead.jar platform
