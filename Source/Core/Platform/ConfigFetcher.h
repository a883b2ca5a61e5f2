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
  /// An attempt without progress for this long fails.
  std::chrono::microseconds Timeout = std::chrono::seconds(3);
  /// Pause after a failed attempt.
  std::chrono::microseconds RetryDelay = std::chrono::milliseconds(250);
  /// Larger configurations announced by a peer are rejected.
  uint64_t MaxBytes = uint64_t{1} << 30;
};

struct fetcher_hooks {
  /// Starts to read an object; the result is passed to onObject with
  /// \p Attempt.
  std::function<void(uint64_t Attempt, const std::string &Digest)> FetchObject;
  std::function<void(const std::string &Peer, const config_message &)> Send;
  /// Receives the complete configuration after its digest was verified.
  std::function<void(uint64_t Version, const std::string &Bytes)> Done;
  /// Uniform random bits.
  std::function<uint64_t()> Random;
};

/// Downloads one encoded configuration at a time. Attempts alternate between
/// the object store and peers that have it, until one succeeds or a later
/// version is requested.
class config_fetcher {
public:
  config_fetcher(fetcher_settings Settings, fetcher_hooks Hooks)
      : Settings(Settings), Hooks(std::move(Hooks)) {}

  /// Requests \p Version unless a later one is already requested. \p Holder
  /// names a peer that has it; empty if the version comes from the table.
  void request(common::boot_time Now, uint64_t Version,
               const std::string &Digest, const std::string &Holder);

  /// Cancels the download if it is for \p Version or an earlier one.
  void cancelUpTo(uint64_t Version);

  /// Starts attempts that are due and fails those that timed out.
  void advance(common::boot_time Now);

  void onObject(common::boot_time Now, uint64_t Attempt,
                const absl::StatusOr<std::string> &Bytes);
  void onChunk(common::boot_time Now, const std::string &Peer,
               const config_chunk &Chunk);

  /// Failed attempts since the process started.
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
  /// The peer queried in this attempt; empty for the object store.
  std::string Source;
  std::string Received;
  /// When the running attempt times out, or when the next one starts.
  common::boot_time Due;
  uint64_t Failures = 0;
};

} // namespace magnolia::platform
