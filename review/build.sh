#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/target; needs the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
. bin/jdk.sh
rm -rf review/target/classes
mkdir -p review/target/classes
"$JAVA_HOME/bin/javac" -Xlint:all,-this-escape -d review/target/classes review/standin/review/*.java
