#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "Fleet/StoredRow.h"

namespace magnolia::fleet {

/// A configuration as it was read from the store.
struct configuration_offer {
  /// The operator's number of it, which increases.
  uint64_t Version = 0;
  /// Hash of its content.
  uint64_t Content = 0;
  /// Where it is in the store's history.
  store_position Position;
};

/// What becomes of an offered configuration.
enum class offer_decision : uint8_t {
  /// It comes into force.
  Accepted,
  /// It is the one in force.
  InForce,
  /// An earlier one, for example from a copy from which the store was restored.
  Outdated,
};

/// Decides which configuration is in force. An earlier version never replaces a
/// later one, also when the store was restored from a copy that holds it. The
/// operator may use a version again that the store has lost: its content
/// replaces the lost one, and the lost one does not come back with another
/// restore. Not thread-safe.
class accepted_configuration {
public:
  offer_decision offer(const configuration_offer &Offer);

  /// The one in force, if any.
  const std::optional<configuration_offer> &inForce() const { return Current; }

private:
  std::optional<configuration_offer> Current;
  /// Contents of the current version that were replaced.
  std::vector<uint64_t> Replaced;
};

} // namespace magnolia::fleet
