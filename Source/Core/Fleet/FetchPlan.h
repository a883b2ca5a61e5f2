#pragma once

#include <optional>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/random/bit_gen_ref.h>
#include <absl/types/span.h>

#include "Common/Time.h"

namespace magnolia::fleet {

using common::boot_time;
using duration = common::boot_clock::duration;

/// Timing of a fetch_plan. All times together stay well below the two seconds
/// within which a change of the configuration must be in force.
struct fetch_settings {
  /// What a peer has usually arrives by itself within this time.
  duration FirstDelay = std::chrono::milliseconds(40);
  /// Instances that lack the same content ask at different moments within this
  /// time.
  duration Spread = std::chrono::milliseconds(60);
  /// Another source is asked as well when one has sent nothing for this long.
  duration SilentAfter = std::chrono::milliseconds(150);
  /// The same when one has not sent everything after this time.
  duration SlowAfter = std::chrono::milliseconds(300);
  /// A source that refused, because it is busy or no longer has the content, is
  /// not asked again for this long, and for twice as long each time.
  duration RefusedPause = std::chrono::milliseconds(40);
  /// Refusals after which a source counts as none.
  size_t MaxRefusals = 1;
  /// A source that failed or was silent is not asked again for this long.
  duration FailedPause = std::chrono::milliseconds(1500);
  /// A source in another failure domain is asked only when none is left in the
  /// own one, by each instance this much later than by the one before it in the
  /// order of its domain: the first one passes the content on to the others.
  duration RemoteStep = std::chrono::milliseconds(60);
  duration MaxRemoteDelay = std::chrono::milliseconds(400);
  /// The store is read when no source has sent the content by then, in the same
  /// order.
  duration StoreAfter = std::chrono::milliseconds(600);
  duration StoreStep = std::chrono::milliseconds(40);
  duration MaxStoreDelay = std::chrono::milliseconds(300);
  /// Sources that are asked at the same time.
  size_t MaxAsked = 3;
};

/// A peer that may have the content.
struct fetch_source {
  std::string Name;
  /// Whether it is in the own failure domain.
  bool IsNear = false;
};

/// How an attempt to fetch from a source ended.
enum class fetch_result : uint8_t {
  /// It sent content that this instance lacked.
  Received,
  /// It has no such content, or is busy.
  Refused,
  /// It failed, or what it sent was not usable.
  Failed,
};

/// What an instance that lacks content is to do.
struct fetch_step {
  /// The source to ask now; empty: none.
  std::string Ask;
  /// A source that is to be given up, since it was silent for the longest time;
  /// empty: none.
  std::string GiveUp;
  /// When to decide again if nothing happens before.
  boot_time DecideAt;
};

/// Decides which peers an instance asks for content that it lacks, and when the
/// store is its last resort. Load pattern: one of the few readers of the store
/// names a change to all instances of its failure domain and loses power before
/// they have fetched it, or answers slowly, wrongly or not at all, while tens
/// of them ask at the same moment. Reads no clock; not thread-safe.
class fetch_plan {
public:
  explicit fetch_plan(const fetch_settings &Settings) : Settings(Settings) {}

  /// The instance learned that it lacks content, unless it knew already.
  /// \p MayArrive: it may arrive without being asked for.
  void begin(bool MayArrive, boot_time Now, absl::BitGenRef Random);

  /// The content arrived, from whatever source.
  void end();

  /// The next step. \p Sources: the reachable peers that may have the content.
  /// \p Rank: the number of instances before this one in the order of its
  /// domain. The caller asks and gives up the sources that are named.
  fetch_step decide(absl::Span<const fetch_source> Sources, size_t Rank,
                    boot_time Now, absl::BitGenRef Random);

  /// Bytes of the content arrived from \p Source.
  void onBytes(const std::string &Source, boot_time Now);

  /// \p Source is no longer asked.
  void onResult(const std::string &Source, fetch_result Result, boot_time Now);

  /// Whether the store is to be read for the content.
  bool needsStore(size_t Rank, boot_time Now) const;

  bool isBehind() const { return Since.has_value(); }
  /// Since when the instance has known that it lacks content, if it does.
  std::optional<boot_time> behindSince() const { return Since; }
  size_t asked() const { return Asked.size(); }

private:
  /// An attempt that has not ended.
  struct attempt {
    std::string Source;
    boot_time AskedAt;
    boot_time LastBytes;
  };

  /// When another source is to be asked as well.
  boot_time overdueAt(const attempt &Attempt) const;
  bool isOverdue(const attempt &Attempt, boot_time Now) const {
    return Now >= overdueAt(Attempt);
  }
  bool isAsked(const std::string &Source) const;
  bool isPaused(const std::string &Source, boot_time Now) const;
  /// Whether a source of the own domain is only busy for a moment.
  bool isNearOneBusy(absl::Span<const fetch_source> Sources) const;
  /// The sources of the own or of other domains that may be asked now.
  std::vector<std::string> usable(absl::Span<const fetch_source> Sources,
                                  bool Near, boot_time Now) const;
  /// Chooses among the usable sources; empty if it is too early or none is.
  std::string choose(absl::Span<const fetch_source> Sources, size_t Rank,
                     boot_time Now, absl::BitGenRef Random);
  /// Makes room for one more attempt; the source that was given up, or empty.
  std::string makeRoom(boot_time Now);
  boot_time nextDecision(boot_time Now) const;

  const fetch_settings Settings;
  std::optional<boot_time> Since;
  /// Nobody is asked before.
  boot_time NotBefore;
  /// Since when no source of the own domain has been usable.
  std::optional<boot_time> NoneNearSince;
  /// When a source of another domain may be asked, if there is one.
  std::optional<boot_time> RemoteAt;
  std::vector<attempt> Asked;
  struct pause {
    boot_time Until;
    /// Consecutive refusals; zero for a failure.
    size_t Refusals = 0;
  };
  /// By source; kept until the content has arrived.
  absl::flat_hash_map<std::string, pause> Pauses;
};

} // namespace magnolia::fleet
