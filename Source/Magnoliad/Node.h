#pragma once

#include <memory>
#include <string>

#include <absl/status/statusor.h>

#include "Magnoliad/Settings.h"

namespace magnolia::daemon {

/// One running instance: everything wired together.
class node {
public:
  /// Binds all ports and starts to serve.
  static absl::StatusOr<std::unique_ptr<node>> create(const settings &Settings);

  /// stop() must have returned.
  ~node();

  /// "NAME PORT" lines for the port file.
  std::string portLines() const;

  /// Graceful shutdown: leaves the directory, serves on until kept directory
  /// answers have expired, finishes every request in flight. Blocks.
  void stop();

private:
  class impl;
  explicit node(std::unique_ptr<impl> Impl);
  std::unique_ptr<impl> Impl;
};

} // namespace magnolia::daemon
