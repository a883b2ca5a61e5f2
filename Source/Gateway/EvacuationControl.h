#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "Common/Metrics.h"
#include "Fleet/StoredRow.h"
#include "Net/Event/EventLoop.h"
#include "Placement/Evacuations.h"
#include "Placement/HomeRegions.h"
#include "Placement/TargetSet.h"

namespace magnolia::gateway {

/// Decodes a row of the operator's table; empty if it evacuates no failure
/// domain.
using evacuation_decoder =
    std::function<std::optional<placement::evacuation_row>(
        const std::string &Key, const std::string &Value)>;

/// Takes the operator's evacuations from the rows beside the configuration and
/// has the targets of these failure domains left out, on this instance.
class evacuation_control {
public:
  /// Without \p Decode no row evacuates anything.
  evacuation_control(event::event_loop &Loop,
                     const placement::evacuation_settings &Settings,
                     const placement::region_map &Regions,
                     placement::target_set &TargetSet,
                     evacuation_decoder Decode);

  /// The operator's table now holds exactly these rows.
  void applySnapshot(const std::vector<fleet::stored_row> &Rows);
  void applyChange(const fleet::stored_row &Row);
  /// The next snapshot is that of a store that was restored from an older copy.
  void beginRestored() { Evacuations.beginRestored(); }

  /// Whether it is known which failure domains are evacuated.
  bool isKnown() const { return Known; }

  /// Ends what is due, and logs evacuations that concern nothing known.
  void advance();

  /// Counts a request that was refused because all targets of \p Service are
  /// evacuated, and logs the first one of each service.
  void onRefused(std::string_view Service);

  void addSamples(std::vector<common::metric_sample> &Samples) const;

private:
  /// The evacuation of a row; logs what is unusual about it, once.
  std::optional<placement::evacuation_row> decode(const fleet::stored_row &Row);
  void apply(const std::vector<placement::evacuation_change> &Changes);
  void logUnknownDomains();

  event::event_loop &Loop;
  const placement::region_map &Regions;
  placement::target_set &TargetSet;
  const evacuation_decoder Decode;
  placement::evacuations Evacuations;
  bool Known = false;
  /// What was last logged of unusual rows, by key.
  std::map<std::string, std::string> Remarks;
  /// Domains and services that were logged and are still evacuated.
  std::set<std::string> UnknownDomains;
  std::set<std::string, std::less<>> EvacuatedServices;
  uint64_t Refused = 0;
};

} // namespace magnolia::gateway
