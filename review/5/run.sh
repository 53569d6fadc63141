#!/usr/bin/env bash
# Plays the case once: 1 the rule was broken, 0 it held, 2 it couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
LICHENLUGD=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml | head -1)
script=target/review-2/review-deleted_runner
[ -x "$script" ] && [ -x "$LICHENLUGD" ] || exit 2
export LICHENLUGD RECORD=review/5/record.txt
exec "$script"
