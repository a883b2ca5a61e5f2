#include "Target/Selector.h"

#include <algorithm>
#include <map>
#include <tuple>

#include <absl/container/flat_hash_set.h>
#include <absl/random/random.h>

#include "Common/StringView.h"

namespace magnolia::target {
namespace {

/// A receiver shortens a term by one part in DriftDivisor, which covers the
/// drift between its boot clock and the sender's.
constexpr int64_t DriftDivisor = 100;

/// Time after which a silent peer is removed; it may have been replaced under
/// another name.
constexpr duration ForgetPeerAfter = std::chrono::minutes(1);

uint64_t randomNumber() {
  thread_local absl::InsecureBitGen Generator;
  return Generator();
}

/// Whether peers need \p A more urgently than \p B.
bool moreUrgent(const target_report &A, const target_report &B) {
  const auto Rank = [](const target_report &Report) {
    return std::make_tuple(Report.Drain.Draining, Report.Evidence.Faults,
                           Report.Evidence.Weight);
  };
  return Rank(A) > Rank(B);
}

} // namespace

target_selector::target_selector(identity Self, const settings &Settings)
    : target_selector(std::move(Self), Settings, randomNumber) {}

target_selector::target_selector(identity Self, const settings &Settings,
                                 random_hook Random)
    : Self(std::move(Self)), Settings(Settings), Random(std::move(Random)) {}

void target_selector::setServices(
    absl::Span<const contract::service> NewServices) {
  absl::flat_hash_set<std::string_view> Names;
  for (const contract::service &Config : NewServices) {
    Names.insert(Config.Name);
    if (const service_ptr Known = find(Config.Name)) {
      const absl::MutexLock Lock(&Known->Mutex);
      Known->State.reconfigure(Config);
      continue;
    }
    auto Added = std::make_shared<guarded_service>(Config, Self, Settings);
    Services.withShardOf(
        Config.Name, [&](auto &Map) { Map[Config.Name] = std::move(Added); });
  }
  Services.forEachShard([&](auto &Map) {
    absl::erase_if(
        Map, [&](const auto &Item) { return !Names.contains(Item.first); });
  });
}

target_selector::service_ptr target_selector::find(std::string_view Service) {
  return Services.withShardOf(
      common::toAbsl(Service), [&](auto &Map) -> service_ptr {
        const auto Found = Map.find(common::toAbsl(Service));
        return Found == Map.end() ? nullptr : Found->second;
      });
}

std::vector<target_selector::service_ptr> target_selector::all() {
  std::vector<service_ptr> All;
  Services.forEachShard([&](auto &Map) {
    for (const auto &[Name, Service] : Map)
      All.push_back(Service);
  });
  return All;
}

template <typename Function> void target_selector::forEach(Function &&Fn) {
  for (const service_ptr &Service : all()) {
    const absl::MutexLock Lock(&Service->Mutex);
    Fn(Service->State);
  }
}

std::optional<choice>
target_selector::choose(std::string_view ServiceName,
                        absl::Span<const std::string> Excluded, boot_time Now) {
  const service_ptr Service = find(ServiceName);
  if (Service == nullptr)
    return std::nullopt;
  const uint64_t Number = Random();
  const absl::MutexLock Lock(&Service->Mutex);
  return Service->State.choose(Excluded, Number, Now);
}

void target_selector::finish(const choice &Choice,
                             const observation &Observation, boot_time Now) {
  const service_ptr Service = find(Choice.Service);
  if (Service == nullptr)
    return;
  const absl::MutexLock Lock(&Service->Mutex);
  Service->State.finish(Choice, Observation, Now);
}

void target_selector::cancel(const choice &Choice, boot_time Now) {
  const service_ptr Service = find(Choice.Service);
  if (Service == nullptr)
    return;
  const absl::MutexLock Lock(&Service->Mutex);
  Service->State.cancel(Choice, Now);
}

void target_selector::reportDrain(std::string_view ServiceName,
                                  std::string_view Target,
                                  const drain_report &Report, boot_time SentAt,
                                  boot_time Now) {
  const service_ptr Service = find(ServiceName);
  if (Service == nullptr)
    return;
  const absl::MutexLock Lock(&Service->Mutex);
  Service->State.reportDrain(Target, Report, SentAt, Now);
}

std::vector<choice> target_selector::probesDue(boot_time Now) {
  std::vector<choice> Probes;
  forEach([&](service_state &State) { State.appendProbes(Probes, Now); });
  return Probes;
}

void target_selector::tick(boot_time Now) {
  forEach([&](service_state &State) { State.evaluate(Now); });
}

void target_selector::decideEjections(const lease_hook &HeldUntil,
                                      boot_time Now) {
  std::vector<published_list> Lists;
  forEach([&](service_state &State) {
    const duration Term =
        std::min(Settings.EjectionTerm, HeldUntil(State.name()) - Now);
    if (Term <= duration::zero())
      return;
    std::vector<std::string> Targets = State.decide(Term, Now);
    if (!Targets.empty())
      Lists.push_back({{State.name(), Term, std::move(Targets)}, Now + Term});
  });
  const absl::MutexLock Lock(&Mutex);
  Published = std::move(Lists);
}

digest target_selector::makeDigest(boot_time Now) {
  digest Digest{
      Self.Instance, Self.Incarnation, Self.FailureDomain, Now, {}, {}, {}};
  forEach([&](const service_state &State) {
    State.appendReports(Digest.Reports, Now);
  });
  if (Digest.Reports.size() > Settings.MaxReportsPerDigest) {
    const auto Limit = Digest.Reports.begin() + Settings.MaxReportsPerDigest;
    std::nth_element(Digest.Reports.begin(), Limit, Digest.Reports.end(),
                     moreUrgent);
    Digest.Reports.erase(Limit, Digest.Reports.end());
  }
  const absl::MutexLock Lock(&Mutex);
  for (const auto &[Instance, Peer] : Peers)
    Digest.Echoes.push_back(Peer.Echo);
  for (const published_list &Each : Published) {
    if (Each.Until <= Now)
      continue;
    Digest.Ejections.push_back(Each.List);
    Digest.Ejections.back().Term = Each.Until - Now;
  }
  return Digest;
}

void target_selector::forgetSilentPeers(boot_time Now) {
  absl::erase_if(Peers, [&](const auto &Item) {
    return Now - Item.second.ReceivedAt > ForgetPeerAfter;
  });
}

bool target_selector::acceptStamp(const digest &Digest, boot_time Now) {
  const absl::MutexLock Lock(&Mutex);
  if (!Peers.contains(Digest.Instance))
    forgetSilentPeers(Now);
  peer &Peer = Peers[Digest.Instance];
  digest_echo &Last = Peer.Echo;
  if (!Last.Instance.empty() && std::tie(Digest.Incarnation, Digest.Stamp) <=
                                    std::tie(Last.Incarnation, Last.Stamp))
    return false;
  Last = {Digest.Instance, Digest.Incarnation, Digest.Stamp};
  Peer.ReceivedAt = Now;
  return true;
}

bool target_selector::receive(const digest &Digest, boot_time Now) {
  if (Digest.Instance == Self.Instance || !acceptStamp(Digest, Now))
    return false;
  applyReports(Digest, Now);
  applyEjectionLists(Digest, Now);
  return true;
}

void target_selector::applyReports(const digest &Digest, boot_time Now) {
  std::map<std::string_view, std::vector<const target_report *>> ByService;
  for (const target_report &Report : Digest.Reports)
    ByService[Report.Service].push_back(&Report);
  for (const auto &[Name, Reports] : ByService) {
    const service_ptr Service = find(Name);
    if (Service == nullptr)
      continue;
    const absl::MutexLock Lock(&Service->Mutex);
    Service->State.beginReport(Digest, Now);
    for (const target_report *Report : Reports)
      Service->State.addReport(Digest.Instance, *Report, Now);
  }
}

void target_selector::applyEjectionLists(const digest &Digest, boot_time Now) {
  const auto Echo = std::find_if(Digest.Echoes.begin(), Digest.Echoes.end(),
                                 [&](const digest_echo &Each) {
                                   return Each.Instance == Self.Instance &&
                                          Each.Incarnation == Self.Incarnation;
                                 });
  // Without an echo the digest's age is unknown, and so is the end of its term.
  if (Echo == Digest.Echoes.end())
    return;
  for (const ejection_list &List : Digest.Ejections) {
    const service_ptr Service = find(List.Service);
    if (Service == nullptr)
      continue;
    const boot_time Until = Echo->Stamp + List.Term - List.Term / DriftDivisor;
    const absl::MutexLock Lock(&Service->Mutex);
    Service->State.setEjections(List.Targets, Until, Now);
  }
}

std::vector<target_status> target_selector::snapshot(boot_time Now) {
  std::vector<target_status> Status;
  forEach([&](service_state &State) {
    State.evaluate(Now);
    State.appendStatus(Status, Now);
  });
  return Status;
}

} // namespace magnolia::target
