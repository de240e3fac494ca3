#!/usr/bin/env bash
# Fails when a library module includes a module of a higher layer, or of the same layer where that is not allowed.
set -euo pipefail
cd "$(dirname "$0")/.."

# Modules that each module may include, besides itself.
declare -A allowed=(
    [core]=""
    [observability]="core"
    [http]="core observability"
    [rules]="core observability"
    [log]="core observability http"
    [membership]="core observability"
    [placement]="core observability rules"
    [scheduling]="core observability rules log placement"
    [worker]="core observability http"
    [routing]="core observability http rules log"
    [api]="core observability http rules log membership placement scheduling worker routing"
    [entry]="core observability http rules log membership placement scheduling worker routing api"
)

failed=0
for module in "${!allowed[@]}"; do
    [ -d "marjoramfold/$module" ] || continue
    while IFS=: read -r file line included; do
        other=${included#*\"marjoramfold/}
        other=${other%%/*}
        [ "$other" = "$module" ] && continue
        case " ${allowed[$module]} " in
            *" $other "*) ;;
            *) echo "$file:$line: module '$module' must not include '$other'"; failed=1 ;;
        esac
    done < <(grep -rnE '#include "marjoramfold/' "marjoramfold/$module" || true)
done
[ "$failed" -eq 0 ] && echo "layers: no include from a lower to a higher layer"
exit "$failed"
