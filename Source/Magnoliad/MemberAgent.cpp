#include "Magnoliad/MemberAgent.h"

#include <random>

#include <nlohmann/json.hpp>

#include "Platform/InstanceRow.h"

namespace magnolia::daemon {
namespace {

using common::boot_clock;
using common::boot_time;
using instance::presence;

constexpr std::string_view MessageType = "heartbeat";

/// Interval between writes of the row while nothing changes.
constexpr std::chrono::seconds RowPeriod{30};

instance::instance_info infoOf(const platform::instance_row &Row) {
  instance::instance_info Info;
  Info.Name = Row.Name;
  Info.Incarnation = Row.Incarnation;
  Info.BootId = Row.BootId;
  Info.FailureDomain = Row.FailureDomain;
  Info.CallerAddress = Row.CallerAddress;
  Info.PeerAddress = Row.PeerAddress;
  return Info;
}

uint64_t callerSeed() {
  thread_local std::mt19937_64 Random(std::random_device{}());
  return Random();
}

} // namespace

member_agent::member_agent(const settings &Settings,
                           instance::instance_info Self,
                           platform::services Services,
                           peer_messenger &Messenger, config_hooks Config)
    : Settings(Settings), Services(std::move(Services)), Messenger(Messenger),
      Config(std::move(Config)), Members(std::move(Self), {}) {
  Messenger.subscribe(
      MessageType,
      [this](const std::string &, std::string_view Body) { receive(Body); });
}

void member_agent::receive(std::string_view Body) {
  const auto Heartbeat = instance::decodeHeartbeat(Body);
  if (!Heartbeat.ok())
    return;
  if (Members.receive(*Heartbeat, boot_clock::now()))
    Messenger.setAddress(Heartbeat->Info.Name, Heartbeat->Info.PeerAddress);
}

void member_agent::heartbeat(boot_time Now) {
  const auto Heartbeat =
      Members.makeHeartbeat(Config.Version(), Config.Age(Now), Now);
  Messenger.sendAll(peers(Now), MessageType, instance::encode(Heartbeat));
}

void member_agent::updatePeerAddresses(boot_time Now) {
  for (const instance::member &Member : Members.members(Now))
    Messenger.setAddress(Member.Info.Name, Member.Info.PeerAddress);
}

void member_agent::syncTable(boot_time Now) {
  const auto Rows = platform::readInstanceRows(Services.Table);
  if (Rows.ok()) {
    std::vector<instance::instance_info> Infos;
    for (const platform::instance_row &Row : *Rows)
      Infos.push_back(infoOf(Row));
    Members.setRows(Infos, Now);
    updatePeerAddresses(Now);
  }
  const auto List = Services.Instances.Read();
  if (List.ok())
    Members.setList(*List);
  writeRow(Now);
}

void member_agent::writeRow(boot_time Now) {
  const uint64_t InForce = Config.Version();
  {
    const absl::MutexLock Lock(&Mutex);
    if (RowRemoved || (InForce == WrittenVersion && Now < NextRow))
      return;
  }
  const instance::instance_info &Self = Members.self();
  platform::instance_row Row;
  Row.Name = Self.Name;
  Row.Incarnation = Self.Incarnation;
  Row.CallerAddress = Self.CallerAddress;
  Row.PeerAddress = Self.PeerAddress;
  Row.FailureDomain = Self.FailureDomain;
  Row.BootId = Self.BootId;
  Row.Version = InForce;
  Row.Updated = common::wallNow();
  const platform::write Write{platform::instanceRowKey(Row.Name),
                              platform::encode(Row)};
  // Only this instance writes the row, so after a lost reply it is simply
  // written again.
  if (!Services.Table.Commit({}, {Write}).ok())
    return;
  const absl::MutexLock Lock(&Mutex);
  WrittenVersion = InForce;
  NextRow = Now + RowPeriod;
}

void member_agent::removeRow() {
  {
    const absl::MutexLock Lock(&Mutex);
    RowRemoved = true;
  }
  const platform::write Write{platform::instanceRowKey(Members.self().Name),
                              std::nullopt};
  // If the row remains, others remove this instance because it is silent.
  Services.Table.Commit({}, {Write}).IgnoreError();
}

std::vector<std::string> member_agent::peers(boot_time Now) const {
  std::vector<std::string> Names;
  for (const instance::member &Member : Members.members(Now))
    if (Member.Info.Name != Members.self().Name &&
        Member.Presence != presence::Gone)
      Names.push_back(Member.Info.Name);
  return Names;
}

std::vector<quota::owner_candidate>
member_agent::candidates(boot_time Now) const {
  std::vector<quota::owner_candidate> Candidates;
  for (const instance::member &Member : Members.members(Now))
    if (Member.Presence == presence::Alive)
      Candidates.push_back({Member.Info.Name, Member.Info.FailureDomain});
  return Candidates;
}

http::buffered_response
member_agent::directoryResponse(absl::Span<const std::string> Owners,
                                boot_time Now) const {
  instance::directory_query Query;
  Query.Owners = Owners;
  Query.CallerSeed = callerSeed();
  instance::directory_settings Directory;
  Directory.Ttl = Settings.Directory.Ttl;
  const std::vector<instance::member> Known = Members.members(Now);
  const auto Result = instance::queryDirectory(Known, Query, Directory);

  nlohmann::json Instances = nlohmann::json::array();
  for (const instance::directory_entry &Entry : Result.Instances)
    Instances.push_back(
        {{"address", Entry.Address}, {"failure_domain", Entry.FailureDomain}});
  const auto Ttl =
      std::chrono::duration_cast<std::chrono::milliseconds>(Result.Ttl);
  http::buffered_response Http;
  Http.Headers.push_back({"Content-Type", "application/json"});
  Http.Body =
      nlohmann::json{{"instances", Instances}, {"keep_ms", Ttl.count()}}.dump();
  return Http;
}

} // namespace magnolia::daemon
