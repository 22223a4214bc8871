// The origin's side of a forward: an invocation as an HTTP/1.1 request, and what the response proves. It owns
// nothing, and must never take a response for "never ran" that does not say so.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "answer.h"
#include "memcache_text.h"

namespace brookrelay {

std::string origin_request(const Command& command, double time_left, std::string_view host);
LongValue long_origin_answer(std::string_view in);
std::size_t read_origin_answer(std::string_view in, Answer& out);  // 0: not whole yet

}  // namespace brookrelay
