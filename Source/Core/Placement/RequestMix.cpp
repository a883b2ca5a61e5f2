#include "Placement/RequestMix.h"

#include <cmath>

#include "Common/StringView.h"

namespace magnolia::placement {
namespace {

/// Time after which a request keeps about a third of its weight.
constexpr std::chrono::seconds DecayTime{4};
/// Below this many recent requests nothing is known.
constexpr double MinRequests = 3;

} // namespace

void request_mix::count(std::string_view Service, bool Repeatable,
                        boot_time Now) {
  weights &Weights = Services[std::string(Service)];
  const double Passed =
      std::chrono::duration<double>(Now - Weights.Updated).count();
  const double Retained =
      std::exp(-Passed / std::chrono::duration<double>(DecayTime).count());
  Weights.All = Weights.All * Retained + 1;
  Weights.Repeatable = Weights.Repeatable * Retained + (Repeatable ? 1.0 : 0.0);
  Weights.Updated = Now;
}

double request_mix::repeatableFraction(std::string_view Service) const {
  const auto Found = Services.find(common::toAbsl(Service));
  if (Found == Services.end() || Found->second.All < MinRequests)
    return 0;
  return Found->second.Repeatable / Found->second.All;
}

} // namespace magnolia::placement
