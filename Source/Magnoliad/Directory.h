#pragma once

#include <chrono>
#include <string>
#include <vector>

#include <absl/types/span.h>

#include "Net/Http/Message.h"

namespace magnolia::daemon {

/// An instance that callers may use.
struct directory_entry {
  std::string Name;
  std::string Address;
  std::string FailureDomain;
};

/// The answer to `GET /.magnolia/directory`:
/// `{"instances":[{"name","address","failure_domain"}],"keep_ms"}`.
http::whole_answer makeDirectoryAnswer(absl::Span<const directory_entry> Entries,
                                       std::chrono::milliseconds Keep);

} // namespace magnolia::daemon
