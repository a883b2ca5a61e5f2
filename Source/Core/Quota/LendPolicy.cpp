#include "Quota/LendPolicy.h"

#include <algorithm>

namespace magnolia::quota {

namespace {

/// Smaller loans are not worth a message.
constexpr nano_tokens SmallestLoan = OneToken / 20;

/// If the rate that could be lent is smaller, only tokens are lent.
constexpr nano_rate SmallestLentRate = 5 * OneToken;

/// Limits a loan's capacity beyond its tokens to what the lent rate earns in a
/// quarter of a second, or to one token if that is more.
constexpr int64_t CapacityDivisor = 4;

} // namespace

lend_offer clampOffer(lend_offer Offer, const lend_query &Query) {
  Offer.Tokens = std::clamp<nano_tokens>(
      Offer.Tokens, 0, std::min(Query.Available, Query.Capacity));
  Offer.Rate = std::clamp<nano_rate>(Offer.Rate, 0, Query.Rate);
  Offer.Capacity = std::clamp(Offer.Capacity, Offer.Tokens, Query.Capacity);
  return Offer;
}

lend_offer lendTokensOnly(const lend_query &Query) {
  const nano_tokens Tokens = std::min(Query.Available, Query.Wanted);
  if (Tokens < std::min(SmallestLoan, Query.Wanted))
    return {};
  return {0, Tokens, Tokens};
}

lend_offer lendSpareRate(const lend_query &Query) {
  lend_offer Offer = lendTokensOnly(Query);
  if (Offer.Tokens < OneToken)
    return Offer;
  const nano_rate Spare = std::max<nano_rate>(0, Query.Rate - Query.OwnDemand);
  const nano_rate Lent = std::min(Query.WantedRate, Spare);
  if (Lent < SmallestLentRate)
    return Offer;
  Offer.Rate = Lent;
  // The lender's remaining tokens keep their capacity.
  const nano_tokens Free = Query.Capacity - (Query.Available - Offer.Tokens);
  const nano_tokens Useful =
      Offer.Tokens + std::max(OneToken, Lent / CapacityDivisor);
  Offer.Capacity = std::max(Offer.Tokens, std::min(Free, Useful));
  return Offer;
}

} // namespace magnolia::quota
