#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/status/statusor.h>
#include <absl/synchronization/mutex.h>

#include "Admission/ConcurrencyLimits.h"
#include "Admission/FairQueue.h"
#include "Contract/Snapshot.h"
#include "Target/Selector.h"

namespace magnolia::daemon {

/// Fair queue and concurrency limits of one service in this instance.
struct service_queue {
  service_queue(const admission::fair_queue_options &Options)
      : Limits(admission::additiveIncreaseRule()),
        Queue(Options, [this] { return Limits.capacity(); }) {}

  admission::concurrency_limits Limits;
  admission::fair_queue Queue;
};

/// A slot for one request at a target; released on destruction.
class queue_slot {
public:
  queue_slot(std::shared_ptr<service_queue> Service, admission::ticket Ticket)
      : Service(std::move(Service)), Ticket(Ticket) {}
  ~queue_slot();
  queue_slot(const queue_slot &) = delete;
  queue_slot &operator=(const queue_slot &) = delete;

  /// Records that the target refused or failed, so that the workspace is
  /// charged no more than the usual slot time.
  void markFailed() { Use = admission::slot_use::Failed; }

  admission::concurrency_limits &limits() { return Service->Limits; }

private:
  const std::shared_ptr<service_queue> Service;
  const admission::ticket Ticket;
  admission::slot_use Use = admission::slot_use::Completed;
};

using queue_slot_ptr = std::shared_ptr<queue_slot>;

/// The fair queues of all services. Thread-safe.
class queue_agent {
public:
  /// Waits for a slot; fails with QueueFull, QueueDeadlineExceeded or
  /// NoTargetAvailable.
  absl::StatusOr<queue_slot_ptr> await(std::string_view Service,
                                       std::string_view Workspace,
                                       common::boot_time Deadline);

  void setConfiguration(const contract::snapshot_ptr &Snapshot);

  /// Sets the targets of the limits; \p InstanceCount instances share their
  /// slots.
  void setTargets(const std::vector<target::target_status> &Targets,
                  uint32_t InstanceCount);

  /// Rejects requests that are past their deadline; call every few
  /// milliseconds.
  void advance(common::boot_time Now);

  /// Whether a request waits for a slot of \p Service.
  bool hasWaiting(std::string_view Service) const;

  /// Waiting and running requests, by service.
  std::vector<std::pair<std::string, admission::fair_queue_counters>>
  counters() const;

private:
  using service_ptr = std::shared_ptr<service_queue>;

  service_ptr find(std::string_view Service) const;
  std::vector<std::pair<std::string, service_ptr>> all() const;

  double weightOf(std::string_view Workspace) const;

  mutable absl::Mutex Mutex;
  absl::flat_hash_map<std::string, service_ptr> Services ABSL_GUARDED_BY(Mutex);
  /// Provides the rates of workspaces, which set their weights.
  contract::snapshot_ptr Snapshot ABSL_GUARDED_BY(Mutex);
};

} // namespace magnolia::daemon
