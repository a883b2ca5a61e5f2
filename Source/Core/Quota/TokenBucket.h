#pragma once

#include "Quota/Amount.h"

namespace magnolia::quota {

/// A token bucket whose tokens are first reserved and then spent. A reserved
/// token occupies capacity until it is spent, so that the bound holds for the
/// times of spending, however long a request waits before.
/// Invariant: available + reserved <= capacity, unless a resize cut the
/// capacity below what is reserved. Not thread-safe.
class token_bucket {
public:
  token_bucket(nano_rate Rate, nano_tokens Capacity, nano_tokens Tokens,
               common::boot_time Now);

  nano_rate rate() const { return Rate; }
  nano_tokens capacity() const { return Capacity; }
  nano_tokens available() const { return Available; }
  nano_tokens reserved() const { return Reserved; }

  /// Adds the tokens earned up to \p Now; earlier times change nothing.
  void accrue(common::boot_time Now);

  /// Changes rate and capacity; tokens beyond the capacity are lost.
  void resize(nano_rate NewRate, nano_tokens NewCapacity,
              common::boot_time Now);

  /// Moves \p Amount from available to reserved; the caller checks that it is
  /// available.
  void reserve(nano_tokens Amount, common::boot_time Now);

  /// Removes the reserved \p Amount, which was spent.
  void settle(nano_tokens Amount, common::boot_time Now);

  /// Makes the reserved \p Amount available again.
  void cancel(nano_tokens Amount, common::boot_time Now);

  /// Removes \p Amount from the bucket without spending it.
  void remove(nano_tokens Amount, common::boot_time Now);

  /// Adds \p Amount, as far as the capacity allows.
  void add(nano_tokens Amount, common::boot_time Now);

  /// Removes all tokens, including reserved ones.
  void clear(common::boot_time Now);

  /// Time until \p Amount is available; duration::max() if it never will be.
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
