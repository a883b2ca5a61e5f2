#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "Common/Time.h"
#include "Platform/ConfigMessage.h"

namespace magnolia::platform {

struct fetcher_settings {
  /// An attempt that made no progress for this long is given up.
  std::chrono::microseconds Timeout = std::chrono::seconds(3);
  /// Pause after a failed attempt.
  std::chrono::microseconds RetryDelay = std::chrono::milliseconds(250);
  /// A peer that announces a larger configuration is not believed.
  uint64_t MaxBytes = uint64_t{1} << 30;
};

struct fetcher_hooks {
  /// Starts to read an object; the outcome goes to onObject with \p Attempt.
  std::function<void(uint64_t Attempt, const std::string &Digest)> FetchObject;
  std::function<void(const std::string &Peer, const config_message &)> Send;
  /// Takes the bytes, whose digest is the wanted one.
  std::function<void(uint64_t Version, const std::string &Bytes)> Done;
  /// Uniform random bits.
  std::function<uint64_t()> Random;
};

/// Gets one encoded configuration at a time, in turn from the object store and
/// from peers that have it, until it is there or a later one is wanted.
class config_fetcher {
public:
  config_fetcher(fetcher_settings Settings, fetcher_hooks Hooks)
      : Settings(Settings), Hooks(std::move(Hooks)) {}

  /// Wants \p Version unless it or a later one is wanted already. \p Holder
  /// names a peer that has it; empty: the table told.
  void request(common::boot_time Now, uint64_t Version,
               const std::string &Digest, const std::string &Holder);

  /// Wants nothing up to \p Version any more.
  void cancelUpTo(uint64_t Version);

  /// Begins and gives up attempts as time passes.
  void advance(common::boot_time Now);

  void onObject(common::boot_time Now, uint64_t Attempt,
                const absl::StatusOr<std::string> &Bytes);
  void onChunk(common::boot_time Now, const std::string &Peer,
               const config_chunk &Chunk);

  /// Attempts that failed since the start.
  uint64_t failures() const { return Failures; }

private:
  struct wanted_version {
    uint64_t Version = 0;
    std::string Digest;
    std::vector<std::string> Holders;
  };

  void startAttempt(common::boot_time Now);
  void fail(common::boot_time Now);
  void complete(common::boot_time Now, const std::string &Bytes);

  fetcher_settings Settings;
  fetcher_hooks Hooks;
  std::optional<wanted_version> Wanted;
  bool Running = false;
  bool PreferPeer = false;
  uint64_t Attempt = 0;
  /// The peer asked in this attempt; empty: the object store.
  std::string Source;
  std::string Received;
  /// When the attempt is given up, or when the next one begins.
  common::boot_time Due;
  uint64_t Failures = 0;
};

} // namespace magnolia::platform
