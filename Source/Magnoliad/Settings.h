#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "Common/YamlReader.h"
#include "Target/Settings.h"

/// Settings of an instance.
namespace magnolia::daemon {

using std::chrono::milliseconds;

/// Identity and addresses of this instance. Addresses are "IPv4:port"; with
/// port 0 the system chooses one.
struct identity_settings {
  std::string Name;
  std::string FailureDomain;
  std::string CallerListen = "127.0.0.1:0";
  std::string PeerListen = "127.0.0.1:0";
  std::string AdminListen = "127.0.0.1:0";
  /// Addresses published to others; empty for the bound ones.
  std::string CallerAdvertise;
  std::string PeerAdvertise;
};

/// Limits on requests of callers.
struct limit_settings {
  uint64_t HeadBytes = uint64_t{16} * 1024;
  uint64_t BodyBytes = uint64_t{64} * 1024 * 1024;
  /// Longer bodies are streamed and get one attempt.
  uint64_t BufferedBodyBytes = uint64_t{256} * 1024;
  uint64_t Connections = 20000;
  uint64_t Requests = 512;
};

/// Settings of the directory, which lists instances for callers.
struct directory_settings {
  /// How long callers may cache a directory response.
  milliseconds Ttl{2000};
};

/// Intervals and timeouts of communication with the platform and peers.
struct follow_settings {
  milliseconds PollPeriod{500};
  milliseconds HeartbeatPeriod{500};
  /// Keyed requests are rejected if neither the table nor peers have proved the
  /// configuration fresh for this long.
  milliseconds StaleAfter{4000};
  milliseconds PlatformTimeout{2000};
};

/// Settings of the shares of workspace rates.
struct rate_settings {
  /// How long shares stay leased to an instance that fails without returning
  /// them.
  milliseconds LeaseTerm = std::chrono::hours(6);
  /// Duration of a loan between instances.
  milliseconds LoanTerm{1000};
  /// How long a starting instance discovers others before it claims shares.
  milliseconds Settle{1500};
  /// Maximum difference between the wall clocks of two instances.
  milliseconds ClockSkew{2000};
};

/// All settings, with their defaults.
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

/// Reads all settings from \p Root.
settings readSettings(common::yaml_section &Root);

} // namespace magnolia::daemon
