#pragma once

#include <memory>
#include <string>

#include <absl/status/statusor.h>

#include "Magnoliad/Settings.h"

namespace magnolia::daemon {

/// One running instance with all its components.
class node {
public:
  /// Binds all ports and starts to serve.
  static absl::StatusOr<std::unique_ptr<node>> create(const settings &Settings);

  /// Requires that stop() has returned.
  ~node();

  /// "NAME PORT" lines for the port file.
  std::string portLines() const;

  /// Graceful shutdown: leaves the directory, keeps serving until directory
  /// responses cached by callers have expired, and finishes all requests in
  /// flight. Blocks.
  void stop();

private:
  class impl;
  explicit node(std::unique_ptr<impl> Impl);
  std::unique_ptr<impl> Impl;
};

} // namespace magnolia::daemon
