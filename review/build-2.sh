#!/bin/sh
# Builds the stand-ins of cases 6 to 10 into target/review-2; run after the build of deploy/balancer.toml. The project's
# own stand-ins that they use are in target/flintlead.jar.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -J-XX:-UsePerfData -nowarn -d target/review-2 -cp "target/flintlead.jar:target/lib/*" review/standins-2/*.java
