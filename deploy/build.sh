#!/bin/sh
# Puts the libraries and the project's packages into target/deps.
set -eu
stamp=target/requirements.installed
if [ ! -e "$stamp" ] || [ -n "$(find requirements.lock deploy/requirements.txt -newer "$stamp")" ]; then
  python3 -m pip install -q --disable-pip-version-check --only-binary :all: --upgrade \
    --target target/deps -r deploy/requirements.txt -c requirements.lock
  touch "$stamp"
fi
for package in packages/core/src/knapweedspring_core \
  packages/relay/src/knapweedspring_relay platform/src/knapweedspring_platform; do
  rm -rf "target/deps/$(basename "$package")"
  cp -r "$package" target/deps/
done
python3 -m compileall -q target/deps || true
