#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "Common/YamlReader.h"
#include "Target/Settings.h"

/// What an instance reads from its settings file.
namespace magnolia::daemon {

using std::chrono::milliseconds;

/// Who this instance is and where it listens. Addresses are "IPv4:port"; port 0
/// lets the system choose.
struct identity_settings {
  std::string Name;
  std::string FailureDomain;
  std::string CallerListen = "127.0.0.1:0";
  std::string PeerListen = "127.0.0.1:0";
  std::string AdminListen = "127.0.0.1:0";
  /// Addresses that others are told; empty: the bound ones.
  std::string CallerAdvertise;
  std::string PeerAdvertise;
};

/// Bounds on what callers send.
struct limit_settings {
  uint64_t HeadBytes = uint64_t{16} * 1024;
  uint64_t BodyBytes = uint64_t{64} * 1024 * 1024;
  /// Longer bodies stream and get one attempt.
  uint64_t BufferedBodyBytes = uint64_t{256} * 1024;
  uint64_t Connections = 20000;
  uint64_t Requests = 512;
};

/// How callers are told which instances to use.
struct directory_settings {
  /// How long callers may keep an answer.
  milliseconds Keep{2000};
};

/// Periods of the talk with platform and peers.
struct follow_settings {
  milliseconds PollPeriod{500};
  milliseconds HeartbeatPeriod{500};
  /// An instance that heard neither table nor peers for this long refuses
  /// keyed requests.
  milliseconds StaleAfter{4000};
  milliseconds PlatformTimeout{2000};
};

/// Terms of the rights to rate and burst.
struct rate_settings {
  /// How long shares outlive an instance that is lost without a word.
  milliseconds LeaseTerm = std::chrono::hours(6);
  /// How long a loan between instances runs.
  milliseconds LoanTerm{1000};
  /// How long a starting instance looks for others before it claims shares.
  milliseconds Settle{1500};
  /// Largest difference between the wall clocks of two instances.
  milliseconds ClockSkew{2000};
};

/// Everything, with the defaults.
struct settings {
  identity_settings Identity;
  std::string PlatformAddress;
  limit_settings Limits;
  directory_settings Directory;
  follow_settings Follow;
  rate_settings Rates;
  target::settings Targets;
  bool RequestLog = true;
};

/// Reads every key below \p Root.
settings readSettings(common::yaml_section &Root);

} // namespace magnolia::daemon
