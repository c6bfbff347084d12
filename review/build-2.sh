#!/usr/bin/env bash
# Builds the stand-ins of the cases review/6 to review/10. Needs the JDK that the program is built with, and no network.
set -euo pipefail
cd "$(dirname "$0")/kit-2"
rm -rf target
mkdir -p target/classes
javac -encoding UTF-8 -d target/classes src/*.java
