#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "Common/EntryDiff.h"
#include "Routing/ConfigurationCheck.h"

/// Formats in which operators write a configuration. Each reads its files with
/// the code that instances read them with.
namespace magnolia::routing {

/// Content of a file as one format reads it.
struct read_configuration {
  /// What cannot be read, and what its readers leave out.
  std::vector<finding> Findings;
  partial_configuration Readable;
  /// Printed entries, complete if nothing is wrong.
  std::vector<common::entry_group> Entries;
  /// Absent in a format whose versions are numbered when they are accepted.
  std::optional<uint64_t> Version;
  /// The version that must be in force when this one is sent.
  std::optional<uint64_t> BasedOn;
  /// Services that have a target now, if the store says so.
  std::optional<std::set<std::string>> ServicesWithTargets;
};

struct configuration_format {
  /// Shown to operators.
  std::string_view Name;
  /// Whether \p Text is written in this format.
  std::function<bool(std::string_view Text)> Recognizes;
  /// Reads \p Text; \p File is its name for messages.
  std::function<read_configuration(const std::string &Text,
                                   const std::string &File)>
      Read;
  /// Reads the version in force from the store at an "IPv4:port" address.
  /// InvalidArgument for another address, Unavailable if the store cannot be
  /// read, NotFound if no version is in force.
  std::function<absl::StatusOr<read_configuration>(const std::string &Address)>
      ReadInForce;
  /// Bytes that an instance may hold for messages, given its memory in MB.
  /// Empty if the format has no limits of callers.
  std::function<size_t(size_t MemoryMb)> MessageBytes;
  /// The format's names of tables and columns that differ from those of
  /// checkConfiguration().
  std::map<std::string, std::string, std::less<>> Terms;
};

} // namespace magnolia::routing
