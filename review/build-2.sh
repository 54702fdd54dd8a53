#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases 6 to 10 under target/review-2; needs the JDK only.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
. bin/jdk.sh
rm -rf target/review-2
mkdir -p target/review-2
"$JAVA_HOME/bin/javac" -Xlint:all -Werror -d target/review-2 review/standin-2/*.java
