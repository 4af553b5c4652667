#!/bin/sh
# Plays case 9. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 plays it without
# the disruption. Needs the build of the deploy file and of review/build-2.sh.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd) || exit 2
for program in ../bin/rig2 "$root/bin/olivebridge"; do
	if [ ! -x "$program" ]; then
		echo "could not run: $program is missing"
		exit 2
	fi
done
exec ../bin/rig2 upload-at-restart "$root" record.txt
