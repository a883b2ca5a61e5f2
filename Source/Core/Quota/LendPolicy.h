#pragma once

#include <functional>

#include "Quota/Amount.h"

namespace magnolia::quota {

/// The lender's state and the request on which a lend_policy decides.
struct lend_query {
  nano_rate Rate = 0;
  /// Capacity that reserved tokens do not occupy.
  nano_tokens Capacity = 0;
  nano_tokens Available = 0;
  /// Demand of the lender's own callers.
  nano_rate OwnDemand = 0;
  nano_tokens Wanted = 0;
  nano_rate WantedRate = 0;
};

/// The rights that the lender offers. Zero tokens mean a refusal.
struct lend_offer {
  nano_rate Rate = 0;
  nano_tokens Capacity = 0;
  nano_tokens Tokens = 0;
};

/// Decides about one loan. The result is clamped to what the lender has, so
/// that no policy can break the bound.
using lend_policy = std::function<lend_offer(const lend_query &)>;

/// Lends the wanted tokens. With at least one token it also lends the part of
/// the wanted rate that the lender's own callers do not need, unless that part
/// is small.
lend_offer lendSpareRate(const lend_query &Query);

/// Lends only the wanted tokens, never a rate.
lend_offer lendTokensOnly(const lend_query &Query);

/// Clamps \p Offer to what \p Query has; the capacity covers the tokens.
lend_offer clampOffer(lend_offer Offer, const lend_query &Query);

} // namespace magnolia::quota
