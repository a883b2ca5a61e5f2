#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

/// What operators agree with their tenants and services: the typed content of a
/// manifest, and the configuration that instances follow.
namespace magnolia::contract {

/// A tenant with its rate over the whole fleet.
struct workspace {
  std::string Name;
  /// Requests per second, above zero.
  double Rate = 0;
  /// Requests at once, at least one.
  double Burst = 0;
};

/// One application process that runs requests of a service.
struct target {
  std::string Name;
  /// "IPv4:port".
  std::string Address;
  std::string FailureDomain;
  /// Requests that it runs at the same time.
  uint32_t Slots = 1;
  /// A draining target finishes its work and gets no new requests.
  bool Draining = false;
};

/// A group of targets that run the same requests.
struct service {
  std::string Name;
  /// Ejection leaves at least this part of the live targets, in (0, 1].
  double Floor = 0.5;
  /// Requests that may wait for a slot in one instance.
  uint32_t QueueLimit = 256;
  std::vector<target> Targets;
};

/// Who may use a route.
enum class route_access : uint8_t { Keyed, Open };

/// Requests whose path starts with a prefix, and the service that runs them.
struct route {
  std::string Name;
  std::string PathPrefix;
  std::string Service;
  route_access Access = route_access::Keyed;
  /// Repeatable requests may be retried and hedged; others run at most once.
  bool Repeatable = false;
  /// From the arrival of the request to the end of its answer.
  std::chrono::milliseconds Timeout{5000};
};

/// A key that callers present; only its digest is ever kept.
struct key {
  /// Public name of the key, which logs and audit rows may show.
  std::string Id;
  /// SHA-256 of the secret in hexadecimal.
  std::string Digest;
  std::string Workspace;
  /// A revoked key stays listed, so that no later manifest revives it.
  bool Revoked = false;
};

/// What the operators' pipeline generates.
struct manifest {
  std::vector<workspace> Workspaces;
  std::vector<service> Services;
  std::vector<route> Routes;
};

/// One accepted version of everything that instances follow. Keys change by
/// commands of their own, so they stand beside the manifest.
struct configuration {
  /// Counts accepted changes from one; zero means that there is none yet.
  uint64_t Version = 0;
  manifest Manifest;
  std::vector<key> Keys;
};

} // namespace magnolia::contract
