#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

#include <absl/status/status.h>

/// Structured logging: one line an event, `key=value` fields after the message.
namespace magnolia::common {

enum class log_level { Debug, Info, Warning, Error };

/// One `key=value` pair of a log line.
struct log_field {
  std::string_view Key;
  std::string Value;
};

/// Sends logs at \p Level and above to standard error. \p Program stands in
/// each line. Call once, before other threads start.
void startLogging(std::string_view Program, log_level Level);

/// Changes the level while running.
void setLogLevel(log_level Level);

/// Reads "debug", "info", "warning" or "error".
absl::Status parseLogLevel(std::string_view Text, log_level &Level);

/// Writes one line to the logger named \p Room.
void log(log_level Level, std::string_view Room, std::string_view Message,
         std::initializer_list<log_field> Fields = {});

} // namespace magnolia::common
