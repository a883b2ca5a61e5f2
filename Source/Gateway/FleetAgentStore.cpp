#include <absl/container/flat_hash_set.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/strip.h>
#include <nlohmann/json.hpp>

#include "Common/Log.h"
#include "Common/StringView.h"
#include "Fleet/ReaderDecision.h"
#include "Gateway/FleetAgent.h"
#include "Net/Event/Address.h"

/// The rows that the instances keep in the store for each other.
namespace magnolia::gateway {
namespace {

using std::chrono::milliseconds;

constexpr std::chrono::milliseconds RegisterRetryDelay{500};
/// After an outage of the store, the instances that stop reading it have done
/// so within this time.
constexpr std::chrono::milliseconds ReadersSettleTime{3500};
/// Begins the keys of the rows of quarantined requests; their fingerprint
/// follows.
constexpr absl::string_view QuarantinePrefix = "quarantine/";

std::string quarantineKey(uint64_t Fingerprint) {
  return absl::StrCat(QuarantinePrefix, absl::Hex(Fingerprint));
}

int64_t wallMillis() {
  return std::chrono::duration_cast<milliseconds>(
             common::wallNow().time_since_epoch())
      .count();
}

/// The quarantine that a row holds.
struct stored_quarantine {
  uint64_t Fingerprint = 0;
  /// Unix milliseconds.
  int64_t Until = 0;
};

/// None if the row holds something else.
std::optional<stored_quarantine> quarantineFrom(const stored_row &Row) {
  absl::string_view Digits = Row.Key;
  stored_quarantine Quarantine;
  if (!absl::ConsumePrefix(&Digits, QuarantinePrefix) ||
      !absl::SimpleHexAtoi(Digits, &Quarantine.Fingerprint) ||
      !absl::SimpleAtoi(Row.Value, &Quarantine.Until))
    return std::nullopt;
  return Quarantine;
}

} // namespace

std::string encodeIdentity(const fleet::instance_identity &Identity) {
  return nlohmann::json({{"name", Identity.Name},
                         {"failure_domain", Identity.FailureDomain},
                         {"peer_address", Identity.PeerAddress},
                         {"caller_address", Identity.CallerAddress}})
      .dump();
}

absl::StatusOr<fleet::instance_identity>
decodeIdentity(std::string_view Bytes) {
  try {
    const auto Value = nlohmann::json::parse(Bytes);
    return fleet::instance_identity{
        Value.at("name").get<std::string>(),
        Value.at("failure_domain").get<std::string>(),
        Value.at("peer_address").get<std::string>(),
        Value.at("caller_address").get<std::string>()};
  } catch (const nlohmann::json::exception &Error) {
    return absl::InvalidArgumentError(Error.what());
  }
}

bool fleet_agent::isPreferredReader() const {
  return fleet::decideReader(*Peers, Settings.Identity, Settings.Readers,
                             Loop.now())
      .Preferred;
}

void fleet_agent::registerInstance() {
  Instances.Write({{Settings.Identity.Name, encodeIdentity(Settings.Identity)}},
                  [this](const store_reply &Reply) {
                    if (Reply.Result == store_result::Done) {
                      Registered = true;
                      readInstances();
                      return;
                    }
                    // This instance can discover others before it is
                    // registered.
                    if (!InstancesRead)
                      readInstances();
                    Loop.callAfter(RegisterRetryDelay,
                                   [this] { registerInstance(); });
                  });
}

void fleet_agent::readInstances() {
  Instances.Read("", [this](const store_reply &Reply) {
    if (Reply.Result != store_result::Done) {
      if (!InstancesRead)
        Loop.callAfter(RegisterRetryDelay, [this] { readInstances(); });
      return;
    }
    InstancesRead = true;
    restoreQuarantines(Reply.Rows);
    for (const stored_row &Row : Reply.Rows) {
      const auto Identity = decodeIdentity(Row.Value);
      if (!Identity.ok() || Identity->Name == Settings.Identity.Name)
        continue;
      Peers->addRegistered(*Identity);
      const auto Address = event::parseAddress(Identity->PeerAddress);
      if (Address.ok())
        sendHello(*Address, true);
    }
  });
}

void fleet_agent::restoreRegistrations() {
  if (isPreferredReader()) {
    writeMissingRegistrations();
    return;
  }
  Loop.callAfter(ReadersSettleTime, [this] {
    if (Hooks.IsReading())
      writeMissingRegistrations();
  });
}

void fleet_agent::writeMissingRegistrations() {
  const auto Retry = [this] {
    Loop.callAfter(RegisterRetryDelay, [this] { writeMissingRegistrations(); });
  };
  Instances.Read("", [this, Retry](const store_reply &Reply) {
    if (Reply.Result != store_result::Done) {
      Retry();
      return;
    }
    const std::vector<row_write> Missing = missingRegistrations(Reply.Rows);
    if (Missing.empty())
      return;
    common::log(common::log_level::Info, "Fleet", "registrations written again",
                {{"count", Missing.size()}, {"era", Reply.Era.value_or(0)}});
    Instances.Write(Missing, [Retry](const store_reply &Written) {
      if (Written.Result != store_result::Done)
        Retry();
    });
  });
}

std::vector<row_write>
fleet_agent::missingRegistrations(absl::Span<const stored_row> Rows) const {
  absl::flat_hash_set<std::string> Present;
  for (const stored_row &Row : Rows)
    Present.insert(Row.Key);
  std::vector<row_write> Missing;
  const auto Check = [&](const fleet::instance_identity &Identity) {
    if (!Present.contains(Identity.Name) && Missing.size() < MaxWrittenRows)
      Missing.push_back({Identity.Name, encodeIdentity(Identity)});
  };
  Check(Settings.Identity);
  for (const auto &[Name, Peer] : Peers->peers())
    if (Peers->isReachable(Peer, Loop.now()))
      Check(Peer.Identity);
  return Missing;
}

void fleet_agent::storeQuarantine(uint64_t Fingerprint) {
  const boot_time Now = Loop.now();
  const auto Until = Quarantine.quarantinedUntil(Fingerprint, Now);
  if (!Until)
    return;
  const auto Left = std::chrono::duration_cast<milliseconds>(*Until - Now);
  Instances.Write(
      {{quarantineKey(Fingerprint), absl::StrCat(wallMillis() + Left.count())}},
      [this, Fingerprint](const store_reply &Reply) {
        if (Reply.Result != store_result::Done)
          Loop.callAfter(RegisterRetryDelay,
                         [this, Fingerprint] { storeQuarantine(Fingerprint); });
      });
}

void fleet_agent::removeStoredQuarantines(std::vector<row_write> Rows) {
  if (Rows.empty())
    return;
  Rows.resize(std::min(Rows.size(), MaxWrittenRows));
  // Rows that stay are removed when the rows are read again.
  Instances.Write(Rows, [](const store_reply &) {});
}

void fleet_agent::completeQuarantine(uint64_t Fingerprint) {
  if (Quarantine.recordCompleted(Fingerprint, Loop.now()))
    removeStoredQuarantines({{quarantineKey(Fingerprint), std::nullopt}});
}

void fleet_agent::restoreQuarantines(absl::Span<const stored_row> Rows) {
  const int64_t Now = wallMillis();
  std::vector<row_write> Ended;
  for (const stored_row &Row : Rows) {
    const auto Stored = quarantineFrom(Row);
    if (!Stored)
      continue;
    if (Stored->Until <= Now)
      Ended.push_back({Row.Key, std::nullopt});
    else
      Quarantine.restore(Stored->Fingerprint,
                         Loop.now() + milliseconds(Stored->Until - Now),
                         Loop.now());
  }
  if (isPreferredReader())
    removeStoredQuarantines(std::move(Ended));
}

} // namespace magnolia::gateway
