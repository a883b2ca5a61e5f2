#include "Common/Log.h"

#include <atomic>
#include <ctime>
#include <memory>
#include <thread>

#include <absl/strings/str_format.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <nlohmann/json.hpp>

#include "Common/LogQueue.h"
#include "Common/StringView.h"
#include "Common/Time.h"

namespace magnolia::common {
namespace {

/// Time to collect further lines after the first one, so that they are written
/// in one batch.
constexpr std::chrono::milliseconds BatchDelay{50};
constexpr std::chrono::milliseconds FlushTimeout{300};
constexpr std::chrono::seconds IdleWait{10};
/// Longer values are truncated.
constexpr size_t MaxValueBytes = 300;

/// State of the logger. Never destroyed: the writer thread may be blocked in a
/// write when the process exits.
struct log_state {
  log_queue Queue{log_limits()};
  std::string Program;
  std::string Instance;
  std::atomic<log_level> Level = log_level::Info;
  std::atomic<bool> Started = false;
};

log_state &state() {
  static auto *State = new log_state;
  return *State;
}

std::string_view nameOf(log_level Level) {
  switch (Level) {
  case log_level::Debug:
    return "debug";
  case log_level::Info:
    return "info";
  case log_level::Warning:
    return "warning";
  case log_level::Error:
    break;
  }
  return "error";
}

std::string formatWallTime() {
  const auto Micros = wallNow().time_since_epoch().count();
  constexpr int64_t MicrosPerSecond = 1'000'000;
  const auto Seconds = static_cast<time_t>(Micros / MicrosPerSecond);
  tm Parts{};
  gmtime_r(&Seconds, &Parts);
  constexpr int FirstYear = 1900;
  return absl::StrFormat("%04d-%02d-%02dT%02d:%02d:%02d.%06dZ",
                         Parts.tm_year + FirstYear, Parts.tm_mon + 1,
                         Parts.tm_mday, Parts.tm_hour, Parts.tm_min,
                         Parts.tm_sec, Micros % MicrosPerSecond);
}

void appendQuoted(std::string &Line, std::string_view Text) {
  using json = nlohmann::json;
  Line += json(Text).dump(-1, ' ', false, json::error_handler_t::replace);
}

void appendField(std::string &Line, const log_field &Field) {
  Line += ',';
  appendQuoted(Line, Field.Key);
  Line += ':';
  if (Field.IsNumber)
    Line += Field.Value;
  else
    appendQuoted(Line, std::string_view(Field.Value).substr(0, MaxValueBytes));
}

/// Writes queued lines forever. The caller looks \p Logger up: if this thread
/// starts late in a short process, the library's static state may already be
/// being destroyed.
void writeLines(const log4cxx::LoggerPtr &Logger) {
  log_state &State = state();
  while (true) {
    auto Line = State.Queue.take(IdleWait);
    if (!Line)
      continue;
    std::this_thread::sleep_for(BatchDelay);
    while (Line) {
      Logger->forcedLog(log4cxx::Level::getInfo(), *Line);
      Line = State.Queue.take(std::chrono::seconds(0));
    }
  }
}

} // namespace

void startLogging(std::string_view Program, log_level Level,
                  log_stream Stream) {
  const log4cxx::LayoutPtr Layout(new log4cxx::PatternLayout("%m%n"));
  const log4cxx::AppenderPtr Appender(new log4cxx::ConsoleAppender(
      Layout, Stream == log_stream::StandardOutput
                  ? log4cxx::ConsoleAppender::getSystemOut()
                  : log4cxx::ConsoleAppender::getSystemErr()));
  log4cxx::BasicConfigurator::resetConfiguration();
  log4cxx::BasicConfigurator::configure(Appender);
  state().Program = Program;
  state().Level = Level;
  state().Started = true;
  std::thread(writeLines, log4cxx::Logger::getRootLogger()).detach();
}

void setLogInstance(std::string_view Instance) { state().Instance = Instance; }

bool stopLogging() {
  const auto End = boot_clock::now() + FlushTimeout;
  while (boot_clock::now() < End) {
    if (state().Queue.pending() == 0)
      return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return false;
}

uint64_t droppedLogLines() { return state().Queue.dropped(); }

void setLogLevel(log_level Level) { state().Level = Level; }

bool isLogged(log_level Level) {
  return state().Started && Level >= state().Level;
}

absl::Status parseLogLevel(std::string_view Text, log_level &Level) {
  if (Text == "debug")
    Level = log_level::Debug;
  else if (Text == "info")
    Level = log_level::Info;
  else if (Text == "warning")
    Level = log_level::Warning;
  else if (Text == "error")
    Level = log_level::Error;
  else
    return absl::InvalidArgumentError(absl::StrCat(
        "'", toAbsl(Text), "' is none of debug, info, warning, error"));
  return absl::OkStatus();
}

void log(log_level Level, std::string_view Component, std::string_view Event,
         std::initializer_list<log_field> Fields) {
  log_state &State = state();
  if (!isLogged(Level))
    return;
  const auto Permission =
      State.Queue.admit(absl::StrCat(toAbsl(Component), ".", toAbsl(Event)),
                        Level >= log_level::Warning, boot_clock::now());
  if (!Permission.Granted)
    return;
  std::string Line =
      absl::StrCat("{\"time\":\"", formatWallTime(), "\",\"level\":\"",
                   toAbsl(nameOf(Level)), "\"");
  appendField(Line, {"program", State.Program});
  if (!State.Instance.empty())
    appendField(Line, {"instance", State.Instance});
  appendField(Line, {"room", Component});
  appendField(Line, {"event", Event});
  for (const log_field &Field : Fields)
    appendField(Line, Field);
  if (Permission.Dropped > 0)
    appendField(Line, {"left_out", Permission.Dropped});
  Line += '}';
  State.Queue.add(std::move(Line));
}

} // namespace magnolia::common
