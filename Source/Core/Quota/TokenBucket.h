#pragma once

#include "Quota/Amount.h"

namespace magnolia::quota {

/// A token bucket whose tokens are first reserved and then spent. A reserved
/// token keeps its place in the capacity until it is spent, so that the bound
/// holds for the times of spending, however long a request waits before.
/// Invariant: available + reserved <= capacity, unless a resize cut below what
/// is reserved. Not thread-safe.
class token_bucket {
public:
  token_bucket(nano_rate Rate, nano_tokens Capacity, nano_tokens Tokens,
               common::boot_time Now);

  nano_rate rate() const { return Rate; }
  nano_tokens capacity() const { return Capacity; }
  nano_tokens available() const { return Available; }
  nano_tokens reserved() const { return Reserved; }

  /// Adds what the rate gives up to \p Now; earlier times change nothing.
  void accrue(common::boot_time Now);

  /// Changes rate and capacity; tokens beyond the capacity are lost.
  void resize(nano_rate NewRate, nano_tokens NewCapacity,
              common::boot_time Now);

  /// Moves \p Amount from available to reserved; the caller checked that it is
  /// there.
  void reserve(nano_tokens Amount, common::boot_time Now);

  /// The reserved \p Amount was spent.
  void settle(nano_tokens Amount, common::boot_time Now);

  /// The reserved \p Amount becomes available again.
  void cancel(nano_tokens Amount, common::boot_time Now);

  /// Takes \p Amount out of the bucket without spending it.
  void remove(nano_tokens Amount, common::boot_time Now);

  /// Puts \p Amount in, as far as the capacity has room.
  void add(nano_tokens Amount, common::boot_time Now);

  /// Forgets all tokens, reserved ones too.
  void empty(common::boot_time Now);

  /// Time until \p Amount is available; the maximum if that never happens.
  duration timeUntil(nano_tokens Amount) const;

private:
  void clip();

  nano_rate Rate;
  nano_tokens Capacity;
  nano_tokens Available;
  nano_tokens Reserved = 0;
  common::boot_time Last;
};

} // namespace magnolia::quota
