#!/usr/bin/env bash
# Runs the commands of OPERATING.md, "First start", as printed there; needs cargo and curl.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
trap 'kill $(jobs -p) 2>/dev/null; rm -rf "$folder"' EXIT

cargo build --release --workspace
PATH="$PWD/target/release:$PATH"

local-platform --daemons 3 --folder "$folder" &
until [ -s "$folder/environment" ]; do sleep 0.2; done
. "$folder/environment"
for number in 1 2 3; do
  teaselcroftd --config "$folder/entry-$number.yaml" --check
  teaselcroftd --config "$folder/entry-$number.yaml" 2>"$folder/entry-$number.log" &
done
until teaselcroft status >/dev/null 2>&1; do sleep 0.2; done

teaselcroft questionnaire template trial > "$folder/trial.yaml"
teaselcroft questionnaire check "$folder/trial.yaml"
teaselcroft team create sites/reservoir/harvest.yaml
teaselcroft team create sites/reservoir/compost.yaml
sed 's/target_ms: 90000/target_ms: 100000/' sites/reservoir/harvest.yaml > "$folder/harvest.yaml"
teaselcroft questionnaire apply "$folder/harvest.yaml" --base 1
if teaselcroft questionnaire apply sites/reservoir/harvest.yaml --base 1; then
  echo "a revision of an old revision was accepted" >&2
  exit 1
fi
teaselcroft team list
teaselcroft team show harvest
teaselcroft team history harvest
until [ "$(teaselcroft status --json | grep -c '"harvest": 2')" -ge 23 ]; do sleep 0.2; done
teaselcroft status

daemon=${TEASELCROFT_DAEMONS%%,*}
curl -sS "http://$daemon/v1/addresses?zone=fayon"; echo
curl -sS "http://$daemon/v1/chat/completions" -H "authorization: Bearer $CUSTOMER_KEY" -H "x-request-id: first" \
  -d '{"model":"quick-question","messages":[{"role":"user","content":"Which weed is this?"}]}'; echo
curl -sS "http://$daemon/v1/services/booking" -H "authorization: Bearer $CUSTOMER_KEY" \
  -H "idempotency-key: barge-7" -d '{"barge":7}'; echo
teaselcroft explain first
curl -sS "http://$daemon/metrics" | grep -c teaselcroft_
echo "first start: every command ran"
