#!/usr/bin/env bash
# Fails when a library module includes a module of a higher layer, or of the same layer where that is not allowed; when a name
# of the platform's protocols is used outside platform/; and when two headers define a type of the same name.
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
    [fleet]="core"
    [accounting]="core"
    [store]="core observability"
    [dispatch]="core observability fleet store"
    [node]="core observability http fleet store dispatch"
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
# The platform's own names are used only where they are translated, and in the stand-ins and tests that simulate the platform.
if git grep -nE 'fencing_token|run-start|run-stop|log-append|log-newest|ack_position|MARJORAMFOLD_BOOT|api_keys|path_prefix|anti_affinity|admission_check' \
    -- '*.h' '*.cpp' ':!platform' ':!tests' ':!standins'; then
    echo "a name of the platform's protocols is used outside platform/"
    failed=1
fi
# All modules share one namespace: for two types of the same name the linker would keep only one destructor.
twice=$(git grep -hoE '^(struct|class|enum class) [A-Z][A-Za-z]+[^;]*$' -- 'marjoramfold/*.h' \
    | sed -E 's/^(struct|class|enum class) ([A-Za-z]+).*/\2/' | sort | uniq -d)
for type in $twice; do
    echo "the type '$type' is defined in more than one header:"
    git grep -nE "^(struct|class|enum class) $type\b[^;]*$" -- 'marjoramfold/*.h'
    failed=1
done
[ "$failed" -eq 0 ] && echo "layers: no include from a lower to a higher layer"
exit "$failed"
