#pragma once

#include <functional>
#include <memory>

#include "Admission/MemoryShares.h"
#include "Net/Event/EventLoop.h"

namespace magnolia::message {

/// Accounts for what one connection reads, and tells when it has to stop
/// reading until there is room.
class memory_meter {
public:
  struct hooks {
    /// There may be room; what is pending can be read.
    std::function<void()> OnRoom;
    /// The message that waits must be given up: it says no length, and nothing
    /// else of its service holds as much.
    std::function<void()> OnGiveUp;
  };

  /// \p Shares: null for no bound.
  memory_meter(event::event_loop &Loop,
               std::shared_ptr<admission::memory_shares> Shares,
               admission::memory_owner Owner)
      : Loop(Loop), Shares(std::move(Shares)), Owner(std::move(Owner)) {}
  ~memory_meter() { stopWaiting(); }

  void setHooks(hooks Given) { Hooks = std::move(Given); }

  /// Whether the message may hold \p Bytes; otherwise OnRoom follows.
  /// \p LengthKnown: the message says its length, which \p Bytes includes.
  bool acquire(size_t Bytes, bool LengthKnown);

  /// Whether a message of \p Bytes can be read at all.
  bool canEverHold(size_t Bytes) const {
    return !Shares || Bytes <= Shares->largestMessage();
  }

  /// The message is complete; what it holds is released with the result. Null
  /// if it is not accounted for.
  std::shared_ptr<admission::memory_shares::holding> take();

  /// The message was given up.
  void release();

  bool isWaiting() const { return Waiting != nullptr; }

private:
  void wait();
  void armGiveUp();
  void stopWaiting();

  event::event_loop &Loop;
  const std::shared_ptr<admission::memory_shares> Shares;
  const admission::memory_owner Owner;
  hooks Hooks;
  std::unique_ptr<admission::memory_shares::holding> Holding;
  /// Exists while the message waits; the hook that resumes it refers to it.
  std::shared_ptr<bool> Waiting;
  event::event_loop::timer_id GiveUpTimer = 0;
  bool LengthKnown = false;
};

} // namespace magnolia::message
