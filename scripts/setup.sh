#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the models need.
# Does nothing if all of them are installed.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
mapfile -t packages < <(grep -v '^#' "$here/packages.txt")

missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' \
    || missing+=("$package")
done
if [ ${#missing[@]} -eq 0 ]; then
  exit 0
fi

echo "installing: ${missing[*]}"
as_root=()
[ "$(id -u)" -eq 0 ] || as_root=(sudo)
"${as_root[@]}" apt-get update -qq
DEBIAN_FRONTEND=noninteractive "${as_root[@]}" apt-get install -y -qq "${missing[@]}" >/dev/null
