// Immutable bytes that several holders share without a copy.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace brookrelay {

/// The value of a write, held by its request and by each connection that still has to write it. The memory is
/// freed with the last holder.
class SharedBytes {
  public:
    SharedBytes() = default;
    explicit SharedBytes(std::string bytes)
        : bytes_(bytes.empty() ? nullptr : std::make_shared<const std::string>(std::move(bytes))) {}

    bool empty() const { return bytes_ == nullptr; }
    std::size_t size() const { return view().size(); }
    /// Valid as long as any holder exists.
    std::string_view view() const { return bytes_ == nullptr ? std::string_view() : *bytes_; }
    bool operator==(std::string_view other) const { return view() == other; }

  private:
    std::shared_ptr<const std::string> bytes_;  // null if there are none
};

}  // namespace brookrelay
