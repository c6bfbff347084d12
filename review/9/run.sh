#!/usr/bin/env bash
# Ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -d ../kit-2/target/classes ] && [ -f ../../edge/target/edge-gateway.jar ] || { echo 'build first'; exit 2; }
java -Droot=../.. -Drecord=record.txt -cp ../kit-2/target/classes Run SlowServerCase
