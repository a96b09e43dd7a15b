#!/usr/bin/env bash
# Lays what the bench looks for beside a site file: the names on the sockets and the wire, and the troubles that are known.
# Usage: deploy/sites/lay.sh [KIT]. KIT is the bench's folder; without it, ../given/kit beside the repository.
set -euo pipefail
cd "$(dirname "$0")"
kit=${1:-../../../given/kit}
if [ $# -gt 0 ] && [[ $kit != /* ]]; then
	kit=$OLDPWD/$kit
fi
[ -d "$kit" ] || { echo "lay.sh: no kit at $kit; name its folder: deploy/sites/lay.sh KIT" >&2; exit 1; }

# The later folder goes first: its copies are the ones that its bench was made for.
for from in "$kit/more/mass/other" "$kit/sites"; do
	if [ -f "$from/real.json" ] && [ -f "$from/wire.json" ] && [ -f "$from/unlock.txt" ]; then
		install -m 644 "$from/real.json" "$from/wire.json" "$from/unlock.txt" .
		echo "lay.sh: real.json, wire.json and unlock.txt laid from $from"
		exit 0
	fi
done
echo "lay.sh: $kit has no folder with real.json, wire.json and unlock.txt together" >&2
exit 1
