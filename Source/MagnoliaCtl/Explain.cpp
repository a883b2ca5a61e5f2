#include "MagnoliaCtl/Explain.h"

#include <algorithm>
#include <fstream>
#include <optional>

#include <nlohmann/json.hpp>

namespace magnolia::ctl {
namespace {

using json = nlohmann::ordered_json;

/// A log entry of the request.
struct log_entry {
  std::string Time;
  /// The line to print, including the time.
  std::string Text;
};

std::string toText(const json &Value) {
  return Value.is_string() ? Value.get<std::string>() : Value.dump();
}

std::string fieldText(const json &Line, const char *Key) {
  return Line.contains(Key) ? toText(Line.at(Key)) : std::string();
}

std::optional<log_entry> parseLine(const std::string &Text,
                                   const std::string &Id) {
  // Most lines belong to other requests; skip them without parsing.
  if (Text.find(Id) == std::string::npos)
    return std::nullopt;
  // Skip the prefix that the platform puts before each line.
  const size_t Begin = Text.find('{');
  if (Begin == std::string::npos)
    return std::nullopt;
  const json Line = json::parse(Text.substr(Begin), nullptr, false);
  if (!Line.is_object() || fieldText(Line, "id") != Id)
    return std::nullopt;
  log_entry Entry;
  Entry.Time = fieldText(Line, "time");
  Entry.Text = Entry.Time + " " + fieldText(Line, "instance") + ": " +
               fieldText(Line, "event");
  for (const auto &[Key, Value] : Line.items()) {
    const bool IsStandardKey = Key == "time" || Key == "level" ||
                               Key == "program" || Key == "instance" ||
                               Key == "room" || Key == "event" || Key == "id";
    if (!IsStandardKey)
      Entry.Text += " " + Key + "=" + toText(Value);
  }
  return Entry;
}

} // namespace

program::exit_code explain(const std::string &Id,
                           const std::vector<std::string> &Files,
                           std::ostream &Out, std::ostream &Error) {
  std::vector<log_entry> Entries;
  for (const std::string &File : Files) {
    std::ifstream Stream(File);
    if (!Stream) {
      Error << File << ": cannot be read\n";
      return program::exit_code::InvalidInput;
    }
    std::string Text;
    while (std::getline(Stream, Text))
      if (auto Entry = parseLine(Text, Id))
        Entries.push_back(std::move(*Entry));
  }
  if (Entries.empty()) {
    Error << "no line names the request " << Id << "\n";
    return program::exit_code::InvalidInput;
  }
  std::stable_sort(Entries.begin(), Entries.end(),
                   [](const log_entry &Left, const log_entry &Right) {
                     return Left.Time < Right.Time;
                   });
  for (const log_entry &Entry : Entries)
    Out << Entry.Text << "\n";
  return program::exit_code::Success;
}

} // namespace magnolia::ctl
