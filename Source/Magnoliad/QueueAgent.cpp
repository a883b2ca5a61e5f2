#include "Magnoliad/QueueAgent.h"

#include <cmath>

#include <absl/time/time.h>

#include "Common/ErrorKind.h"

namespace magnolia::daemon {
namespace {

using common::boot_clock;
using common::boot_time;

/// What the queue decided about one waiting request.
class decision_slot {
public:
  void set(const absl::Status &Status) {
    const absl::MutexLock Lock(&Mutex);
    Decision = Status;
  }

  /// The decision, absent if none came by \p Deadline.
  std::optional<absl::Status> await(boot_time Deadline) {
    const absl::MutexLock Lock(&Mutex);
    Mutex.AwaitWithTimeout(absl::Condition(this, &decision_slot::isSet),
                           absl::FromChrono(Deadline - boot_clock::now()));
    return Decision;
  }

private:
  bool isSet() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex) {
    return Decision.has_value();
  }

  absl::Mutex Mutex;
  std::optional<absl::Status> Decision ABSL_GUARDED_BY(Mutex);
};

admission::fair_queue_options optionsOf(const contract::service &Service) {
  admission::fair_queue_options Options;
  Options.QueueLimit = Service.QueueLimit;
  Options.WorkspaceLimit = std::max<size_t>(1, Service.QueueLimit / 2);
  return Options;
}

bool isUsable(target::health_state Health) {
  return Health != target::health_state::Ejected &&
         Health != target::health_state::Draining;
}

} // namespace

queue_turn::~queue_turn() {
  Service->Queue.release(Ticket, Use, boot_clock::now());
}

queue_agent::service_ptr queue_agent::find(std::string_view Service) const {
  const absl::MutexLock Lock(&Mutex);
  const auto Found = Services.find(std::string(Service));
  return Found == Services.end() ? nullptr : Found->second;
}

std::vector<std::pair<std::string, queue_agent::service_ptr>>
queue_agent::all() const {
  const absl::MutexLock Lock(&Mutex);
  return {Services.begin(), Services.end()};
}

absl::StatusOr<queue_turn_ptr> queue_agent::await(std::string_view Service,
                                                  std::string_view Workspace,
                                                  boot_time Deadline) {
  const service_ptr Live = find(Service);
  if (!Live)
    return common::makeError(common::error_kind::NoTargetAvailable,
                             "the service has no queue yet");
  const auto Slot = std::make_shared<decision_slot>();
  admission::admission_request Request;
  Request.Workspace = Workspace;
  Request.Weight = weightOf(Workspace);
  Request.Deadline = Deadline;
  const auto Ticket = Live->Queue.submit(
      Request, boot_clock::now(),
      [Slot](admission::ticket, const absl::Status &Decision) {
        Slot->set(Decision);
      });
  if (!Ticket.ok())
    return Ticket.status();
  auto Decision = Slot->await(Deadline);
  if (!Decision && Live->Queue.cancel(*Ticket, boot_clock::now()))
    return common::makeError(common::error_kind::QueueDeadlineExceeded,
                             "no slot became free before the deadline");
  // The decision came while the deadline passed.
  if (!Decision)
    Decision = Slot->await(boot_time::max());
  if (!Decision->ok())
    return *Decision;
  return std::make_shared<queue_turn>(Live, *Ticket);
}

double queue_agent::weightOf(std::string_view Workspace) const {
  contract::snapshot_ptr Live;
  {
    const absl::MutexLock Lock(&Mutex);
    Live = Snapshot;
  }
  const contract::workspace *Found =
      Live ? Live->findWorkspace(Workspace) : nullptr;
  // Between equal weights, which cut large workspaces first, and weights by
  // rate, which delay small ones: see docs/matters/FAIRNESS.md.
  return Found ? std::sqrt(Found->Rate) : 1;
}

void queue_agent::setConfiguration(const contract::snapshot_ptr &Newer) {
  const absl::MutexLock Lock(&Mutex);
  Snapshot = Newer;
  absl::flat_hash_map<std::string, service_ptr> Next;
  for (const contract::service &Service :
       Snapshot->content().Manifest.Services) {
    service_ptr &Slot = Next[Service.Name];
    const auto Found = Services.find(Service.Name);
    if (Found == Services.end()) {
      Slot = std::make_shared<service_queue>(optionsOf(Service));
      continue;
    }
    Slot = Found->second;
    Slot->Queue.configure(optionsOf(Service));
  }
  Services = std::move(Next);
}

void queue_agent::setTargets(const std::vector<target::target_status> &Targets,
                             uint32_t Sharers) {
  absl::flat_hash_map<std::string, std::vector<admission::target_slots>> Usable;
  for (const target::target_status &Target : Targets)
    if (isUsable(Target.Health))
      Usable[Target.Service].push_back({Target.Target, Target.Slots});
  for (const auto &[Name, Service] : all())
    Service->Limits.setTargets(Usable[Name], std::max(1U, Sharers));
}

void queue_agent::advance(boot_time Now) {
  for (const auto &[Name, Service] : all())
    Service->Queue.advance(Now);
}

bool queue_agent::hasWaiting(std::string_view Service) const {
  const service_ptr Live = find(Service);
  return Live && Live->Queue.counters().Waiting > 0;
}

std::vector<std::pair<std::string, admission::fair_queue_counters>>
queue_agent::counters() const {
  std::vector<std::pair<std::string, admission::fair_queue_counters>> Counters;
  for (const auto &[Name, Service] : all())
    Counters.emplace_back(Name, Service->Queue.counters());
  return Counters;
}

} // namespace magnolia::daemon
