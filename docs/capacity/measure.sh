#!/usr/bin/env bash
# Measures the slopes of docs/CAPACITY.md anew, in some 20 minutes on eight cores and 6 for distributors, and writes its tables. Lines
# are appended to files in this directory (distributed.jsonl is written anew): remove the old ones first, where only the new are to
# count. The list service's own are measured by pinelab scale, with the commands in slopes.toml.
set -euo pipefail
cd "$(dirname "$0")/../.."
out=docs/capacity
sizes=12,106,212,425,850,1700

bin/pinelab slopes settings --out $out/settings.jsonl
bin/pinelab slopes control --hosts $sizes --out $out/control.jsonl
bin/pinelab slopes control --hosts 106,425,1700 --changes 1,2.5,5,10 --repeat 2 --out $out/control.jsonl
bin/pinelab slopes control --hosts 106,425,1700 --changes 0.061 --windows 3 --window 33s --repeat 1 --out $out/control.jsonl
bin/pinelab slopes control --hosts 12 --processes 1,2,4 --mode beside --out $out/control.jsonl
bin/pinelab slopes control --hosts 106 --instances 425,850,1700 --changes 0.2 --windows 3 --window 20s --settle 15s --repeat 2 \
	--operator $out/spared.toml --mode spared-changes --out $out/control.jsonl
bin/pinelab slopes control --hosts 106 --instances 425,850,1700 --changes 2 --windows 3 --window 12s --settle 15s --repeat 2 \
	--operator $out/spared.toml --mode spared-after --out $out/control.jsonl
bin/pinelab slopes control --hosts $sizes --instances 1700 --windows 3 --window 12s --settle 15s --repeat 2 \
	--operator $out/spared.toml --mode spared --out $out/control.jsonl
bin/pinelab slopes control --hosts $sizes --instances 1 --mode alone --repeat 2 --out $out/control.jsonl
bin/pinelab slopes control --hosts 106,212,425,850,1700 --repeat 2 --beside 5 --mode plain --out $out/control.jsonl &
bin/pinelab slopes control --hosts 106,212,425,850,1700 --repeat 2 --beside 5 --operators --operator $out/audited.toml --mode audited --out $out/control.jsonl
wait
bin/pinelb distribute $out/distributor.toml &
distributor=$!
trap 'kill "$distributor" || true' EXIT
bin/pinelab slopes control --hosts 12 --processes 1,2,4 --repeat 2 --beside 3 --mode beside-plain --out $out/control.jsonl &
plain=$!
bin/pinelab slopes control --hosts 12 --processes 1,2,4 --repeat 2 --beside 3 --operator $out/followed.toml --mode beside-following --out $out/control.jsonl
wait $plain
bin/pinelab distribute --out $out/distributed.jsonl
bin/pinelab slopes audit --out $out/audit.jsonl
bin/pinelab slopes audit --sidecars 1 --stand-ins 212 --trail 2m --repeat 1 --out $out/trails.jsonl
bin/pinelab slopes audit --sidecars 1 --stand-ins 212 --trail 4m --repeat 1 --out $out/trails.jsonl
bin/pinelab slopes audit --sidecars 1 --stand-ins 212 --trail 8m --repeat 1 --out $out/trails.jsonl
bin/pinelab slopes module --out $out/module.jsonl
bin/pinelab slopes requests --out $out/requests.jsonl
bin/pinelab slopes page
