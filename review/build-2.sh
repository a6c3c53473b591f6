#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They need Python's standard library only,
# so this checks that they compile; the relays come from the build of the deploy file.
set -eu
cd "$(dirname "$0")"
for file in harness_2.py [6-9]/play.py 10/play.py; do
  [ -e "$file" ] || continue
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
