#pragma once

#include <string>

namespace magnolia::gateway {

/// Names of the HTTP headers exchanged with callers and targets. The adapter of
/// a deployment provides them.
struct header_names {
  /// Request ID; targets return it in their responses.
  std::string RequestId;
  /// Milliseconds that the sender will wait.
  std::string DeadlineMs;
  /// Signature that a target adds to its own responses.
  std::string Signature;
  /// Name of the workspace, sent to targets.
  std::string Workspace;
  /// ID of the target that a request is meant for.
  std::string ExpectTarget;
  /// Set by a target that did not run the request.
  std::string NotRun;
  /// Set to "1" by a target that is draining, in all its responses.
  std::string Draining;
  /// Requests per second that a target takes from the whole fleet.
  std::string RateLimit;
  /// Milliseconds for which a target stays cold.
  std::string WarmupMs;
  /// Load of a target: the requests that it runs, those that wait, and its
  /// slots, separated by commas.
  std::string Load;
  /// API key of a caller.
  std::string Key;
};

} // namespace magnolia::gateway
