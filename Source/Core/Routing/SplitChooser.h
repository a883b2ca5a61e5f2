#pragma once

#include <string>

#include <absl/container/flat_hash_map.h>
#include <absl/random/bit_gen_ref.h>

#include "Routing/Configuration.h"

namespace magnolia::routing {

/// Divides each route's requests among its parts by smooth weighted round
/// robin, which keeps even short sequences of requests close to the weights.
/// Each instance starts at a random position, so that a fleet with few requests
/// per instance does not favour the first part. Not thread-safe.
class split_chooser {
public:
  /// The service for the next request of \p Route; null if it has no parts or
  /// all weights are zero.
  const std::string *next(const route &Route, absl::BitGenRef Random);

  /// Removes the state of routes that are not in \p Configuration.
  void keepOnly(const configuration &Configuration);

private:
  struct state {
    std::vector<split_part> Parts;
    std::vector<double> Credits;
  };

  static size_t step(state &State);
  static void restart(state &State, const route &Route, absl::BitGenRef Random);

  absl::flat_hash_map<std::string, state> States;
};

} // namespace magnolia::routing
