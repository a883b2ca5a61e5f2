#include "Magnoliad/QueueAgent.h"

#include <cmath>

#include <absl/time/time.h>

#include "Common/ErrorKind.h"

namespace magnolia::daemon {
namespace {

using common::boot_clock;
using common::boot_time;

/// Decision of the queue about one waiting request.
class pending_decision {
public:
  void set(const absl::Status &Status) {
    const absl::MutexLock Lock(&Mutex);
    Decision = Status;
  }

  /// Blocks until \p Deadline; absent if there is no decision by then.
  std::optional<absl::Status> await(boot_time Deadline) {
    const absl::MutexLock Lock(&Mutex);
    Mutex.AwaitWithTimeout(absl::Condition(this, &pending_decision::isSet),
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

bool acceptsRequests(target::health_state Health) {
  return Health != target::health_state::Ejected &&
         Health != target::health_state::Draining;
}

} // namespace

queue_slot::~queue_slot() {
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

absl::StatusOr<queue_slot_ptr> queue_agent::await(std::string_view Service,
                                                  std::string_view Workspace,
                                                  boot_time Deadline) {
  const service_ptr ServiceQueue = find(Service);
  if (!ServiceQueue)
    return common::makeError(common::error_kind::NoTargetAvailable,
                             "the service has no queue yet");
  const auto Pending = std::make_shared<pending_decision>();
  admission::admission_request Request;
  Request.Workspace = Workspace;
  Request.Weight = weightOf(Workspace);
  Request.Deadline = Deadline;
  const auto Ticket = ServiceQueue->Queue.submit(
      Request, boot_clock::now(),
      [Pending](admission::ticket, const absl::Status &Decision) {
        Pending->set(Decision);
      });
  if (!Ticket.ok())
    return Ticket.status();
  auto Decision = Pending->await(Deadline);
  if (!Decision && ServiceQueue->Queue.cancel(*Ticket, boot_clock::now()))
    return common::makeError(common::error_kind::QueueDeadlineExceeded,
                             "no slot became free before the deadline");
  // The queue is deciding while the deadline passes.
  if (!Decision)
    Decision = Pending->await(boot_time::max());
  if (!Decision->ok())
    return *Decision;
  return std::make_shared<queue_slot>(ServiceQueue, *Ticket);
}

double queue_agent::weightOf(std::string_view Workspace) const {
  contract::snapshot_ptr Current;
  {
    const absl::MutexLock Lock(&Mutex);
    Current = Snapshot;
  }
  const contract::workspace *Found =
      Current ? Current->findWorkspace(Workspace) : nullptr;
  // A compromise between equal weights, which limit large workspaces first, and
  // weights by rate, which delay small ones: see docs/matters/FAIRNESS.md.
  return Found ? std::sqrt(Found->Rate) : 1;
}

void queue_agent::setConfiguration(const contract::snapshot_ptr &NewSnapshot) {
  const absl::MutexLock Lock(&Mutex);
  Snapshot = NewSnapshot;
  absl::flat_hash_map<std::string, service_ptr> Next;
  for (const contract::service &Service :
       Snapshot->content().Manifest.Services) {
    service_ptr &Queue = Next[Service.Name];
    const auto Found = Services.find(Service.Name);
    if (Found == Services.end()) {
      Queue = std::make_shared<service_queue>(optionsOf(Service));
      continue;
    }
    Queue = Found->second;
    Queue->Queue.configure(optionsOf(Service));
  }
  Services = std::move(Next);
}

void queue_agent::setTargets(const std::vector<target::target_status> &Targets,
                             uint32_t InstanceCount) {
  absl::flat_hash_map<std::string, std::vector<admission::target_slots>>
      UsableTargets;
  for (const target::target_status &Target : Targets)
    if (acceptsRequests(Target.Health))
      UsableTargets[Target.Service].push_back({Target.Target, Target.Slots});
  for (const auto &[Name, Service] : all())
    Service->Limits.setTargets(UsableTargets[Name],
                               std::max(1U, InstanceCount));
}

void queue_agent::advance(boot_time Now) {
  for (const auto &[Name, Service] : all())
    Service->Queue.advance(Now);
}

bool queue_agent::hasWaiting(std::string_view Service) const {
  const service_ptr ServiceQueue = find(Service);
  return ServiceQueue && ServiceQueue->Queue.counters().Waiting > 0;
}

std::vector<std::pair<std::string, admission::fair_queue_counters>>
queue_agent::counters() const {
  std::vector<std::pair<std::string, admission::fair_queue_counters>> Counters;
  for (const auto &[Name, Service] : all())
    Counters.emplace_back(Name, Service->Queue.counters());
  return Counters;
}

} // namespace magnolia::daemon
