#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>

#include <absl/status/status.h>
#include <absl/strings/str_cat.h>

/// Structured logging: one JSON object per line. A separate thread writes the
/// lines from a bounded queue, so that a stalled reader of the output does not
/// block the threads that log.
namespace magnolia::common {

enum class log_level { Debug, Info, Warning, Error };

/// The stream that lines are written to.
enum class log_stream { StandardOutput, StandardError };

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

/// Starts writing lines of \p Level and above. Each line contains \p Program
/// and, if set, the name from setLogInstance(). Call once, before other threads
/// start.
void startLogging(std::string_view Program, log_level Level,
                  log_stream Stream = log_stream::StandardOutput);

/// Sets the instance name that each following line contains.
void setLogInstance(std::string_view Instance);

/// Waits for pending lines to be written, for a short limited time. Returns
/// false if the output does not accept them; the process must then exit without
/// further clean-up.
bool stopLogging();

/// Number of lines dropped since the start.
uint64_t droppedLogLines();

/// Changes the level at run time.
void setLogLevel(log_level Level);

/// Parses "debug", "info", "warning" or "error".
absl::Status parseLogLevel(std::string_view Text, log_level &Level);

/// Whether lines of \p Level are written.
bool isLogged(log_level Level);

/// Queues one line. \p Component names the part of the program (field "room"),
/// \p Event what happened; together they form the kind of the line, and the
/// rate of each kind is limited. The next line of a kind contains the number of
/// lines of it that were dropped (field "left_out").
void log(log_level Level, std::string_view Component, std::string_view Event,
         std::initializer_list<log_field> Fields = {});

} // namespace magnolia::common
