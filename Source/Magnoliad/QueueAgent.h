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

/// The queue and the limits of one service in this instance.
struct service_queue {
  service_queue(const admission::fair_queue_options &Options)
      : Limits(admission::additiveIncreaseRule()),
        Queue(Options, [this] { return Limits.capacity(); }) {}

  admission::concurrency_limits Limits;
  admission::fair_queue Queue;
};

/// The right to have one request at a target; given back when destroyed.
class queue_slot {
public:
  queue_slot(std::shared_ptr<service_queue> Service, admission::ticket Ticket)
      : Service(std::move(Service)), Ticket(Ticket) {}
  ~queue_slot();
  queue_slot(const queue_slot &) = delete;
  queue_slot &operator=(const queue_slot &) = delete;

  /// The target refused or failed: the workspace pays no more than usual.
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
  /// Waits for the workspace's turn; fails with QueueFull or
  /// QueueDeadlineExceeded.
  absl::StatusOr<queue_slot_ptr> await(std::string_view Service,
                                       std::string_view Workspace,
                                       common::boot_time Deadline);

  void setConfiguration(const contract::snapshot_ptr &Snapshot);

  /// Tells the limits which targets are usable; \p InstanceCount instances
  /// share them.
  void setTargets(const std::vector<target::target_status> &Targets,
                  uint32_t InstanceCount);

  /// Refuses what is too late; call every few milliseconds.
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
  /// Whose workspaces give the weights.
  contract::snapshot_ptr Snapshot ABSL_GUARDED_BY(Mutex);
};

} // namespace magnolia::daemon
