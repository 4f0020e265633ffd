#!/bin/bash
# Builds the stand-ins that the scripts of review/6 to review/10 start, into target/review-2.
# Needs the JDK that the deploy file needs, and nothing else.
cd "$(dirname "$0")/.." || exit 2
rm -rf target/review-2 && mkdir -p target/review-2 &&
    javac -Xlint:all -d target/review-2 review/standins2/*.java
