// What a node is told at its start: defaults, and a complaint that names the key where something is wrong.
#include <unistd.h>

#include <cassert>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>

#include "json.h"
#include "learned.h"
#include "station.h"

using namespace brookrelay;

namespace {

const std::string kGood =
    R"({"name":"n1","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
 "known":{"seq":41,"whole":true,"hosts":[
  {"host":"s-1","dial":"127.0.0.1:3","site":"b","class":"m2","block":3,"health":"SERVING","born_ms":1500},
  {"host":"s-2","health":"DELETED"}]},
 "settings":{"az":1,"balancers":3,"localities":["a","b"],"kinds":["m1","m2","origin"],
  "granularity_us":5000,"discovery":"on_request","permissions":{"conn_idle_us":60000000,"max_open":20000},
  "specifics":{"mode":"aside","origin_kind":2},"parties":[{"name":"acme","quota_per_s":67.0}],
  "operations":[{"name":"read","repeat":"idempotent","client_timeout_us":1200000}]}})";

std::string with(const std::string& from, const std::string& to) {
    std::string text = kGood;
    const std::size_t at = text.find(from);
    assert(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

Station read(const std::string& text) {
    char path[] = "/tmp/brookrelay_config_XXXXXX";
    const int file = mkstemp(path);
    assert(file >= 0);
    close(file);
    std::ofstream(path) << text;
    struct Removed {
        const char* path;
        ~Removed() { std::remove(path); }
    } removed{path};
    return read_station(path);
}

void a_good_one() {
    const Station s = read(kGood);
    assert(s.name == "n1" && s.seed == 0x8c1f30d27a5be964ULL && s.descriptors == 1024 && s.memory_mb == 192);
    assert(s.deployment.zone == 1 && s.deployment.zones == 2 && s.deployment.origin_kind == 2);
    assert(s.deployment.ask_for_list && s.deployment.connection_idle == 60 && s.most_open == 20000);
    assert(s.deployment.operations[0].latency_objective == 1.2);  // none is told: the client timeout
    assert(s.names.operations[0] == "read" && s.names.tenants[0] == "acme");
    assert(s.known.version == 41 && s.known.whole && s.known.servers.size() == 2);
    const ListedServer& first = s.known.servers[0];
    assert(first.zone == 1 && first.kind == 1 && first.cell == 3 && first.born == 1.5);
    assert(s.known.servers[1].standing == Standing::gone);
}

void bad_ones_name_the_key() {
    struct Case {
        const char *from, *to, *key;
    };
    for (const Case& c : {Case{"\"name\":\"n1\",", "", "name"},
                          Case{"\"127.0.0.1:1\"", "7", "listen"},
                          Case{"8c1f30d27a5be964", "xyz", "seed"},
                          Case{"1024", "\"many\"", "sockets"},
                          Case{"1024", "10", "limits.sockets"},
                          Case{"192", "\"much\"", "memory_mb"},
                          Case{"192", "8", "limits.memory_mb"},
                          Case{"\"seq\":41,", "", "seq"},
                          Case{"\"site\":\"b\"", "\"site\":\"c\"", "site"},
                          Case{"\"class\":\"m2\"", "\"class\":\"m9\"", "class"},
                          Case{"SERVING", "FINE", "health"},
                          Case{"\"idempotent\"", "\"often\"", "repeat"},
                          Case{"\"operations\"", "\"actions\"", "operations"},
                          Case{"\"az\":1", "\"az\":1.5", "az"},
                          Case{"\"known\"", "\"unknown\"", "known"},
                          Case{"\"settings\"", "\"set\"", "settings"},
                          Case{"on_request", "sometimes", "discovery"},
                          Case{"\"az\":1", "\"az\":2", "az"},
                          Case{"\"az\":1", "\"az\":-1", "az"},
                          Case{"client_timeout_us", "timeout_us", "client_timeout_us"},
                          Case{"1200000", "0", "client_timeout_us"},
                          Case{"1200000", "-5", "client_timeout_us"},
                          Case{"1200000", "\"1200000\"", "client_timeout_us"},
                          Case{"1200000}", "1200000,\"latency_objective_us\":0}", "latency_objective_us"},
                          Case{"1200000}", "1200000,\"latency_objective_us\":-1}", "latency_objective_us"},
                          Case{"\"max_open\"", "\"most_forwards\":0,\"max_open\"", "most_forwards"},
                          Case{"\"max_open\"", "\"most_forwards\":-2,\"max_open\"", "most_forwards"},
                          Case{"\"max_open\"", "\"most_forwards\":2.5,\"max_open\"", "most_forwards"},
                          Case{"\"max_open\"", "\"most_forwards\":\"3\",\"max_open\"", "most_forwards"},
                          Case{"\"max_open\"", "\"conn_idle_us\":1,\"max_open\"", "conn_idle_us"},
                          Case{"[\"a\",\"b\"]", "[\"a\",\"a\"]", "localities"},
                          Case{"[{\"name\":\"acme\"", "[{\"name\":\"acme\"},{\"name\":\"acme\"", "parties"},
                          Case{"[{\"name\":\"read\"", "[{\"name\":\"read\",\"repeat\":\"idempotent\",\"client_timeout_us\":1},{\"name\":\"read\"", "operations"},
                          Case{"60000000", "-1", "conn_idle_us"},
                          Case{"127.0.0.1:1", "localhost:1", "listen"},
                          Case{"127.0.0.1:2", "127.0.0.1", "discovery"},
                          Case{"127.0.0.1:3", "127.0.0.1:0", "dial"},
                          Case{"127.0.0.1:3", "[::1:3", "dial"},
                          Case{"127.0.0.1:3", ":3", "dial"},
                          Case{"{\"name\"", "\"name\"", "JSON"}}) {
        std::string complaint;
        try {
            read(with(c.from, c.to));
        } catch (const BadInput& bad) {
            complaint = bad.what();
        }
        assert(complaint.find(c.key) != std::string::npos);
    }
}

void one_bad_entry_of_news_fails_alone() {
    rapidjson::Document list;
    list.Parse(R"({"seq":43,"whole":false,"hosts":[
        {"host":"s-1","health":"SERVING"},{"host":"s-2","health":"DRAINING"}]})");
    const ServerList news = read_server_list(list, read(kGood).names);
    assert(news.version == 43 && !news.whole && news.servers.size() == 1 && news.servers[0].name == "s-2");
    assert(news.servers[0].standing == Standing::draining && news.servers[0].zone < 0);  // as it was
    assert(news.complaints.size() == 1 && news.complaints[0].find("dial") != std::string::npos);
}

// A reload may add keys and drop entries, not keys: what lacks one was cut short, or written by a wrong hand.
void a_key_that_the_running_file_has_may_not_be_missing() {
    const std::string running_text = with(R"({"name":"read","repeat":"idempotent","client_timeout_us":1200000})",
                                          R"({"name":"read","repeat":"idempotent","client_timeout_us":1200000,"billed_value":1},
  {"name":"put","repeat":"deduplicated","client_timeout_us":900000,"billed_value":2,"key_ttl_us":3000000})");
    const Station running = read(running_text);
    struct Case {
        const char *from, *to, *key;  // the key that is complained of; empty: it is taken
    };
    for (const Case& c : {Case{"", "", ""},
                          Case{"\"conn_idle_us\":60000000,", "", "settings.permissions.conn_idle_us"},
                          Case{"\"conn_idle_us\":60000000", "\"conn_idle_us\":null", "settings.permissions.conn_idle_us"},
                          Case{"\"permissions\":{\"conn_idle_us\":60000000,\"max_open\":20000},", "", "settings.permissions"},
                          Case{"\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},", "", "limits"},
                          Case{",\"billed_value\":1", "", "settings.operations[].billed_value"},
                          Case{",\"key_ttl_us\":3000000", "", "settings.operations[deduplicated].key_ttl_us"},
                          Case{"\"parties\":[{\"name\":\"acme\",\"quota_per_s\":67.0}],", "", "settings.parties"},
                          Case{",\"quota_per_s\":67.0", "", "settings.parties[].quota_per_s"},
                          Case{"{\"name\":\"read\",\"repeat\":\"idempotent\",\"client_timeout_us\":1200000,\"billed_value\":1},", "", ""},
                          Case{"{\"name\":\"read\"", "{\"name\":\"bid\",\"repeat\":\"at_most_once\",\"client_timeout_us\":1,\"billed_value\":1},{\"name\":\"read\"", ""},
                          Case{"{\"name\":\"read\"", "{\"name\":\"bid\",\"repeat\":\"at_most_once\",\"client_timeout_us\":1},{\"name\":\"read\"", "settings.operations[].billed_value"},
                          Case{",\"born_ms\":1500", "", ""}}) {
        std::string text = running_text;
        if (*c.from != 0) {
            const std::size_t at = text.find(c.from);
            assert(at != std::string::npos);
            text.replace(at, std::string(c.from).size(), c.to);
        }
        const std::string against = cannot_be_live(running, read(text));
        assert(*c.key == 0 ? against.empty() : against.find("'" + std::string(c.key) + "'") != std::string::npos);
    }
}

void a_file_cut_anywhere_is_refused() {
    for (std::size_t length = 0; length < kGood.size(); ++length) {
        bool refused = false;
        try {
            read(kGood.substr(0, length));
        } catch (const BadInput&) {
            refused = true;
        }
        assert(refused);
    }
}

void what_was_learned_goes_by_name() {
    const Learned learned{0.25, 0.5, 0.75, 3, 0.125, {1, 0.5}, {{0, 2.5, -4, false}, {1, 1, 0.5, true}}};
    const std::string text = learned_text(learned, {"m1", "m2"}, [](int cache) { return cache == 0 ? "s-1" : "s-2"; });
    const auto number = [](const std::string& name) { return name == "s-2" ? 7 : -1; };
    const auto back = read_learned(text, {"m2", "new"}, number);
    assert(back && back->reach == 0.25 && back->pressure == 0.5 && back->admitted == 0.75 && back->origin_limit == 3);
    assert(back->origin_pace == 0.125 && back->kind_shares == std::vector<double>({0.5, 1}));
    assert(back->caches.size() == 1 && back->caches[0].cache == 7 && back->caches[0].limit == 1);
    assert(back->caches[0].rest == 0.5 && back->caches[0].suspect);
    for (std::size_t length = 0; length < text.size(); ++length) assert(!read_learned(text.substr(0, length), {"m2"}, number));
    assert(!read_learned("[]", {}, number) && !read_learned(R"({"reach":"far"})", {}, number));
}

}  // namespace

int main() {
    what_was_learned_goes_by_name();
    a_key_that_the_running_file_has_may_not_be_missing();
    a_file_cut_anywhere_is_refused();
    a_good_one();
    bad_ones_name_the_key();
    one_bad_entry_of_news_fails_alone();
}
