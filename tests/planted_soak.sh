#!/usr/bin/env bash
# Mutation test of the soak: plants one mistake at a time in a copy of the sources, builds the program and checks that
# the soak finds it. An oracle that never fails proves nothing. Run by hand; takes about eight minutes.
# Usage: planted_soak.sh ROOT WORK [SEEDS [NUMBER...]]
# WORK is a folder that is kept, so that a second run rebuilds less. At least one of SEEDS must find each mistake.
# NUMBER selects mistakes by their place in the list, from 0.
set -u
root=$1 work=$2 seeds=${3:-1..16}
shift $(($# < 3 ? $# : 3))
only=" $* "
mkdir -p "$work"
program=$root/build/brookrelay

# RULE ~ FILE ~ original text (a fixed string, found once in FILE) ~ replacement [~ FILE ~ original ~ replacement]
mistakes=(
'reading resumes after clients were paused~downstream/client_connections.cpp~if (paused_clients_.empty() || resume_timer_.second != 0) return;~return;~downstream/client_connections.cpp~const bool is_read = !client.is_reading_stopped && client.pause_reason == PauseReason::none &&~const bool is_read = !client.is_reading_stopped &&'
'the deadline sent to the server~upstream/upstream_pool.cpp~const double time_left = connection.deadline - monotonic_now();~const double time_left = connection.deadline - connection.started_at + 0.4;'
'nothing is sent for a client that has disconnected~proxy/node.cpp~facts.client_closed = clients_.close_if_client_closed(active.client);~facts.client_closed = false;~proxy/node.cpp~if (active.client == client && !active.answered)~if (active.client == client && !active.answered && now < 0)'
'nothing goes to a draining server~proxy/server_table.cpp~server.state = record.state;~if (record.state != EndpointState::draining) server.state = record.state;'
'a write with a deduplication key is repeated only within its window~balancer/balancer.cpp~attempt.sent_at + op.deduplication_window)~attempt.sent_at + 1e9)~guard/send_guard.cpp~return facts.now + kHoldUpAllowance >= window_end ? SendRefusal::window_over : SendRefusal::none;~return facts.now > 1e9 * window_end ? SendRefusal::window_over : SendRefusal::none;'
'an operation that is not idempotent is not repeated~balancer/balancer.cpp~if (op.idempotency == Idempotency::none) return false;~if (op.idempotency == Idempotency::none) continue;~guard/send_guard.cpp~if (facts.idempotency == Idempotency::none) return SendRefusal::would_repeat;~if (facts.idempotency == Idempotency::none) return SendRefusal::none;'
'a rejection means that nothing was executed~balancer/balancer.cpp~if (op.idempotency == Idempotency::idempotent) return true;
        const bool has_key~return true;
        const bool has_key'
'the shutdown closes no connection in use~downstream/client_connections.cpp~return !client.connection->is_closed() && client.pending.empty() && !just_connected &&~return !client.connection->is_closed() || just_connected ||~guard/close_guard.cpp~return !is_optional(reason) || (facts.unanswered_commands == 0 && !facts.has_unread_input);~return !is_optional(reason) || facts.unanswered_commands < 1000;'
'an incomplete command times out in time~downstream/client_connections.cpp~constexpr double kSilenceTimeoutSeconds = 2.5;~constexpr double kSilenceTimeoutSeconds = 6;'
'a truncated value never looks complete~downstream/client_connections.cpp~if (!complete && response.is_partly_written) {~if (!complete && response.is_partly_written && budget_.limit == 0) {'
'accepting continues after a failed accept call~downstream/client_connections.cpp~constexpr double kAcceptRetrySeconds = 0.05;~constexpr double kAcceptRetrySeconds = 500;'
'a request that waits for the origin is answered in time~balancer/balancer.cpp~host_.set_timer(std::max(request.useful_until - now - 2 * deployment_.tick_interval, 0.0),~host_.set_timer(std::max(request.useful_until - now + 1.0, 0.0),~proxy/node.cpp~timers_.schedule(active.deadline + config_.deployment.response_grace, [this, request] {~timers_.schedule(active.deadline + 1.0, [this, request] {'
'a shutdown answers the requests that it has accepted~proxy/graceful_shutdown.cpp~if (work.has_open_requests) return is_kill_near(now) ? Step::fail_open_requests : Step::wait;~if (work.has_open_requests) return now >= closes_at_ ? Step::finish : Step::wait;'
'settings and names of a reload take effect together~proxy/node.cpp~    handle_events();
    run_all_actions();
    std::vector<ServerTable::Placement> placements;~    std::vector<ServerTable::Placement> placements;'
'a node that starts waits for its agent~proxy/node.cpp~monotonic_now() + (has_agent ? kFirstListTimeout : 0)~monotonic_now()'
'an endpoint list applies from the next send on~proxy/node.cpp~event_queue_.emplace_back([this, update = std::move(update)](double now) {
                  apply_endpoint_update(now, update.is_full ? UpdateKind::full : UpdateKind::delta, update);
              });~timers_.schedule(monotonic_now() + 0.4, [this, update = std::move(update)] { event_queue_.emplace_back([this, update](double now) {
                  apply_endpoint_update(now, update.is_full ? UpdateKind::full : UpdateKind::delta, update);
              }); });'
)

edit() { # FILE ORIGINAL REPLACEMENT
    local path=$work/src/src/$1
    cp "$path" "$work/before"
    ORIGINAL=$2 REPLACEMENT=$3 perl -0pi -e 's/\Q$ENV{ORIGINAL}\E/$ENV{REPLACEMENT}/' "$path"
    ! cmp -s "$path" "$work/before"
}
# Copies the original back; its new modification time makes the build compile it again.
restore() { [ -z "$1" ] || cp "$root/src/$1" "$work/src/src/$1"; }

rm -rf "$work/src"
mkdir -p "$work/src"
cp -r "$root"/{CMakeLists.txt,src,tests} "$work/src/"
missed=0 tried=0 edited=()
for number in "${!mistakes[@]}"; do
    [ "$only" = "  " ] || [[ $only == *" $number "* ]] || continue
    IFS='~' read -r -d '' rule file1 original1 replacement1 file2 original2 replacement2 rest < <(printf '%s~~~~' "${mistakes[$number]}")
    for file in "${edited[@]}"; do restore "$file"; done
    edited=("$file1" "$file2")
    edit "$file1" "$original1" "$replacement1" || { echo "mistake $number: $file1 does not contain the original text"; missed=$((missed + 1)); continue; }
    if [ -n "$file2" ]; then
        edit "$file2" "$original2" "$replacement2" || { echo "mistake $number: $file2 does not contain the original text"; missed=$((missed + 1)); continue; }
    fi
    cmake -S "$work/src" -B "$work/build" -DCMAKE_BUILD_TYPE=Release >/dev/null &&
        cmake --build "$work/build" -j"$(nproc)" --target brookrelay fault_shim >"$work/output" 2>&1 ||
        { echo "mistake $number ($rule): does not build"; tail -n 5 "$work/output"; missed=$((missed + 1)); continue; }
    tried=$((tried + 1))
    "$program" rehearse soak --seeds "$seeds" --jobs 8 --daemon "$work/build/brookrelay" --out "$work/soak-$number" >"$work/report-$number" 2>&1
    found=$(grep -c '^seed .*: FAILED' "$work/report-$number")
    if [ "$found" -gt 0 ]; then
        echo "mistake $number found on $found seeds of $seeds ($rule): $(grep -m 1 -E '^  (rule|guard|client|[0-9]+ daemons)' "$work/report-$number" | cut -c1-140)"
    else
        echo "mistake $number NOT FOUND on seeds $seeds ($rule)"
        missed=$((missed + 1))
    fi
done
echo "$tried mistakes planted and built, $missed not found or not planted"
[ "$missed" -eq 0 ]
