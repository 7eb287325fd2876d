#!/usr/bin/env bash
# A daemon that cannot listen says so and ends with exit code 1.
set -uo pipefail
program=$1
folder=$(mktemp -d)
trap 'rm -r "$folder"' EXIT
cat >"$folder/settings.yaml" <<SETTINGS
host: one
data_centre: dc-1
listen:
  callers: 203.0.113.1:8080
  operators: 127.0.0.1:18999
  peers: 18998
platform: { adapter: memory }
fleet_secret: secret-of-this-test
operator_digest: "$(printf '0%.0s' {1..64})"
SETTINGS
output=$(timeout 20 "$program" --settings "$folder/settings.yaml" 2>&1)
code=$?
echo "exit code $code: $output"
[ "$code" -eq 1 ] && grep -q "cannot listen\|cannot bind" <<<"$output"
