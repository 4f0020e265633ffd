#!/usr/bin/env bash
# Compiles the harness and the stand-ins that the scripts of review/ start. Needs only the JDK.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac --release 17 -d target/review review/src/*.java
