/// Remembers the ids of requests with an effect that may have run, so that none runs again when its id comes
/// again: on another connection after its client has left, or at another process of this node.
///
/// The most recent kCapacity ids are kept, as hashes, in a file that all processes of the node map, or in
/// private memory if there is none. Errors of the file are not reported: the ids are then known to this
/// process alone. Not thread-safe, but safe among processes.
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace brookrelay {

/// A ring of the ids that may have run.
class RepeatGuard {
  public:
    static constexpr std::size_t kCapacity = 8192;

    /// `file` is empty if this process shares its ids with no other.
    explicit RepeatGuard(const std::string& file);
    ~RepeatGuard();
    RepeatGuard(const RepeatGuard&) = delete;
    RepeatGuard& operator=(const RepeatGuard&) = delete;

    /// Notes that an attempt of the request is being written, so that it may run.
    void add(std::string_view id);
    /// Notes that no attempt of the request has run.
    void remove(std::string_view id);
    /// Returns whether the request may have run before.
    bool contains(std::string_view id) const;

  private:
    using Hash = std::uint64_t;
    struct Ring {
        std::atomic<std::uint64_t> next;
        std::atomic<Hash> hashes[kCapacity];  // 0: free
    };
    static Hash hash_of(std::string_view id);
    const std::atomic<Hash>* find(Hash hash) const;

    Ring* ring_ = nullptr;  // mapped; null if no memory could be mapped
};

}  // namespace brookrelay
