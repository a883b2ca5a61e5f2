#pragma once

#include <cstddef>
#include <cstdint>

/// Decides what happens to a request that a target has refused to run. Uses no
/// sockets, threads or clocks.
namespace magnolia::request {

/// What it is decided on.
struct refused_request {
  /// Refusals by targets so far, this one included.
  size_t Refusals = 1;
  /// Whether the targets tell their load, so that the request was sent to one
  /// that has room as far as that is known.
  bool LoadIsTold = false;
  /// Whether a slot of the service is known to be free. True if nothing is
  /// known.
  bool HasRoom = true;
  /// Whether the service is short of room and the request is of a lesser rank
  /// than others that want it.
  bool YieldsRoom = false;
  /// Whether the route allows one more target and there is one.
  bool HasUntriedTarget = false;
};

/// Refusals after which a request is given up.
struct refusal_limits {
  size_t Usual = 7;
  size_t IfLoadIsTold = 3;
  /// While no slot is known to be free, and for a request that yields.
  size_t WithoutRoom = 2;
};

enum class after_refusal : uint8_t {
  /// Send it to another target at once.
  SendNow,
  /// Send it after a delay, in which a slot may become free.
  SendLater,
  GiveUp,
};

/// Decides on the next send, which also needs a part of the budget of extra
/// attempts. Load pattern: many senders ask for twice the slots of a service's
/// targets; each send that is refused costs its target a connection and the
/// other requests a part of the budget.
after_refusal decideAfterRefusal(const refusal_limits &Limits,
                                 const refused_request &Request);

} // namespace magnolia::request
