#!/usr/bin/env bash
# Plants one mistake at a time in a copy of the sources, builds the program and lets the soak look for it: an oracle
# that finds nothing shows nothing. By hand, some eight minutes. planted_soak.sh ROOT WORK [SEEDS [NUMBER...]]
# WORK is a folder that is kept, so that a second run builds less; SEEDS are those within which each must be found.
set -u
root=$1 work=$2 seeds=${3:-1..16}
shift $(($# < 3 ? $# : 3))
only=" $* "
mkdir -p "$work"
program=$root/build/brookrelay

# PROMISE ~ FILE ~ what stands there (a fixed text) ~ what is planted [~ FILE ~ stands ~ planted]
mistakes=(
'held-back commands are read on~downstream/client_connections.cpp~if (held_back_.empty() || resume_timer_.second != 0) return;~return;~downstream/client_connections.cpp~const bool is_read = !client.reading_stopped && client.held_back == HoldReason::none &&~const bool is_read = !client.reading_stopped &&'
'the told deadline~upstream/upstream_pool.cpp~const double time_left = connection.deadline - monotonic_now();~const double time_left = connection.deadline - connection.sent_at + 0.4;'
'nothing is sent for a client that left~proxy/node.cpp~facts.client_closed = clients_.has_closed(active.client);~facts.client_closed = false;~proxy/node.cpp~if (active.client == client && !active.answered)~if (active.client == client && !active.answered && now < 0)'
'nothing goes to a draining server~proxy/server_table.cpp~server.state = record.state;~if (record.state != EndpointState::draining) server.state = record.state;'
'a keyed write is repeated in its window only~balancer/balancer.cpp~attempt.sent_at + op.deduplication_window)~attempt.sent_at + 1e9)~guard/send_guard.cpp~return facts.now + kHoldUpAllowance >= window_end ? SendRefusal::window_over : SendRefusal::none;~return facts.now > 1e9 * window_end ? SendRefusal::window_over : SendRefusal::none;'
'an operation that may run once is not repeated~balancer/balancer.cpp~if (op.idempotency == Idempotency::none) return false;~if (op.idempotency == Idempotency::none) continue;~guard/send_guard.cpp~if (facts.idempotency == Idempotency::none) return SendRefusal::would_repeat;~if (facts.idempotency == Idempotency::none) return SendRefusal::none;'
'a rejection promises that nothing ran~balancer/balancer.cpp~if (op.idempotency == Idempotency::idempotent) return true;
        const bool has_key~return true;
        const bool has_key'
'no connection in use is closed at the shutdown~downstream/client_connections.cpp~return !client.connection->is_closed() && client.pending.empty() && !just_connected &&~return !client.connection->is_closed() || just_connected ||~guard/close_guard.cpp~return !is_optional(reason) || (facts.unanswered_commands == 0 && !facts.has_unread_input);~return !is_optional(reason) || facts.unanswered_commands < 1000;'
'half a command is ended in time~downstream/client_connections.cpp~constexpr double kSilenceTimeoutSeconds = 2.5;~constexpr double kSilenceTimeoutSeconds = 6;'
'a value that breaks off never looks whole~downstream/client_connections.cpp~if (!complete && response.started) {~if (!complete && response.started && budget_.limit == 0) {'
'accepting goes on after a failed call~downstream/client_connections.cpp~constexpr double kAcceptRetrySeconds = 0.05;~constexpr double kAcceptRetrySeconds = 500;'
'who waits for the origin is answered in time~balancer/balancer.cpp~host_.set_timer(std::max(request.useful_until - now - 2 * deployment_.tick_interval, 0.0),~host_.set_timer(std::max(request.useful_until - now + 1.0, 0.0),~proxy/node.cpp~timers_.schedule(active.deadline + config_.deployment.response_grace, [this, request] {~timers_.schedule(active.deadline + 1.0, [this, request] {'
'a shutdown answers what it has taken~proxy/graceful_shutdown.cpp~if (clients_are_gone && !has_open_requests) return Step::finish;~if (now >= closes_at_ || (clients_are_gone && !has_open_requests)) return Step::finish;'
'settings and names change together~proxy/node.cpp~    handle_events();
    carry_out_all_actions();
    std::vector<ServerTable::Placement> placements;~    std::vector<ServerTable::Placement> placements;'
'a started node waits for its agent~proxy/node.cpp~monotonic_now() + (has_agent ? kFirstListTimeout : 0)~monotonic_now()'
'a list counts for the next send~proxy/node.cpp~event_queue_.emplace_back([this, record = std::move(list)](double now) {
                  apply_endpoint_update(now, record.is_full ? UpdateKind::full : UpdateKind::delta, record);
              });~timers_.schedule(monotonic_now() + 0.4, [this, record = std::move(list)] { event_queue_.emplace_back([this, record](double now) {
                  apply_endpoint_update(now, record.is_full ? UpdateKind::full : UpdateKind::delta, record);
              }); });'
)

edit() { # FILE STANDS PLANTED
    local path=$work/src/src/$1
    cp "$path" "$work/before"
    STANDS=$2 PLANTED=$3 perl -0pi -e 's/\Q$ENV{STANDS}\E/$ENV{PLANTED}/' "$path"
    ! cmp -s "$path" "$work/before"
}
# With a new time, so that it is built again.
restore() { [ -z "$1" ] || cp "$root/src/$1" "$work/src/src/$1"; }

rm -rf "$work/src"
mkdir -p "$work/src"
cp -r "$root"/{CMakeLists.txt,src,tests} "$work/src/"
missed=0 tried=0 edited=()
for number in "${!mistakes[@]}"; do
    [ "$only" = "  " ] || [[ $only == *" $number "* ]] || continue
    IFS='~' read -r -d '' promise file1 stands1 planted1 file2 stands2 planted2 rest < <(printf '%s~~~~' "${mistakes[$number]}")
    for file in "${edited[@]}"; do restore "$file"; done
    edited=("$file1" "$file2")
    edit "$file1" "$stands1" "$planted1" || { echo "mistake $number: its place in $file1 is gone"; missed=$((missed + 1)); continue; }
    if [ -n "$file2" ]; then
        edit "$file2" "$stands2" "$planted2" || { echo "mistake $number: its place in $file2 is gone"; missed=$((missed + 1)); continue; }
    fi
    cmake -S "$work/src" -B "$work/build" -DCMAKE_BUILD_TYPE=Release >/dev/null &&
        cmake --build "$work/build" -j"$(nproc)" --target brookrelay fault_shim >"$work/said" 2>&1 ||
        { echo "mistake $number ($promise): does not build"; tail -n 5 "$work/said"; missed=$((missed + 1)); continue; }
    tried=$((tried + 1))
    "$program" rehearse soak --seeds "$seeds" --jobs 8 --daemon "$work/build/brookrelay" --out "$work/soak-$number" >"$work/report-$number" 2>&1
    found=$(grep -c '^seed .*: FAILED' "$work/report-$number")
    if [ "$found" -gt 0 ]; then
        echo "mistake $number found on $found seeds of $seeds ($promise): $(grep -m 1 -E '^  (rule|guard|client|[0-9]+ daemons)' "$work/report-$number" | cut -c1-140)"
    else
        echo "mistake $number NOT FOUND on seeds $seeds ($promise)"
        missed=$((missed + 1))
    fi
done
echo "$tried planted and built, $missed not found or not planted"
[ "$missed" -eq 0 ]
