#!/usr/bin/env bash
# Part of the build: runs an edge node for a moment and has the JVM archive the classes it loaded
# (class-data sharing). Half of a start's CPU time went into loading them, on the one core that an edge node
# shares. The node is its own app server, discovery and counter here: all of them answer 4xx, and the classes
# for talking to them are loaded all the same. Fails if the archive can't be used by `run`, whose options it takes.
set -u
cd "$(dirname "$0")/.."
# The JVM crashes on an archive that was cut short: it gets its name when it is whole.
archive=edge/target/edge-gateway.jsa
made=$archive.made
options=$(sed -n 's/^run = ".* java \(.*\) -XX:SharedArchiveFile=.*/\1/p' deploy/balancer.toml)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

request() {
  exec 3<> "/dev/tcp/127.0.0.1/$port" || return 1
  printf '%s /api HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Plan: only\r\n' "$@" >&3
  printf 'Cookie: customer=0000000000000001\r\nX-Expires-In-Ms: 500\r\nIdempotency-Key: k\r\n' >&3
  printf 'X-Quota: units=1,spread=2,first=0\r\nContent-Length: 0\r\nConnection: close\r\n\r\n' >&3
  cat <&3 > /dev/null
  exec 3>&-
}

# Runs a node on ports that are free; fails if they are not.
attempt() {
  # Below the ports that connections take for themselves.
  port=$((10000 + RANDOM % 11000 * 2))
  sed "s/18093/$port/g; s/18094/$((port + 1))/g" deploy/archive.json > "$work/config.json"
  rm -f "$archive" "$made"
  GW_CONFIG=$work/config.json java $options -XX:ArchiveClassesAtExit="$made" -jar edge/target/edge-gateway.jar serve \
    > "$work/log" 2>&1 &
  node=$!
  until grep -q '^serving address=' "$work/log"; do
    kill -0 "$node" 2> /dev/null || return 1
    sleep 0.1
  done
  { request GET 1 read; request POST 2 write; request GET 3 unknown; } 2> /dev/null
  for call in vars 'set-down s' 'set-up s' nonsense; do
    { exec 3<> "/dev/tcp/127.0.0.1/$((port + 1))" && echo "$call" >&3 && cat <&3 > /dev/null; exec 3>&-; } 2> /dev/null
  done
  kill "$node"
  wait "$node"
  # The same options as `run`: an archive that they refuse is none.
  java $options -XX:SharedArchiveFile="$made" -Xlog:class+load -jar edge/target/edge-gateway.jar > "$work/loaded" 2>&1
  grep -q 'edgegateway.node.Main source: shared objects file (top)' "$work/loaded"
}

for _ in 1 2 3 4 5; do
  attempt && mv "$made" "$archive" && exit 0
done
echo 'no class archive that can be used was made:' >&2
tail -n 20 "$work/log" >&2
exit 1
