#!/bin/sh
# Writes down the classes that a gateway of the platform loads, so that it starts sooner on its part of a core. Without
# the archive it starts all the same, only later; so a machine that can't play the warm-up still has its gateway.
cd "$(dirname "$0")/.."
rm -f target/platform.jsa
timeout 60 java -XX:ArchiveClassesAtExit=target/platform.jsa -XX:+UseSerialGC -XX:TieredStopAtLevel=1 \
  -Dio.netty.allocator.type=unpooled -Dio.netty.noPreferDirect=true -Dslf4j.provider=flintlead.platform.RateLimitedLog -Dslf4j.internal.verbosity=WARN \
  -jar target/flintlead.jar platform warm-up >target/archive.log 2>&1 || rm -f target/platform.jsa
