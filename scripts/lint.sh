#!/usr/bin/env bash
# Runs clang-tidy over the sources of a build directory. Usage: scripts/lint.sh [BUILD_DIR] [FILE...]
# A file that passed is skipped until the file, a header of the project, or the checks change.
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=${1:-build}
shift || true
files=("$@")
[ "${#files[@]}" -gt 0 ] || mapfile -t files < <(git ls-files -co --exclude-standard -- '*.cpp')
stamps=$build_dir/lint
mkdir -p "$stamps"
headers=$(git ls-files -co --exclude-standard -- '*.h' .clang-tidy | sort | xargs cat | sha256sum | cut -d' ' -f1)
export build_dir stamps headers
lint_one() {
    local file=$1 stamp
    stamp=$stamps/$( (echo "$headers $file"; cat "$file") | sha256sum | cut -d' ' -f1)
    [ -e "$stamp" ] && return 0
    clang-tidy --quiet -p "$build_dir" "$file" 2>"$stamp.err" || { cat "$stamp.err"; rm -f "$stamp.err"; return 1; }
    rm -f "$stamp.err"
    touch "$stamp"
}
export -f lint_one
printf '%s\0' "${files[@]}" | xargs -0 -P "$(nproc)" -I{} bash -c 'lint_one "$1"' _ {}
echo "lint: ${#files[@]} files clean"
