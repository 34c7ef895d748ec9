# Runs one case: run-case.sh NUMBER. Exit code 1: the rule was broken; 0: it held; 2: the case could
# not run. All processes of a case are in one process group, which is ended with it.
set -u
number=$1
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
cd "$root" || exit 2
driver=target/review/case-$number
[ -x "$driver" ] && [ -x target/violetpulley ] || { echo "build first: review/build.sh" >&2; exit 2; }
folder=$(mktemp -d) || exit 2
set -m
LOG_LEVEL=${LOG_LEVEL:-info} "$driver" "$folder" "review/$number/record.txt" "${TROUBLE:-1}" &
group=$!
(sleep 118; kill -9 -- "-$group") >/dev/null 2>&1 &
watchdog=$!
disown "$watchdog"
trap 'kill -9 -- "-$group" "-$watchdog" 2>/dev/null; rm -rf "$folder"' EXIT INT TERM
wait "$group"
code=$?
[ "$code" -le 1 ] || code=2
[ -z "${KEEP_LOGS:-}" ] || cp "$folder"/*.log "$KEEP_LOGS"/ 2>/dev/null
exit "$code"
