#!/bin/sh
# Installs the libraries and the project's packages in target/deps and compiles the
# modules on the call path. Without a C compiler these modules run interpreted.
set -eu

# Wheels are preferred: hdrhistogram has none for aarch64 and is built from its source there.
install() { # target folder, requirements file
  stamp=$1.installed
  if [ ! -e "$stamp" ] || [ -n "$(find requirements.lock "$2" -newer "$stamp")" ]; then
    python3 -m pip install -q --disable-pip-version-check --prefer-binary --upgrade \
      --target "$1" -r "$2" -c requirements.lock && touch "$stamp"
  fi
}

compile() {
  rm -rf target/compile
  mkdir -p target/compile
  cp -r packages/relay/src/knapweedspring_relay target/compile/
  (cd target/compile && PYTHONPATH=../tools:../deps MYPYC_OPT_LEVEL=2 \
    python3 -m mypyc --ignore-missing-imports \
    $(sed 's|.*|knapweedspring_relay/&.py|' ../../deploy/compiled-modules.txt))
}

install target/deps deploy/requirements.txt
rm -f target/deps/*__mypyc*.so
for package in packages/core/src/knapweedspring_core \
  packages/relay/src/knapweedspring_relay platform/src/knapweedspring_platform; do
  rm -rf "target/deps/$(basename "$package")"
  cp -r "$package" target/deps/
done
python3 -m compileall -q target/deps || true

mkdir -p target
if install target/tools deploy/build-requirements.txt && compile > target/compile.log 2>&1; then
  cp target/compile/*.so target/deps/
  cp target/compile/knapweedspring_relay/*.so target/deps/knapweedspring_relay/
else
  echo "the call path is not compiled and runs interpreted: target/compile.log" >&2
  tail -n 5 target/compile.log >&2 || true
fi
