#include "Common/Log.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include "Common/StringView.h"

namespace magnolia::common {
namespace {

log4cxx::LevelPtr levelOf(log_level Level) {
  switch (Level) {
  case log_level::Debug:
    return log4cxx::Level::getDebug();
  case log_level::Info:
    return log4cxx::Level::getInfo();
  case log_level::Warning:
    return log4cxx::Level::getWarn();
  case log_level::Error:
    break;
  }
  return log4cxx::Level::getError();
}

bool needsQuotes(std::string_view Value) {
  return Value.empty() ||
         Value.find_first_of(" \"=\\\n\r\t") != std::string_view::npos;
}

void appendField(std::string &Line, const log_field &Field) {
  absl::StrAppend(&Line, " ", toAbsl(Field.Key), "=");
  if (needsQuotes(Field.Value))
    absl::StrAppend(&Line, "\"", absl::CEscape(Field.Value), "\"");
  else
    Line += Field.Value;
}

} // namespace

void startLogging(std::string_view Program, log_level Level) {
  const std::string Pattern = absl::StrCat(
      "time=%d{yyyy-MM-ddTHH:mm:ss.SSS} level=%p program=", toAbsl(Program),
      " room=%c event=%m%n");
  const log4cxx::LayoutPtr Layout(new log4cxx::PatternLayout(Pattern));
  const log4cxx::AppenderPtr Appender(new log4cxx::ConsoleAppender(
      Layout, log4cxx::ConsoleAppender::getSystemErr()));
  log4cxx::BasicConfigurator::resetConfiguration();
  log4cxx::BasicConfigurator::configure(Appender);
  setLogLevel(Level);
}

void setLogLevel(log_level Level) {
  log4cxx::Logger::getRootLogger()->setLevel(levelOf(Level));
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

void log(log_level Level, std::string_view Room, std::string_view Message,
         std::initializer_list<log_field> Fields) {
  const auto Logger = log4cxx::Logger::getLogger(std::string(Room));
  const auto Log4Level = levelOf(Level);
  if (!Logger->isEnabledFor(Log4Level))
    return;
  std::string Line = absl::StrCat("\"", absl::CEscape(toAbsl(Message)), "\"");
  for (const log_field &Field : Fields)
    appendField(Line, Field);
  Logger->forcedLog(Log4Level, Line);
}

} // namespace magnolia::common
