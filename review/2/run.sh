#!/usr/bin/env bash
# Exit 1: a planned restart cut off an answer that the archive server had given whole. 0: it cut none.
# 2: could not run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../kit/Case.sh"
run_case "$here" CaseRestart
