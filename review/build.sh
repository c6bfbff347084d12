#!/usr/bin/env bash
# Builds the stand-ins that the cases start. Needs a JDK 17 and nothing else.
set -eu
cd "$(dirname "$0")"
rm -rf out
mkdir -p out
javac -nowarn -d out kit/*.java $(ls ./*/Case*.java)
