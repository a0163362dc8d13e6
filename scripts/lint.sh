#!/usr/bin/env bash
# Formatter and linter over all sources that git tracks or would track.
# The linter skips a source whose preprocessed text it has passed before.
set -euo pipefail
build=$1
mapfile -t all < <(git ls-files -co --exclude-standard '*.cpp' '*.h' | grep -v '\.pb\.')
clang-format-19 --dry-run --Werror "${all[@]}"

# The platform's words stay in its folder.
words='kv-(txn|key|range|watch|lease|keep)|run-start|run-stop|machine-(move|upkeep)|fencing_token|acked_through|minion|evacuate|tenant'
if git grep -nE "$words" -- src; then
  echo "words of the platform's wire outside platform/" >&2
  exit 1
fi

mapfile -t sources < <(printf '%s\n' "${all[@]}" | grep '\.cpp$')
# What passed is kept beside the repository's objects, so that all its worktrees share it, and one
# run at a time does the work.
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
  # A story with its nested sections is one function, however many sections it has.
  local checks=()
  case "$source" in *_test.cpp) checks=(--checks=-readability-function-size) ;; esac
  clang-tidy-19 -p "$build" --quiet "${checks[@]}" --warnings-as-errors='*' "$source" 2>/dev/null || return 1
  touch "$passed/$key"
}
export -f lint_one
export build passed
printf '%s\n' "${sources[@]}" | xargs -P "${LINT_JOBS:-$(nproc)}" -I{} bash -c 'lint_one {}'
echo "lint: ${#all[@]} files, no finding"
