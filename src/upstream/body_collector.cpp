#include "upstream/body_collector.h"

#include <algorithm>

namespace brookrelay {

BodyCollector::BodyCollector(const UnsizedResponse& head, std::size_t max_bytes)
    : max_bytes_(max_bytes), is_chunked_(head.is_chunked), reusable_(head.reusable), decoder_(max_bytes) {}

BodyCollector::Progress BodyCollector::add(std::string_view input, bool ended) {
    // Growth by doubling would copy a long body and hold two copies meanwhile. Memory that is reserved and
    // not written to occupies no pages.
    const std::size_t needed = body_.size() + input.size();
    if (needed > body_.capacity() && needed > kMaxBufferedValueBytes) body_.reserve(max_bytes_);
    if (!is_chunked_) return add_until_close(input, ended);
    const ChunkDecoder::Progress progress = decoder_.decode(input, body_);
    switch (progress.status) {
        case ChunkDecoder::Status::complete:
            return {progress.bytes, Status::complete};
        case ChunkDecoder::Status::malformed:
            return {progress.bytes, Status::malformed};
        case ChunkDecoder::Status::incomplete:
            break;
    }
    return {progress.bytes, Status::incomplete};
}

BodyCollector::Progress BodyCollector::add_until_close(std::string_view input, bool ended) {
    if (input.size() > max_bytes_ - body_.size()) return {0, Status::malformed};
    body_.append(input);
    return {input.size(), ended ? Status::complete : Status::incomplete};
}

}  // namespace brookrelay
