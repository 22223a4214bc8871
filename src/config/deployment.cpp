#include "config/deployment.h"

#include <algorithm>

#include "config/json.h"

namespace brookrelay {
namespace {

using rapidjson::Value;

constexpr Words<Idempotency, 3> kIdempotencyWords{{{"idempotent", Idempotency::idempotent},
                                                   {"deduplicated", Idempotency::idempotency_key},
                                                   {"at_most_once", Idempotency::none}}};
constexpr Words<DeduplicationScope, 3> kScopeWords{{{"all", DeduplicationScope::all},
                                                    {"zone", DeduplicationScope::zone},
                                                    {"cell", DeduplicationScope::cell}}};

constexpr Words<bool, 2> kDiscoveryModeWords{{{"pushed", false}, {"on_request", true}}};
constexpr Words<EndpointWeights, 4> kWeightWords{{{"off", EndpointWeights::absent},
                                                  {"nominal", EndpointWeights::fixed},
                                                  {"rough", EndpointWeights::fixed},
                                                  {"live", EndpointWeights::load_adjusted}}};
constexpr Words<EndpointState, 3> kEndpointStateWords{{{"SERVING", EndpointState::ready},
                                                       {"DRAINING", EndpointState::draining},
                                                       {"DELETED", EndpointState::removed}}};

// Rejects duplicate names, which would be ambiguous.
void require_unique(std::vector<std::string> names, const char* list) {
    std::sort(names.begin(), names.end());
    const auto duplicate = std::adjacent_find(names.begin(), names.end());
    if (duplicate != names.end())
        throw ConfigurationError(std::string("field '") + list + "' names '" + *duplicate + "' twice");
}

std::vector<std::string> read_strings(const Value& settings, const char* name) {
    std::vector<std::string> names;
    if (find(settings, name) == nullptr) return names;
    for (const Value& entry : get_required_array(settings, name).GetArray())
        names.emplace_back(text(entry, name));
    require_unique(names, name);
    return names;
}

std::vector<std::string> read_entry_names(const Value& settings, const char* list) {
    std::vector<std::string> names;
    if (find(settings, list) == nullptr) return names;
    for (const Value& entry : get_required_array(settings, list).GetArray())
        names.emplace_back(text(get_required_member(entry, "name"), "name"));
    require_unique(names, list);
    return names;
}

void read_topology(const Value& settings, Deployment& deployment) {
    deployment.zone = read_int(settings, "az", 0);
    if (const Value* zones = find(settings, "localities"); zones != nullptr && zones->IsArray()) {
        deployment.zone_count = static_cast<int>(zones->Size());
    }
    if (deployment.zone < 0 || deployment.zone >= std::max(1, deployment.zone_count))
        throw ConfigurationError("field 'az' names no zone of 'localities'");
    deployment.node_index = read_int(settings, "my_number", 0);
    deployment.node_count = read_int(settings, "balancers", 1);
    deployment.tick_interval = duration(settings, "granularity_us");
}

void read_guarantees(const Value& guarantees, Deployment& deployment) {
    deployment.poll_interval = duration(guarantees, "ask_every_us");
    deployment.response_grace = duration(guarantees, "grace_to_answer_us");
    deployment.drain_grace = duration(guarantees, "stop_sending_within_us");
    deployment.cold_capacity_ratio = number(guarantees, "cold_from", 1);
    deployment.slow_start_duration = duration(guarantees, "warm_within_us");
    deployment.overload_multiple = number(guarantees, "fall_multiple", 0);
    deployment.overload_window = duration(guarantees, "fall_us");
}

void read_permissions(const Value& permissions, Deployment& deployment) {
    deployment.may_hedge = flag(permissions, "may_duplicate");
    deployment.may_cancel = flag(permissions, "cancel");
    deployment.may_health_check = flag(permissions, "may_probe");
    deployment.may_gossip = flag(permissions, "peers");
    deployment.max_attempts = read_int(permissions, "most_forwards", 1);
    if (deployment.max_attempts < 1)
        throw ConfigurationError("field 'most_forwards' is not a positive number");
    deployment.connect_timeout = duration(permissions, "connect_timeout_us");
    deployment.connection_idle_timeout = duration(permissions, "conn_idle_us");
    if (flag(permissions, "retry_after"))
        deployment.max_retry_after = duration(permissions, "max_retry_after_us");
}

void read_specifics(const Value& specifics, Deployment& deployment) {
    const Value* mode = find(specifics, "mode");
    if (mode != nullptr && text(*mode, "mode") == "aside")
        deployment.origin_kind = read_int(specifics, "origin_kind", -1);
    deployment.origin_overload_multiple = number(specifics, "origin_fall_multiple", 0);
}

Operation read_operation(const Value& value) {
    Operation operation;
    operation.idempotency = word(get_required_member(value, "repeat"), "repeat", kIdempotencyWords);
    if (const Value* scope = find(value, "group"))
        operation.deduplication_scope = word(*scope, "group", kScopeWords);
    operation.deduplication_window = duration(value, "key_ttl_us");
    operation.client_timeout = duration(value, "client_timeout_us");
    if (operation.client_timeout <= 0)
        throw ConfigurationError("field 'client_timeout_us' is missing or not a positive number");
    operation.latency_objective = seconds(value, "latency_objective_us", operation.client_timeout);
    if (operation.latency_objective <= 0)
        throw ConfigurationError("field 'latency_objective_us' is not a positive number");
    operation.priority_weight = number(value, "billed_value", 1);
    operation.late_value_ratio = number(value, "tardy_billed_value", 0);
    operation.streamed = flag(value, "streamed");
    return operation;
}

}  // namespace

int index_of(const std::vector<std::string>& names, std::string_view name) {
    const auto at = std::find(names.begin(), names.end(), name);
    return at == names.end() ? -1 : static_cast<int>(at - names.begin());
}

Deployment read_deployment(const Value& settings) {
    if (!settings.IsObject()) throw ConfigurationError("the settings are not an object");
    Deployment deployment;
    read_topology(settings, deployment);
    if (const Value* mode = find(settings, "discovery"))
        deployment.polls_endpoints = word(*mode, "discovery", kDiscoveryModeWords);
    if (const Value* weights = find(settings, "weights"))
        deployment.endpoint_weights = word(*weights, "weights", kWeightWords);
    if (const Value* guarantees = find(settings, "guarantees")) read_guarantees(*guarantees, deployment);
    if (const Value* permissions = find(settings, "permissions")) read_permissions(*permissions, deployment);
    if (const Value* specifics = find(settings, "specifics")) read_specifics(*specifics, deployment);
    deployment.over_quota_value_ratio = number(settings, "beyond_share_billed_value", 1);
    for (const Value& operation : get_required_array(settings, "operations").GetArray())
        deployment.operations.push_back(read_operation(operation));
    if (const Value* tenants = find(settings, "parties"); tenants != nullptr && tenants->IsArray()) {
        for (const Value& tenant : tenants->GetArray())
            deployment.tenants.push_back({number(tenant, "quota_per_s", 0)});
    }
    return deployment;
}

EndpointState parse_endpoint_state(const Value& value, const char* name) {
    return word(value, name, kEndpointStateWords);
}

Names read_names(const Value& settings) {
    return {read_strings(settings, "localities"), read_strings(settings, "kinds"),
            read_entry_names(settings, "operations"), read_entry_names(settings, "parties")};
}

}  // namespace brookrelay
