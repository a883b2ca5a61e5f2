#include <algorithm>

#include "Common/Digest.h"
#include "Common/Log.h"
#include "Gateway/Gateway.h"
#include "Gateway/LostConfiguration.h"
#include "Gateway/StoreSharing.h"

// The configuration: how it comes into force, and what applies to callers.

namespace magnolia::gateway {

using common::log_level;

namespace {

constexpr const char *Component = "Gateway";
/// Values of one configuration that are logged, of each kind.
constexpr size_t MaxLoggedValues = 20;

void logValues(uint64_t Version, log_level Level, const char *Event,
               const std::vector<routing::unreadable_value> &Values) {
  const size_t Logged = std::min(Values.size(), MaxLoggedValues);
  for (size_t Index = 0; Index < Logged; ++Index) {
    const routing::unreadable_value &Value = Values[Index];
    common::log(Level, Component, Event,
                {{"version", Version},
                 {"table", Value.Table},
                 {"row", Value.Row},
                 {"name", Value.Name},
                 {"column", Value.Column},
                 {"detail", Value.Message},
                 {"effect", std::string(nameOf(Value.Effect))}});
  }
}

} // namespace

message::server_limits gateway::callerLimits() const {
  message::server_limits Limits;
  Limits.Shares = Memory;
  Limits.Unfetched = Unfetched;
  if (!Routes)
    return Limits;
  const routing::caller_limits &Configured =
      Routes->configurationInForce().Limits;
  Limits.Reader.HeadBytes = Configured.HeadBytes;
  Limits.Reader.BodyBytes = Configured.BodyBytes;
  Limits.HeadTimeout = Configured.HeadTimeout;
  Limits.IdleTimeout = Configured.IdleTimeout;
  return Limits;
}

fleet::table_hooks gateway::configurationHooks() {
  fleet::table_hooks Hooks;
  const auto Offer = [this](const stored_row &Row) {
    offerConfiguration(Row, Store->eraOf(fleet::table_id::Configuration),
                       fleet::offer_source::Store);
  };
  Hooks.OnChange = [this, Offer](const stored_row &Row) {
    Evacuation.applyChange(Row);
    Offer(Row);
  };
  Hooks.OnRestored = [this] { Evacuation.beginRestored(); };
  Hooks.OnSnapshot = [this, Offer](const std::vector<stored_row> &Rows) {
    Evacuation.applySnapshot(Rows);
    for (const stored_row &Row : Rows)
      Offer(Row);
  };
  return Hooks;
}

void gateway::offerConfiguration(const stored_row &Row, uint64_t Era,
                                 fleet::offer_source Source) {
  if (Row.Key != Environment.ConfigurationKey || Row.Removed)
    return;
  auto Read = Environment.Decoders.Configuration(Row.Value);
  if (!Read.ok()) {
    onInvalidConfiguration(Row, Read.status());
    return;
  }
  const uint64_t Before = Routes ? Routes->version() : 0;
  const fleet::configuration_offer Offer = {
      Read->Version, common::stableHash(Row.Value), {Era, Row.Version}};
  const fleet::offer_decision Decision = Accepted.offer(Offer, Source);
  if (Decision == fleet::offer_decision::InForce)
    return;
  const bool IsAccepted = Decision == fleet::offer_decision::Accepted;
  common::log(IsAccepted ? log_level::Info : log_level::Warning, Component,
              IsAccepted ? "configuration applied"
                         : "older configuration ignored",
              {{"version", Read->Version},
               {"before", Before},
               {"store_era", Offer.Position.Era},
               {"store_version", Offer.Position.Version},
               {"from_peer", Source == fleet::offer_source::Peer ? 1 : 0},
               {"keys_required", Read->RequiresKeys ? 1 : 0},
               {"routes", Read->Routes.size()},
               {"workspaces", Read->Workspaces.size()},
               {"unreadable", Read->Unreadable.size()}});
  if (!IsAccepted)
    return;
  logValues(Read->Version, log_level::Error, "configuration value not in force",
            Read->Unreadable);
  logValues(Read->Version, log_level::Warning, "configuration value adjusted",
            Read->Adjusted);
  InvalidConfiguration.reset();
  LostConfiguration->setInForce(Row);
  Routes = routing::route_table::build(std::move(*Read), Routes);
  RoutesSince = Loop.now();
  Splits.keepOnly(Routes->configurationInForce());
  updateColdTargets();
}

void gateway::onInvalidConfiguration(const stored_row &Row,
                                     const absl::Status &Error) {
  const uint64_t Hash = common::stableHash(Row.Value);
  if (InvalidConfiguration == Hash)
    return;
  InvalidConfiguration = Hash;
  common::log(log_level::Error, Component, "invalid configuration",
              {{"detail", std::string(Error.message())},
               {"store_version", Row.Version},
               {"bytes", Row.Value.size()},
               {"in_force", Routes ? Routes->version() : 0}});
}

} // namespace magnolia::gateway
