#include "Fleet/AcceptedConfiguration.h"

#include <algorithm>

namespace magnolia::fleet {

offer_decision accepted_configuration::offer(const configuration_offer &Offer) {
  if (!Current || Offer.Version > Current->Version) {
    Current = Offer;
    Replaced.clear();
    return offer_decision::Accepted;
  }
  if (Offer.Version < Current->Version)
    return offer_decision::Outdated;
  if (Offer.Content == Current->Content) {
    Current->Position = std::max(Current->Position, Offer.Position);
    return offer_decision::InForce;
  }
  const bool WasReplaced = std::find(Replaced.begin(), Replaced.end(),
                                     Offer.Content) != Replaced.end();
  if (WasReplaced || Offer.Position.Era <= Current->Position.Era)
    return offer_decision::Outdated;
  Replaced.push_back(Current->Content);
  Current = Offer;
  return offer_decision::Accepted;
}

} // namespace magnolia::fleet
