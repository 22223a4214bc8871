#include "protocol/origin_http.h"

#include <utility>

#include "protocol/http1.h"

namespace brookrelay {

std::string origin_request(const Command& c, double time_left, std::string_view host) {
    const std::string target = path_of(c.key);
    const std::string properties = properties_text(c.properties, time_left);
    const HttpHeaders headers{{"X-Trace-Id", c.id}, {"X-Props", properties}};
    const bool write = c.kind == Command::Kind::write;
    return http_request(write ? "PUT" : "GET", target, host, headers, c.value);
}

LongValue long_origin_answer(std::string_view in) {
    HttpResponse response;
    std::size_t length = 0;
    const std::size_t head = read_response_head(in, kValueMost, response, length);
    if (head == 0 || !response.sound || response.status != 200 || length <= kWholeMost) return {};
    return {head, length, 0, {}, response.keep_open};
}

std::size_t read_origin_answer(std::string_view in, Answer& a, bool ended) {
    a = {};
    HttpResponse response;
    std::size_t taken = read_response(in, {kWholeMost, kValueMost}, response, ended);
    // Where only the head counts, a body up to the connection's end is not waited for.
    if (taken == 0 && response.until_close && response.status != 200) taken = in.size();
    a.unsized = response.unsized();
    if (taken == 0) return 0;
    a.sound = response.sound;
    a.reusable = response.keep_open;
    if (response.status == 200) {
        a.ending = Ending::succeeded;
        a.body = std::move(response.body);
    } else {
        const bool never_ran = response.header("x-never-ran") == "1";
        a.ending =
            never_ran && (response.status == 503 || response.status == 504) ? Ending::busy : Ending::errored;
    }
    return taken;
}

}  // namespace brookrelay
