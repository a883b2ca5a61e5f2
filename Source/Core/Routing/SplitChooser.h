#pragma once

#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/random/bit_gen_ref.h>

#include "Routing/Configuration.h"

namespace magnolia::routing {

/// Divides each route's requests among its parts in the ratio of their weights,
/// which keeps even short sequences of requests close to it. Each instance
/// begins at a random place of the sequence, so that a fleet with few requests
/// per instance favours no part. Not thread-safe.
class split_chooser {
public:
  /// The service for the next request of \p Route; null if it has no parts or
  /// all weights are zero.
  const std::string *next(const route &Route, absl::BitGenRef Random);

  /// Removes the state of routes that are not in \p Configuration.
  void keepOnly(const configuration &Configuration);

private:
  /// A part takes its share of the requests that the parts before it leave.
  struct turn {
    /// From zero to one.
    double Share = 0;
    /// Sum of the shares since the part was last chosen, below one.
    double Due = 0;
  };

  struct state {
    /// As they were when the turns were computed.
    std::vector<split_part> Parts;
    std::vector<turn> Turns;
  };

  static void update(state &State, const route &Route, absl::BitGenRef Random);
  static size_t step(std::vector<turn> &Turns);

  absl::flat_hash_map<std::string, state> States;
};

} // namespace magnolia::routing
