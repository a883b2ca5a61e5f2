#pragma once

#include <string>

namespace magnolia::gateway {

/// The names of the headers that callers, targets and this system exchange. A
/// deployment's adapter gives them.
struct header_names {
  /// Names one request; targets repeat it in their answers.
  std::string RequestId;
  /// Milliseconds that the sender will wait.
  std::string DeadlineMs;
  /// A target's mark on its own answers.
  std::string Signature;
  /// The name of the workspace, for targets.
  std::string Workspace;
  /// The id of the target that a request is meant for.
  std::string ExpectTarget;
  /// A target did not run the request.
  std::string NotRun;
  /// A caller's key.
  std::string Key;
};

} // namespace magnolia::gateway
