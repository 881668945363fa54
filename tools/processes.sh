#!/usr/bin/env bash
# Runs four daemons with their back ends and a platform as ordinary processes, and pauses, kills
# and stops daemons while keys are probed. Ends what it has started. Usage: tools/processes.sh
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --quiet -p plantaingauge -p bench
bin=target/release
dir=$(mktemp -d)
declare -A daemon back
others=()

finish() {
    for pid in "${others[@]}" "${back[@]}" "${daemon[@]}"; do
        kill -CONT "$pid" 2>/dev/null || true
        kill -KILL "$pid" 2>/dev/null || true
    done
    rm -rf "$dir"
}
trap finish EXIT

port() { echo $((20000 + 10 * $1 + $2)); }

start_daemon() {
    local n=$1 zone=nord-a
    [ "$n" -le 2 ] || zone=nord-b
    PLANTAINGAUGE_SECRET="a secret of this script" "$bin/plantaingauged" \
        --name "m$n" --cell script --region nord --zone "$zone" \
        --caller-listen "127.0.0.1:$(port "$n" 0)" --peer-listen "127.0.0.1:$(port "$n" 1)" \
        --traffic-listen "127.0.0.1:$(port "$n" 2)" --admin-listen "127.0.0.1:$(port "$n" 3)" \
        --platform 127.0.0.1:20000 2>>"$dir/m$n.log" &
    daemon[$n]=$!
}

start_back_end() {
    "$bin/bench" back-end --machine "m$1" --admin "127.0.0.1:$(port "$1" 3)" \
        --record "$dir/m$1.jsonl" &
    back[$1]=$!
}

await_owners() {
    for _ in $(seq 100); do
        if "$bin/plantaingauge" status --json --admin "127.0.0.1:$(port 4 3)" 2>/dev/null |
            grep -A 1 '"service": "credits"' | grep -q '"first"'; then
            sleep 2
            return
        fi
        sleep 0.1
    done
    echo "no shard was owned in time" >&2
    exit 1
}

coordinator() {
    "$bin/plantaingauge" status --admin "127.0.0.1:$(port 4 3)" | sed -n 's/.* coordinator m//p'
}

# A machine that neither coordinates nor takes the probes.
member() {
    if [ "$(coordinator)" -eq 1 ]; then echo 2; else echo 1; fi
}

# Probes through daemon 4, which stays, while a scenario runs.
probe() {
    local name=$1 bound=$2 scenario=$3 records=()
    for n in 1 2 3 4; do records+=(--record "$dir/m$n.jsonl"); done
    "$bin/bench" probe --entry "127.0.0.1:$(port 4 0)" "${records[@]}" \
        --seconds 8 --bound-ms "$bound" --seed "$RANDOM" >"$dir/probe.out" &
    local prober=$!
    sleep 1
    "$scenario"
    wait "$prober" || failed=1
    echo "scenario=$name $(tail -n 1 "$dir/probe.out")"
    grep '^violation' "$dir/probe.out" || true
}

pause_member() {
    local victim
    victim=$(member)
    kill -STOP "${daemon[$victim]}"
    sleep 3
    kill -CONT "${daemon[$victim]}"
}

pause_coordinator() {
    local victim
    victim=$(coordinator)
    kill -STOP "${daemon[$victim]}"
    sleep 3
    kill -CONT "${daemon[$victim]}"
}

kill_and_replace() {
    kill -KILL "${daemon[$1]}" "${back[$1]}"
    sleep 3
    start_daemon "$1"
    start_back_end "$1"
}

kill_member() { kill_and_replace "$(member)"; }

kill_coordinator() { kill_and_replace "$(coordinator)"; }

stop_member() {
    local status=0 victim
    victim=$(member)
    kill -TERM "${daemon[$victim]}"
    wait "${daemon[$victim]}" || status=$?
    echo "scenario=stop exit_status=$status"
    [ "$status" -eq 0 ] || failed=1
}

failed=0
"$bin/bench" platform --listen 127.0.0.1:20000 &
others+=($!)
sleep 0.3
for n in 1 2 3 4; do
    touch "$dir/m$n.jsonl"
    start_daemon "$n"
    start_back_end "$n"
done
await_owners
probe quiet 2000 true
probe member-paused 2000 pause_member
if [ "$(coordinator)" -ne 4 ]; then probe coordinator-paused 2000 pause_coordinator; fi
probe member-killed 2000 kill_member
if [ "$(coordinator)" -ne 4 ]; then probe coordinator-killed 2000 kill_coordinator; fi
probe member-stopped 2000 stop_member
if [ "$failed" -eq 0 ]; then echo "result=ok"; else echo "result=failed"; fi
exit "$failed"
