#!/bin/sh
# Needs the build of deploy/system.toml and review/build.sh. TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
stand_in=target/review/release/retention
for program in target/release/azuretide-platform "$stand_in"; do
    [ -x "$program" ] || { echo "$program is not built" >&2; exit 2; }
done
exec "$stand_in" review/1
