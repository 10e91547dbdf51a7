# Runs the case in the folder of the calling script: starts the stand-ins, then the nodes as the deploy file does, starts a node
# again RESTART_S after its end, and ends all processes in the end.
# Exits with the code of the case: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
RESTART_S=1
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
cd "$root" || exit 2
[ -s target/fireflymount.mjs ] || { echo 'target/fireflymount.mjs is missing: run the build of the deploy file'; exit 2; }
folder=$(mktemp -d) || exit 2
supervisors=()
harness=
run_node () {
  local name=$1 node=
  trap 'kill -KILL $node 2>/dev/null; wait 2>/dev/null; exit' TERM
  while [ ! -e "$folder/ended" ]; do
    FIREFLYMOUNT_CONFIG="$folder/$name.toml" node --max-old-space-size=200 target/fireflymount.mjs >> "$folder/$name.log" 2>&1 &
    node=$!
    echo $node > "$folder/$name.pid.new" && mv "$folder/$name.pid.new" "$folder/$name.pid"
    wait $node 2>/dev/null
    node=
    read -r -t $RESTART_S <> "$folder/never"
  done
}
finish () {
  : > "$folder/ended"
  [ -n "$harness" ] && kill -KILL "$harness" 2>/dev/null
  for pid in ${supervisors[@]+"${supervisors[@]}"}; do kill -TERM "$pid" 2>/dev/null; done
  wait 2>/dev/null
  [ -n "${KEEP_LOGS:-}" ] && cp "$folder"/*.log "$KEEP_LOGS"
  rm -rf "$folder"
}
trap finish EXIT
trap 'exit 2' INT TERM
mkfifo "$folder/never" && exec 9<> "$folder/never" || exit 2
node "$here/case.mjs" "$folder" "$here/record.txt" &
harness=$!
for _ in $(seq 200); do
  [ -s "$folder/ready" ] && break
  kill -0 "$harness" 2>/dev/null || exit 2
  read -r -t 0.05 <&9
done
[ -s "$folder/ready" ] || exit 2
while read -r name; do
  run_node "$name" 9>&- &
  supervisors+=($!)
done < "$folder/ready"
wait "$harness"
code=$?
harness=
case $code in 0|1) exit $code ;; *) exit 2 ;; esac
