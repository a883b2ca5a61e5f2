#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/types/span.h>

#include "Common/Time.h"

namespace magnolia::placement {

using common::boot_time;
using duration = common::boot_clock::duration;

/// A row of the store with which the operator evacuates a failure domain. Its
/// presence alone counts.
struct evacuation_row {
  std::string FailureDomain;
  /// What is unusual about its value; empty if nothing is.
  std::string Remark;
};

/// The begin or the end of an evacuation.
struct evacuation_change {
  std::string FailureDomain;
  bool Begins = false;

  friend bool operator==(const evacuation_change &,
                         const evacuation_change &) = default;
};

/// Times of evacuations.
struct evacuation_settings {
  /// How long an evacuation holds whose row is missing from a restored store,
  /// for the operator to write it again.
  duration RestoredGrace = std::chrono::seconds(10);
};

/// The failure domains whose targets get no requests, by the operator's wish. A
/// missing row ends an evacuation at once, unless the store was restored from
/// an older copy, which may have lost the row: requests would go to a domain
/// that may be about to be switched off. Load pattern: a domain is emptied
/// while traffic runs and the store is away or restored; every instance must
/// obey within seconds, whether or not it reads the store. Reads no clock; not
/// thread-safe.
class evacuations {
public:
  explicit evacuations(const evacuation_settings &Settings)
      : Settings(Settings) {}

  /// The next call of replace() gets the rows of a restored store.
  void beginRestored() { IsRestored = true; }

  /// \p Domains are those that have a row. Returns what changes.
  std::vector<evacuation_change> replace(absl::Span<const std::string> Domains,
                                         boot_time Now);

  /// The row of \p Domain was written or removed.
  std::optional<evacuation_change> set(const std::string &Domain, bool HasRow);

  /// Ends the evacuations whose rows are not written again in time.
  std::vector<evacuation_change> advance(boot_time Now);

  bool contains(const std::string &Domain) const {
    return Evacuated.contains(Domain);
  }

  /// In ascending order.
  std::vector<std::string> domains() const;
  bool empty() const { return Evacuated.empty(); }

private:
  const evacuation_settings Settings;
  /// By domain: when it ends because its row is missing from a restored store.
  std::map<std::string, std::optional<boot_time>> Evacuated;
  bool IsRestored = false;
};

} // namespace magnolia::placement
