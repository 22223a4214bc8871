#include "proxy/repeat_guard.h"

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <algorithm>
#include <iterator>

#include "util/file_descriptor.h"

namespace brookrelay {
namespace {

void* map_file(const std::string& file, std::size_t bytes) {
    if (file.empty()) return MAP_FAILED;
    const FileDescriptor descriptor(open(file.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
    // A file of the right size is left as it is: it holds the ids of the other process.
    if (!descriptor.is_open() || ftruncate(descriptor.get(), static_cast<off_t>(bytes)) != 0)
        return MAP_FAILED;
    return mmap(nullptr, bytes, PROT_READ | PROT_WRITE, MAP_SHARED, descriptor.get(), 0);
}

}  // namespace

// A new file and new private memory hold zeros, which is an empty ring.
RepeatGuard::RepeatGuard(const std::string& file) {
    static_assert(std::atomic<Hash>::is_always_lock_free, "the ring is shared by processes");
    void* memory = map_file(file, sizeof(Ring));
    if (memory == MAP_FAILED)
        memory = mmap(nullptr, sizeof(Ring), PROT_READ | PROT_WRITE, MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);
    if (memory != MAP_FAILED) ring_ = static_cast<Ring*>(memory);
}

RepeatGuard::~RepeatGuard() {
    if (ring_ != nullptr) munmap(ring_, sizeof(Ring));
}

RepeatGuard::Hash RepeatGuard::hash_of(std::string_view id) {
    constexpr Hash kOffsetBasis = 0xcbf29ce484222325ULL, kPrime = 0x100000001b3ULL;  // FNV-1a
    Hash hash = kOffsetBasis;
    for (const char c : id) hash = (hash ^ static_cast<unsigned char>(c)) * kPrime;
    return std::max<Hash>(hash, 1);
}

const std::atomic<RepeatGuard::Hash>* RepeatGuard::find(Hash hash) const {
    if (ring_ == nullptr) return nullptr;
    const auto* found =
        std::find_if(std::begin(ring_->hashes), std::end(ring_->hashes),
                     [hash](const auto& slot) { return slot.load(std::memory_order_relaxed) == hash; });
    return found == std::end(ring_->hashes) ? nullptr : found;
}

void RepeatGuard::add(std::string_view id) {
    const Hash hash = hash_of(id);
    if (ring_ == nullptr || find(hash) != nullptr) return;
    ring_->hashes[ring_->next.fetch_add(1) % kCapacity] = hash;
}

void RepeatGuard::remove(std::string_view id) {
    Hash hash = hash_of(id);
    const std::atomic<Hash>* found = find(hash);
    if (found != nullptr) ring_->hashes[found - std::begin(ring_->hashes)].compare_exchange_strong(hash, 0);
}

bool RepeatGuard::contains(std::string_view id) const { return find(hash_of(id)) != nullptr; }

}  // namespace brookrelay
