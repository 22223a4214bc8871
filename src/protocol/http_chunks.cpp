#include "protocol/http_chunks.h"

#include <algorithm>

#include "protocol/http1.h"
#include "util/parse_number.h"
#include "util/trim.h"

namespace brookrelay {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr int kHexadecimal = 16;

}  // namespace

ChunkDecoder::Progress ChunkDecoder::decode(std::string_view input, std::string& body) {
    std::size_t position = 0;
    while (state_ != State::end && !is_malformed_ && step(input, position, body)) continue;
    if (is_malformed_) return {position, Status::malformed};
    return {position, state_ == State::end ? Status::complete : Status::incomplete};
}

// Decodes one element of the body at `position`. Returns false if it is incomplete.
bool ChunkDecoder::step(std::string_view input, std::size_t& position, std::string& body) {
    const std::string_view rest = input.substr(position);
    if (state_ == State::data) {
        const std::size_t bytes = std::min(rest.size(), remaining_);
        body.append(rest.substr(0, bytes));
        position += bytes;
        remaining_ -= bytes;
        if (remaining_ > 0) return false;
        state_ = State::data_end;
        return true;
    }
    if (state_ == State::data_end) {
        if (rest.size() < kLineEnd.size()) return false;
        is_malformed_ = !rest.starts_with(kLineEnd);
        position += kLineEnd.size();
        state_ = State::size_line;
        return true;
    }
    const std::size_t line_bytes = rest.find(kLineEnd);
    if (line_bytes == std::string_view::npos) {
        is_malformed_ = rest.size() > kMaxHttpHeadBytes;
        return false;
    }
    position += line_bytes + kLineEnd.size();
    if (state_ == State::size_line) {
        is_malformed_ = !begin_chunk(rest.substr(0, line_bytes), body.size());
    } else if (line_bytes == 0) {
        state_ = State::end;
    }
    return true;
}

// Parses the line before a chunk. Returns false if it is malformed or the chunk is too long.
bool ChunkDecoder::begin_chunk(std::string_view line, std::size_t body_bytes) {
    if (!parse_number(trim(line.substr(0, line.find(';'))), remaining_, kHexadecimal)) return false;
    if (remaining_ > max_body_bytes_ - body_bytes) return false;
    state_ = remaining_ == 0 ? State::trailers : State::data;
    return true;
}

}  // namespace brookrelay
