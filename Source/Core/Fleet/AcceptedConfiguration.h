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

  friend bool operator==(const configuration_offer &,
                         const configuration_offer &) = default;
};

/// Where an offered configuration comes from.
enum class offer_source : uint8_t {
  /// The store's table, read by this instance or by a peer.
  Store,
  /// A peer that has it in force, though the store lost it.
  Peer,
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
/// restore. An instance that starts after the restore learns the later version
/// from its peers. Not thread-safe.
class accepted_configuration {
public:
  offer_decision offer(const configuration_offer &Offer, offer_source Source);

  /// What would become of \p Offer.
  offer_decision decide(const configuration_offer &Offer) const;

  /// The one in force, if any.
  const std::optional<configuration_offer> &inForce() const { return Current; }

  /// The one in force if the store's table holds another one, in which case
  /// instances that start cannot read it there.
  std::optional<configuration_offer> missingFromStore() const;

private:
  bool isInForce(const configuration_offer &Offer) const;

  std::optional<configuration_offer> Current;
  /// The last one that came from the store.
  std::optional<configuration_offer> Stored;
  /// Contents of the current version that were replaced.
  std::vector<uint64_t> Replaced;
};

} // namespace magnolia::fleet
