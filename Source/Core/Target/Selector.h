#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <absl/types/span.h>

#include "Common/ShardedMap.h"
#include "Contract/Manifest.h"
#include "Target/ServiceState.h"

namespace magnolia::target {

/// Selects the target for each attempt and records how attempts end.
/// Thread-safe; each service has its own lock.
class target_selector {
public:
  /// Returns a random number for each choice.
  using random_hook = std::function<uint64_t()>;
  /// Time until which this instance's decisions on ejections of a service may
  /// be in force.
  using lease_hook = std::function<boot_time(std::string_view Service)>;

  target_selector(identity Self, const settings &Settings);
  /// For tests, with a seeded \p Random.
  target_selector(identity Self, const settings &Settings, random_hook Random);

  /// Applies the services of a newer configuration and keeps the state of
  /// targets that remain. A removed service gets no new attempts.
  void setServices(absl::Span<const contract::service> Services);

  /// Selects the target for one attempt and occupies one of its slots; empty if
  /// no target of \p Service has a free slot. \p Excluded names the targets of
  /// the request's earlier attempts.
  std::optional<choice> choose(std::string_view Service,
                               absl::Span<const std::string> Excluded,
                               boot_time Now);

  /// Records the end of an attempt. Call exactly one of finish() and cancel()
  /// for each choice.
  void finish(const choice &Choice, const observation &Observation,
              boot_time Now);

  /// Records that an attempt was cancelled because its caller disconnected or a
  /// hedge was faster; this is no evidence of a fault.
  void cancel(const choice &Choice, boot_time Now);

  /// Applies a target's response to a probe that was sent at \p SentAt.
  void reportDrain(std::string_view Service, std::string_view Target,
                   const drain_report &Report, boot_time SentAt, boot_time Now);

  /// Drained targets that should be probed now for their return. Their attempt
  /// number is zero and they occupy no slot.
  std::vector<choice> probesDue(boot_time Now);

  /// Evaluates all targets, also those of services without traffic. Call about
  /// once per evaluation period.
  void tick(boot_time Now);

  /// Decides on ejections for the services whose floor lease this instance
  /// holds. The next digest publishes them.
  void decideEjections(const lease_hook &HeldUntil, boot_time Now);

  /// Builds the digest that this instance sends to its peers.
  digest makeDigest(boot_time Now);

  /// Applies a peer's digest. False if it is not newer than the peer's last one
  /// or is this instance's own.
  bool receive(const digest &Digest, boot_time Now);

  /// The state of all targets, for metrics and status.
  std::vector<target_status> snapshot(boot_time Now);

private:
  struct guarded_service {
    guarded_service(const contract::service &Config, const identity &Self,
                    const settings &Settings)
        : State(Config, Self, Settings) {}

    absl::Mutex Mutex;
    service_state State ABSL_GUARDED_BY(Mutex);
  };
  using service_ptr = std::shared_ptr<guarded_service>;

  struct peer {
    digest_echo Echo;
    boot_time ReceivedAt;
  };

  struct published_list {
    ejection_list List;
    boot_time Until;
  };

  service_ptr find(std::string_view Service);
  std::vector<service_ptr> all();
  template <typename Function> void forEach(Function &&Fn);
  void applyReports(const digest &Digest, boot_time Now);
  void applyEjectionLists(const digest &Digest, boot_time Now);
  /// Whether \p Digest is newer than the last one of its sender; if so, its
  /// stamp is recorded.
  bool acceptStamp(const digest &Digest, boot_time Now);
  void forgetSilentPeers(boot_time Now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);

  const identity Self;
  const settings Settings;
  const random_hook Random;
  common::sharded_map<std::string, service_ptr> Services;
  absl::Mutex Mutex;
  absl::flat_hash_map<std::string, peer> Peers ABSL_GUARDED_BY(Mutex);
  std::vector<published_list> Published ABSL_GUARDED_BY(Mutex);
};

} // namespace magnolia::target
