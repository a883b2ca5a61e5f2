#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>

#include <absl/status/status.h>
#include <absl/strings/str_cat.h>

/// Structured logging: one JSON object a line. Writing happens on a thread of
/// its own behind a bounded queue, so that a reader of the output that stalls
/// delays nobody.
namespace magnolia::common {

enum class log_level { Debug, Info, Warning, Error };

/// Where lines go.
enum class log_target { StandardOutput, StandardError };

/// One field of a log line.
struct log_field {
  log_field(std::string_view Key, std::string Value)
      : Key(Key), Value(std::move(Value)) {}
  log_field(std::string_view Key, std::string_view Value)
      : Key(Key), Value(Value) {}
  log_field(std::string_view Key, const char *Value) : Key(Key), Value(Value) {}
  template <typename Number>
  requires std::is_arithmetic_v<Number> log_field(std::string_view Key,
                                                  Number Value)
      : Key(Key), Value(absl::StrCat(Value)), IsNumber(true) {}

  std::string_view Key;
  std::string Value;
  /// Written without quotes.
  bool IsNumber = false;
};

/// Begins to write lines at \p Level and above. \p Program and \p Instance
/// (where not empty) stand in each line. Call once, before other threads start.
void startLogging(std::string_view Program, log_level Level,
                  log_target Target = log_target::StandardOutput);

/// The name that stands in each line from now on.
void setLogInstance(std::string_view Instance);

/// Waits a little for lines that are not written yet. False when the output
/// does not take them; the process must then end without further clean-up.
bool stopLogging();

/// Lines left out since the start.
uint64_t droppedLogLines();

/// Changes the level while running.
void setLogLevel(log_level Level);

/// Reads "debug", "info", "warning" or "error".
absl::Status parseLogLevel(std::string_view Text, log_level &Level);

/// Whether lines of \p Level are written.
bool isLogged(log_level Level);

/// Writes one line. \p Component names the part of the program, \p Event what
/// happened; together they are the line's kind, whose number in a second is
/// bounded. The count of lines left out stands in the next one of the kind.
void log(log_level Level, std::string_view Component, std::string_view Event,
         std::initializer_list<log_field> Fields = {});

} // namespace magnolia::common
