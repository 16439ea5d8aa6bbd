#!/bin/sh
# Compiles the stand-ins of the cases with the JDK alone, into review/classes.
set -eu
cd "$(dirname "$0")"
mkdir -p classes
javac -J-XX:-UsePerfData -nowarn -d classes standins/*.java
