#include "Instance/Membership.h"

#include <algorithm>
#include <array>

#include <absl/container/flat_hash_set.h>

namespace magnolia::instance {
namespace {

constexpr std::array<std::string_view, static_cast<size_t>(presence::Count)>
    PresenceNames = {"alive", "suspect", "leaving", "gone"};

} // namespace

std::string_view nameOf(presence Presence) {
  return PresenceNames[static_cast<size_t>(Presence)];
}

membership::membership(instance_info Self, membership_settings Settings)
    : Self(std::move(Self)), Settings(Settings),
      Links(this->Self.Name, Settings.SuspectAfter) {}

membership::record *membership::introduce(const instance_info &Info,
                                          boot_time Now) {
  const auto [Found, Added] = Records.try_emplace(Info.Name);
  record &Record = Found->second;
  if (!Added && Info.Incarnation < Record.Info.Incarnation)
    return nullptr;
  if (Added || Info.Incarnation > Record.Info.Incarnation) {
    // What is known of the previous process does not apply to this one.
    Record = record();
    Record.IntroducedAt = Now;
    Links.remove(Info.Name);
  }
  Record.Info = Info;
  return &Record;
}

void membership::setRows(absl::Span<const instance_info> Rows, boot_time Now) {
  const absl::MutexLock Lock(&Mutex);
  for (auto &[Name, Record] : Records)
    Record.HasRow = false;
  for (const instance_info &Row : Rows) {
    if (Row.Name == Self.Name)
      continue;
    if (record *Record = introduce(Row, Now))
      Record->HasRow = true;
  }
  removeGone(Now);
}

void membership::setList(absl::Span<const platform::listed_instance> List) {
  const absl::MutexLock Lock(&Mutex);
  for (const platform::listed_instance &Listed : List) {
    const auto Found = Records.find(Listed.Name);
    if (Found != Records.end())
      Found->second.ListedDraining = Listed.Draining;
  }
}

bool membership::receive(const heartbeat &Heartbeat, boot_time Now) {
  const absl::MutexLock Lock(&Mutex);
  if (Heartbeat.Info.Name == Self.Name)
    return false;
  record *Record = introduce(Heartbeat.Info, Now);
  if (Record == nullptr)
    return false;
  // Draining is final: a late heartbeat does not revert it.
  Record->Draining |= Heartbeat.Draining;
  Record->LastHeartbeat = Now;
  if (Heartbeat.ConfigurationVersion >= Record->ConfigurationVersion) {
    Record->ConfigurationVersion = Heartbeat.ConfigurationVersion;
    Record->ConfigurationAge = Heartbeat.ConfigurationAge;
  }
  Links.recordHeartbeat(Heartbeat.Info.Name, Heartbeat.Info.FailureDomain,
                        Heartbeat.Received, Now);
  for (const auto &[Name, Incarnation] : Heartbeat.KnownDraining) {
    if (Name == Self.Name) {
      Record->KnowsSelfDraining |= Incarnation == Self.Incarnation;
      continue;
    }
    const auto Found = Records.find(Name);
    if (Found != Records.end() && Found->second.Info.Incarnation == Incarnation)
      Found->second.Draining = true;
  }
  return true;
}

heartbeat membership::makeHeartbeat(uint64_t ConfigurationVersion,
                                    duration ConfigurationAge,
                                    boot_time Now) const {
  const absl::MutexLock Lock(&Mutex);
  heartbeat Heartbeat;
  Heartbeat.Info = Self;
  Heartbeat.Draining = SelfDraining;
  Heartbeat.ConfigurationVersion = ConfigurationVersion;
  Heartbeat.ConfigurationAge = ConfigurationAge;
  Heartbeat.Received = Links.receivedHeartbeats(Now);
  for (const auto &[Name, Record] : Records)
    if (Record.Draining)
      Heartbeat.KnownDraining.emplace_back(Name, Record.Info.Incarnation);
  return Heartbeat;
}

void membership::startDraining() {
  const absl::MutexLock Lock(&Mutex);
  SelfDraining = true;
}

bool membership::drainingKnownToAll(boot_time Now) const {
  const absl::MutexLock Lock(&Mutex);
  return SelfDraining &&
         std::all_of(Records.begin(), Records.end(), [&](const auto &Item) {
           const record &Record = Item.second;
           return Record.KnowsSelfDraining ||
                  presenceOf(Record, Now) == presence::Gone;
         });
}

presence membership::presenceOf(const record &Record, boot_time Now) const {
  const boot_time LastSeen =
      std::max(Record.IntroducedAt, Links.lastReceived(Record.Info.Name));
  const duration Silence = Now - LastSeen;
  if (Silence > Settings.GoneAfter)
    return presence::Gone;
  const bool SentRecently = Record.LastHeartbeat != boot_time() &&
                            Now - Record.LastHeartbeat <= Settings.SuspectAfter;
  if (Record.Draining || (Record.ListedDraining && !SentRecently))
    return presence::Draining;
  return Silence > Settings.SuspectAfter ? presence::Suspect : presence::Alive;
}

void membership::removeGone(boot_time Now) {
  std::vector<std::string> Gone;
  for (const auto &[Name, Record] : Records)
    if (!Record.HasRow && presenceOf(Record, Now) == presence::Gone)
      Gone.push_back(Name);
  for (const std::string &Name : Gone) {
    Links.remove(Name);
    Records.erase(Name);
  }
}

std::vector<member> membership::members(boot_time Now) const {
  const absl::MutexLock Lock(&Mutex);
  std::vector<member> Members;
  Members.push_back({Self, SelfDraining ? presence::Draining : presence::Alive,
                     link::link_state::TwoWay, 0, duration(0)});
  for (const auto &[Name, Record] : Records) {
    const duration SinceHeartbeat = Record.LastHeartbeat == boot_time()
                                        ? duration(0)
                                        : Now - Record.LastHeartbeat;
    Members.push_back({Record.Info, presenceOf(Record, Now),
                       Links.stateOf(Name, Now), Record.ConfigurationVersion,
                       Record.ConfigurationAge + SinceHeartbeat});
  }
  std::sort(Members.begin(), Members.end(),
            [](const member &A, const member &B) {
              return A.Info.Name < B.Info.Name;
            });
  return Members;
}

std::map<std::string, link::domain_links>
membership::linksByDomain(boot_time Now) const {
  const absl::MutexLock Lock(&Mutex);
  return Links.byDomain(Now);
}

} // namespace magnolia::instance
