#include "Gateway/EvacuationControl.h"

#include <utility>

#include "Common/Log.h"

namespace magnolia::gateway {
namespace {

using common::log_level;
using fleet::stored_row;
using placement::evacuation_change;

constexpr std::string_view Component = "Evacuation";

} // namespace

evacuation_control::evacuation_control(
    event::event_loop &Loop, const placement::evacuation_settings &Settings,
    const placement::region_map &Regions, placement::target_set &TargetSet,
    evacuation_decoder Decode)
    : Loop(Loop), Regions(Regions), TargetSet(TargetSet),
      Decode(std::move(Decode)), Evacuations(Settings) {}

std::optional<placement::evacuation_row>
evacuation_control::decode(const stored_row &Row) {
  if (!Decode)
    return std::nullopt;
  auto Decoded = Decode(Row.Key, Row.Value);
  if (!Decoded || Row.Removed || Decoded->Remark.empty()) {
    Remarks.erase(Row.Key);
    return Decoded;
  }
  std::string &Logged = Remarks[Row.Key];
  if (Logged != Decoded->Remark)
    common::log(log_level::Warning, Component, "unusual evacuation row",
                {{"key", Row.Key},
                 {"detail", Decoded->Remark},
                 {"store_version", Row.Version}});
  Logged = Decoded->Remark;
  return Decoded;
}

void evacuation_control::applySnapshot(const std::vector<stored_row> &Rows) {
  std::vector<std::string> Domains;
  for (const stored_row &Row : Rows)
    if (const auto Evacuation = decode(Row);
        Evacuation && !Evacuation->FailureDomain.empty())
      Domains.push_back(Evacuation->FailureDomain);
  apply(Evacuations.replace(Domains, Loop.now()));
  Known = true;
}

void evacuation_control::applyChange(const stored_row &Row) {
  const auto Evacuation = decode(Row);
  if (!Evacuation || Evacuation->FailureDomain.empty())
    return;
  if (const auto Change =
          Evacuations.set(Evacuation->FailureDomain, !Row.Removed))
    apply({*Change});
}

void evacuation_control::advance() {
  apply(Evacuations.advance(Loop.now()));
  logUnknownDomains();
}

void evacuation_control::apply(const std::vector<evacuation_change> &Changes) {
  if (Changes.empty())
    return;
  TargetSet.setEvacuated(Evacuations.domains());
  EvacuatedServices.clear();
  for (const evacuation_change &Change : Changes) {
    UnknownDomains.erase(Change.FailureDomain);
    common::log(log_level::Info, Component,
                Change.Begins ? "evacuation begins" : "evacuation ends",
                {{"failure_domain", Change.FailureDomain},
                 {"targets", TargetSet.sizeOfDomain(Change.FailureDomain)},
                 {"evacuated_domains", Evacuations.domains().size()}});
  }
}

void evacuation_control::logUnknownDomains() {
  if (TargetSet.size() == 0)
    return;
  for (const std::string &Domain : Evacuations.domains()) {
    const bool IsKnown =
        Regions.contains(Domain) || TargetSet.sizeOfDomain(Domain) > 0;
    if (!IsKnown && UnknownDomains.insert(Domain).second)
      common::log(log_level::Warning, Component,
                  "unknown failure domain evacuated",
                  {{"failure_domain", Domain}});
  }
}

void evacuation_control::onRefused(std::string_view Service) {
  ++Refused;
  if (EvacuatedServices.contains(Service))
    return;
  EvacuatedServices.emplace(Service);
  common::log(log_level::Error, Component, "all targets are evacuated",
              {{"service", std::string(Service)},
               {"evacuated_domains", Evacuations.domains().size()}});
}

void evacuation_control::addSamples(
    std::vector<common::metric_sample> &Samples) const {
  Samples.push_back({"magnolia_domains_evacuated",
                     "Failure domains that are evacuated.",
                     {},
                     static_cast<double>(Evacuations.domains().size())});
  Samples.push_back({"magnolia_requests_refused_evacuated_total",
                     "Requests refused since all targets of their service are "
                     "evacuated.",
                     {},
                     static_cast<double>(Refused)});
}

} // namespace magnolia::gateway
