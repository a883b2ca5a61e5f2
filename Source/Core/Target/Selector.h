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

/// Chooses the target for each attempt and learns from how attempts end.
/// Thread-safe; each service has its own lock.
class target_selector {
public:
  /// Draws a random number for each choice.
  using random_hook = std::function<uint64_t()>;
  /// Until when this instance may decide on ejections of a service.
  using lease_hook = std::function<boot_time(std::string_view Service)>;

  target_selector(identity Self, const settings &Settings);
  /// For tests, with a seeded \p Random.
  target_selector(identity Self, const settings &Settings, random_hook Random);

  /// Takes over the services of a newer configuration; what is known of
  /// targets that stay is kept. A service that is gone gets no new attempts.
  void setServices(absl::Span<const contract::service> Services);

  /// The target for one attempt, whose slot it holds from now on; nothing
  /// while no target of \p Service may take one more. \p Excluded names targets
  /// that earlier attempts of the request went to.
  std::optional<choice> choose(std::string_view Service,
                               absl::Span<const std::string> Excluded,
                               boot_time Now);

  /// The attempt ended. Call exactly one of finish and cancel for each choice.
  void finish(const choice &Choice, const observation &Observation,
              boot_time Now);

  /// The attempt was given up because its caller left or a hedge was faster;
  /// this is no evidence of a fault.
  void cancel(const choice &Choice, boot_time Now);

  /// What a target said to a probe that was sent at \p SentAt.
  void reportDrain(std::string_view Service, std::string_view Target,
                   const drain_report &Report, boot_time SentAt, boot_time Now);

  /// Drained targets that should be probed now whether they came back. Their
  /// attempt number is zero; they hold no slot.
  std::vector<choice> probesDue(boot_time Now);

  /// Judges the targets of services without traffic too; call it about once an
  /// evaluation period.
  void tick(boot_time Now);

  /// Decides on the ejections of the services whose floor lease this instance
  /// holds. The next digest publishes them.
  void decideEjections(const lease_hook &HeldUntil, boot_time Now);

  /// What this instance tells its peers.
  digest makeDigest(boot_time Now);

  /// Takes a peer's digest. False if it is not newer than the last one.
  bool receive(const digest &Digest, boot_time Now);

  /// All targets, for metrics and status.
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
    boot_time Received;
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
