#pragma once

#include <functional>

#include "Quota/Amount.h"

namespace magnolia::quota {

/// What a lender knows when a loan is asked of it.
struct lend_query {
  nano_rate Rate = 0;
  /// Capacity that reserved tokens don't hold.
  nano_tokens Capacity = 0;
  nano_tokens Available = 0;
  /// Demand of the lender's own callers.
  nano_rate OwnDemand = 0;
  nano_tokens Wanted = 0;
  nano_rate WantedRate = 0;
};

/// What it lends. No tokens mean a refusal.
struct lend_offer {
  nano_rate Rate = 0;
  nano_tokens Capacity = 0;
  nano_tokens Tokens = 0;
};

/// Decides about one loan. Whatever it answers is cut to what the lender has,
/// so that no policy can break the bound.
using lend_policy = std::function<lend_offer(const lend_query &)>;

/// Lends single tokens at no rate where the demand is small, else the part of
/// the rate that the lender's own callers leave over.
lend_offer lendSpareRate(const lend_query &Query);

/// Lends only the tokens that are wanted, never rate.
lend_offer lendTokensOnly(const lend_query &Query);

/// Cuts \p Offer to what \p Query says is there; capacity covers the tokens.
lend_offer clampOffer(lend_offer Offer, const lend_query &Query);

} // namespace magnolia::quota
