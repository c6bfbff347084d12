# Sourced by run.sh of a case: runs the class that is named, as exit code 0, 1 or 2.
run_case() {
  local here=$1 class=$2 root work
  root=$(cd "$here/../.." && pwd)
  if [ ! -e "$root/review/out/$class.class" ] || [ ! -e "$root/edge/target/edge-gateway.jar" ]; then
    echo "not built: run the build of the deploy file, then review/build.sh" >&2
    exit 2
  fi
  work=$(mktemp -d)
  trap 'rm -rf "$work"' EXIT
  local code=0
  timeout -k 3 112 java -Xmx512m -Droot="$root" -Dwork="$work" -Drecord="$here/record.txt" \
    -cp "$root/review/out" "$class" || code=$?
  [ "$code" -le 1 ] || code=2
  exit "$code"
}
