#!/usr/bin/env bash
# Runs the formatter check and the linter over all C++ sources that git tracks or would track.
# The linter skips a source that passed before with the same text, headers and .clang-tidy.
set -euo pipefail
build=$1
mapfile -t all < <(git ls-files -co --exclude-standard '*.cpp' '*.h' | grep -v '\.pb\.')
clang-format-19 --dry-run --Werror "${all[@]}"

# The names of the platform's wire protocol may appear only in platform/.
words='kv-(txn|key|range|watch|lease|keep)|run-start|run-stop|machine-(move|upkeep)|fencing_token|acked_through|minion|evacuate|tenant'
if git grep -nE "$words" -- src; then
  echo "names of the platform's wire protocol in src/, expected only in platform/" >&2
  exit 1
fi

mapfile -t sources < <(printf '%s\n' "${all[@]}" | grep '\.cpp$')
# Results of passed sources are kept in the common git directory, so that all worktrees share them.
# The lock lets one run at a time do the work.
passed="$(git rev-parse --path-format=absolute --git-common-dir)/lint-passed"
mkdir -p "$passed"
exec 9>"$passed/lock"
flock 9

lint_one() {
  local source=$1
  local key
  key=$( { cat .clang-tidy "$source"
           python3 scripts/header_closure.py "$source" | xargs -r cat; } | sha256sum | cut -c1-32)
  if [ -e "$passed/$key" ]; then
    return 0
  fi
  # A test story and its nested sections form one function, whose size grows with the sections.
  local checks=()
  case "$source" in *_test.cpp) checks=(--checks=-readability-function-size) ;; esac
  clang-tidy-19 -p "$build" --quiet "${checks[@]}" --warnings-as-errors='*' "$source" 2>/dev/null || return 1
  touch "$passed/$key"
}
export -f lint_one
export build passed
printf '%s\n' "${sources[@]}" | xargs -P "${LINT_JOBS:-$(nproc)}" -I{} bash -c 'lint_one {}'
echo "lint: ${#all[@]} files, no finding"
