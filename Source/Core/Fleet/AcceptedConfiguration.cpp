#include "Fleet/AcceptedConfiguration.h"

#include <algorithm>

namespace magnolia::fleet {

bool accepted_configuration::isInForce(const configuration_offer &Offer) const {
  return Current && Offer.Version == Current->Version &&
         Offer.Content == Current->Content;
}

offer_decision
accepted_configuration::decide(const configuration_offer &Offer) const {
  if (!Current || Offer.Version > Current->Version)
    return offer_decision::Accepted;
  if (isInForce(Offer))
    return offer_decision::InForce;
  if (Offer.Version < Current->Version)
    return offer_decision::Outdated;
  const bool WasReplaced = std::find(Replaced.begin(), Replaced.end(),
                                     Offer.Content) != Replaced.end();
  if (WasReplaced || Offer.Position.Era <= Current->Position.Era)
    return offer_decision::Outdated;
  return offer_decision::Accepted;
}

offer_decision accepted_configuration::offer(const configuration_offer &Offer,
                                             offer_source Source) {
  if (Source == offer_source::Store)
    Stored = Offer;
  const offer_decision Decision = decide(Offer);
  if (Decision == offer_decision::InForce)
    Current->Position = std::max(Current->Position, Offer.Position);
  if (Decision != offer_decision::Accepted)
    return Decision;
  if (Current && Offer.Version == Current->Version)
    Replaced.push_back(Current->Content);
  else
    Replaced.clear();
  Current = Offer;
  return Decision;
}

std::optional<configuration_offer>
accepted_configuration::missingFromStore() const {
  if (!Stored || isInForce(*Stored))
    return std::nullopt;
  return Current;
}

} // namespace magnolia::fleet
