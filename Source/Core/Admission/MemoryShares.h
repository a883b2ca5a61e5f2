#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

namespace magnolia::admission {

/// On whose behalf memory is held.
struct memory_owner {
  std::string Service;
  /// One target of the service.
  uint64_t Target = 0;
};

/// Divides the memory for messages among services and their targets. A target
/// may hold as much as its service leaves of what all leave free, so that one
/// that sends without end holds a third of the limit, several of one service
/// together less than half, and what is left is for the others. What does not
/// fit waits; complete messages, which wait for slow receivers, keep what they
/// hold, so that the limit holds for everything; those that callers fetch
/// slowly may count for their service too, so that other services do not wait
/// for them. Load pattern: some or all targets of one service send bytes
/// without end, or large responses, while those of another serve orders that
/// have run and must not be lost. Reads no clock; not thread-safe.
class memory_shares : public std::enable_shared_from_this<memory_shares> {
public:
  class holding;

  /// A message up to this size is read in any case.
  static constexpr size_t SmallBytes = size_t{16} * 1024;

  static std::shared_ptr<memory_shares> create(size_t LimitBytes) {
    return std::shared_ptr<memory_shares>(new memory_shares(LimitBytes));
  }

  /// Starts to account for a message.
  std::unique_ptr<holding> open(const memory_owner &Owner);

  /// The size of the largest message that can be read while nothing else is
  /// held, in bytes.
  size_t largestMessage() const { return Limit / 3; }

  size_t limit() const { return Limit; }
  /// Bytes held by all messages.
  size_t used() const { return Used; }
  /// Bytes of complete messages, which wait for their receivers.
  size_t complete() const { return Complete; }
  /// Whether nothing more should be started, since most of it is held.
  bool isNearlyUsedUp() const { return Used > nearlyAll(); }
  /// Bytes of complete messages that count for their service.
  size_t unfetched() const { return Unfetched; }
  /// Bytes of these that must be released so that new messages are started and
  /// those that wait are read, as far as that helps them.
  size_t missingBytes() const;

  /// Called when there may be room for messages that wait. The owner then calls
  /// resumeWaiting(), but not from within this hook.
  std::function<void()> OnRoom;

  /// Lets each message that waits try again, in the order in which they began
  /// to wait.
  void resumeWaiting();

private:
  struct target_use {
    size_t Held = 0;
    std::vector<const holding *> Messages;
  };
  struct service_use {
    size_t Held = 0;
    /// Of complete messages.
    size_t Unfetched = 0;
    absl::flat_hash_map<uint64_t, target_use> Targets;
  };

  explicit memory_shares(size_t LimitBytes) : Limit(LimitBytes) {}
  size_t nearlyAll() const { return Limit / 8 * 7; }
  void eraseIfUnused(const std::string &Service);

  const size_t Limit;
  size_t Used = 0;
  size_t Complete = 0;
  size_t Unfetched = 0;
  absl::flat_hash_map<std::string, service_use> Services;
  std::vector<std::function<void()>> Waiting;
};

/// What one message holds; it is released with this object.
class memory_shares::holding {
public:
  ~holding();
  holding(const holding &) = delete;
  holding &operator=(const holding &) = delete;

  /// Holds \p Size bytes in all, if its owner's share allows it.
  bool tryGrowTo(size_t Size);

  /// Calls \p Resume once, when there may be room.
  void wait(std::function<void()> Resume);

  /// The message is complete: it no longer counts for its target.
  void setComplete();

  /// The message is complete and its receiver has not fetched it: it counts for
  /// its service again.
  void setUnfetched();

  /// Whether no message of the service's other targets, and no other one of its
  /// target, holds more.
  bool isLargest() const;

  size_t bytes() const { return Bytes; }

private:
  friend class memory_shares;

  holding(std::shared_ptr<memory_shares> Shares, memory_owner Owner);
  void leaveTarget();
  /// What the share of its owner lacks for \p Size bytes.
  size_t missingFor(size_t Size) const;

  const std::shared_ptr<memory_shares> Shares;
  const memory_owner Owner;
  size_t Bytes = 0;
  /// Bytes that it needs to go on.
  size_t Wanted = 0;
  bool IsComplete = false;
  bool IsUnfetched = false;
};

} // namespace magnolia::admission
