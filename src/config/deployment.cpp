#include "config/deployment.h"

#include <algorithm>

#include "config/json.h"

namespace brookrelay {
namespace {

using rapidjson::Value;

constexpr Words<Idempotency, 3> kRepeats{{{"idempotent", Idempotency::idempotent},
                                          {"deduplicated", Idempotency::idempotency_key},
                                          {"at_most_once", Idempotency::none}}};
constexpr Words<DeduplicationScope, 3> kScopes{{{"all", DeduplicationScope::all},
                                                {"zone", DeduplicationScope::zone},
                                                {"cell", DeduplicationScope::cell}}};

constexpr Words<bool, 2> kAsks{{{"pushed", false}, {"on_request", true}}};
constexpr Words<EndpointWeights, 4> kWeights{{{"off", EndpointWeights::absent},
                                              {"nominal", EndpointWeights::fixed},
                                              {"rough", EndpointWeights::fixed},
                                              {"live", EndpointWeights::load_adjusted}}};
constexpr Words<EndpointState, 3> kStandings{{{"SERVING", EndpointState::ready},
                                              {"DRAINING", EndpointState::draining},
                                              {"DELETED", EndpointState::removed}}};

// By a name that stands twice nobody can tell which of the two is meant.
void each_once(std::vector<std::string> names, const char* list) {
    std::sort(names.begin(), names.end());
    const auto twice = std::adjacent_find(names.begin(), names.end());
    if (twice != names.end())
        throw ConfigurationError(std::string("field '") + list + "' names '" + *twice + "' twice");
}

std::vector<std::string> texts(const Value& settings, const char* name) {
    std::vector<std::string> all;
    if (find(settings, name) == nullptr) return all;
    for (const Value& v : need_list(settings, name).GetArray()) all.emplace_back(text(v, name));
    each_once(all, name);
    return all;
}

std::vector<std::string> names_of(const Value& settings, const char* list) {
    std::vector<std::string> all;
    if (find(settings, list) == nullptr) return all;
    for (const Value& v : need_list(settings, list).GetArray())
        all.emplace_back(text(need(v, "name"), "name"));
    each_once(all, list);
    return all;
}

}  // namespace

int index_of(const std::vector<std::string>& names, std::string_view name) {
    const auto at = std::find(names.begin(), names.end(), name);
    return at == names.end() ? -1 : static_cast<int>(at - names.begin());
}

Deployment read_deployment(const Value& settings) {
    if (!settings.IsObject()) throw ConfigurationError("the settings are not an object");
    Deployment d;
    d.zone = small(settings, "az", 0);
    if (const Value* zones = find(settings, "localities"); zones != nullptr && zones->IsArray()) {
        d.zone_count = static_cast<int>(zones->Size());
    }
    if (d.zone < 0 || d.zone >= std::max(1, d.zone_count))
        throw ConfigurationError("field 'az' names no zone of 'localities'");
    d.node_index = small(settings, "my_number", 0);
    d.node_count = small(settings, "balancers", 1);
    d.tick_interval = duration(settings, "granularity_us");
    if (const Value* how = find(settings, "discovery")) d.polls_endpoints = word(*how, "discovery", kAsks);
    if (const Value* weights = find(settings, "weights"))
        d.endpoint_weights = word(*weights, "weights", kWeights);
    if (const Value* rules = find(settings, "guarantees")) {
        d.poll_interval = duration(*rules, "ask_every_us");
        d.response_grace = duration(*rules, "grace_to_answer_us");
        d.drain_grace = duration(*rules, "stop_sending_within_us");
        d.cold_capacity_ratio = number(*rules, "cold_from", 1);
        d.slow_start_duration = duration(*rules, "warm_within_us");
        d.overload_multiple = number(*rules, "fall_multiple", 0);
        d.overload_window = duration(*rules, "fall_us");
    }
    if (const Value* allowed = find(settings, "permissions")) {
        d.may_hedge = flag(*allowed, "may_duplicate");
        d.may_cancel = flag(*allowed, "cancel");
        d.may_health_check = flag(*allowed, "may_probe");
        d.may_gossip = flag(*allowed, "peers");
        d.max_attempts = small(*allowed, "most_forwards", 1);
        if (d.max_attempts < 1) throw ConfigurationError("field 'most_forwards' is not a positive number");
        d.connect_timeout = duration(*allowed, "connect_timeout_us");
        d.connection_idle_timeout = duration(*allowed, "conn_idle_us");
        if (flag(*allowed, "retry_after")) d.max_retry_after = duration(*allowed, "max_retry_after_us");
    }
    if (const Value* facts = find(settings, "specifics")) {
        const Value* mode = find(*facts, "mode");
        if (mode != nullptr && text(*mode, "mode") == "aside")
            d.origin_kind = small(*facts, "origin_kind", -1);
        d.origin_overload_multiple = number(*facts, "origin_fall_multiple", 0);
    }
    d.over_quota_value_ratio = number(settings, "beyond_share_billed_value", 1);
    for (const Value& o : need_list(settings, "operations").GetArray()) {
        Operation op;
        op.idempotency = word(need(o, "repeat"), "repeat", kRepeats);
        if (const Value* group = find(o, "group")) op.deduplication_scope = word(*group, "group", kScopes);
        op.deduplication_window = duration(o, "key_ttl_us");
        op.client_timeout = duration(o, "client_timeout_us");
        if (op.client_timeout <= 0)
            throw ConfigurationError("field 'client_timeout_us' is missing or not a positive number");
        op.latency_objective = seconds(o, "latency_objective_us", op.client_timeout);
        if (op.latency_objective <= 0)
            throw ConfigurationError("field 'latency_objective_us' is not a positive number");
        op.priority_weight = number(o, "billed_value", 1);
        op.late_value_ratio = number(o, "tardy_billed_value", 0);
        op.streamed = flag(o, "streamed");
        d.operations.push_back(op);
    }
    if (const Value* tenants = find(settings, "parties"); tenants != nullptr && tenants->IsArray()) {
        for (const Value& t : tenants->GetArray()) d.tenants.push_back({number(t, "quota_per_s", 0)});
    }
    return d;
}

EndpointState parse_endpoint_state(const Value& value, const char* name) {
    return word(value, name, kStandings);
}

Names read_names(const Value& settings) {
    return {texts(settings, "localities"), texts(settings, "kinds"), names_of(settings, "operations"),
            names_of(settings, "parties")};
}

}  // namespace brookrelay
