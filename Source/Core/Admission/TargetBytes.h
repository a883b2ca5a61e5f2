#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include <absl/container/flat_hash_map.h>

namespace magnolia::admission {

/// Bounds the bytes of requests that one instance has at a target: bodies that
/// were sent, or are about to be, and have no response yet. A target that is
/// asked to hold more than its memory ends, and with it all that it runs. Load
/// pattern: uploads that come faster than a few targets finish them. Requests
/// without a body are never held back. Reads no clock; not thread-safe.
class target_bytes : public std::enable_shared_from_this<target_bytes> {
public:
  class use;

  /// \p LimitBytes: for each target; none for no bound.
  static std::shared_ptr<target_bytes>
  create(std::optional<size_t> LimitBytes) {
    return std::shared_ptr<target_bytes>(new target_bytes(LimitBytes));
  }

  /// Whether a body of \p Bytes could be sent to a target that has no other.
  bool canEverHold(size_t Bytes) const { return !Limit || Bytes <= *Limit; }

  /// The targets that \p Bytes more would bring above the bound.
  std::vector<uint32_t> withoutRoomFor(size_t Bytes) const;

  /// Counts \p Bytes for \p Target until the result is destroyed; null if there
  /// is nothing to count.
  std::unique_ptr<use> add(uint32_t Target, size_t Bytes);

  std::optional<size_t> limit() const { return Limit; }
  /// Bytes at the target that has most of them.
  size_t most() const;

private:
  explicit target_bytes(std::optional<size_t> LimitBytes) : Limit(LimitBytes) {}

  const std::optional<size_t> Limit;
  /// Only targets with such bytes.
  absl::flat_hash_map<uint32_t, size_t> Held;
};

/// What one request holds at a target.
class target_bytes::use {
public:
  ~use();
  use(const use &) = delete;
  use &operator=(const use &) = delete;

private:
  friend class target_bytes;

  use(std::shared_ptr<target_bytes> Owner, uint32_t Target, size_t Bytes)
      : Owner(std::move(Owner)), Target(Target), Bytes(Bytes) {}

  const std::shared_ptr<target_bytes> Owner;
  const uint32_t Target;
  const size_t Bytes;
};

} // namespace magnolia::admission
