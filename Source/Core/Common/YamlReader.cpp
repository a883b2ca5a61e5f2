#include "Common/YamlReader.h"

#include <arpa/inet.h>
#include <fstream>
#include <sstream>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <yaml-cpp/yaml.h>

#include "Common/Number.h"
#include "Common/StringView.h"

namespace magnolia::common {
namespace {

using std::chrono::microseconds;

constexpr uint32_t MaxPort = 65535;

struct duration_unit {
  std::string_view Suffix;
  microseconds Length;
};

// Longer suffixes first: "ms" ends with "s".
constexpr duration_unit DurationUnits[] = {
    {"us", microseconds(1)},        {"ms", std::chrono::milliseconds(1)},
    {"s", std::chrono::seconds(1)}, {"m", std::chrono::minutes(1)},
    {"h", std::chrono::hours(1)},
};

/// Just below the maximum of int64_t.
constexpr double MaxMicros = 9e18;

/// Infinite for a number that is too large for its type.
std::optional<double> parseMicros(std::string_view Text) {
  for (const duration_unit &Unit : DurationUnits) {
    if (!Text.ends_with(Unit.Suffix))
      continue;
    Text.remove_suffix(Unit.Suffix.size());
    const auto Count = parseNumber(Text);
    if (!Count || *Count < 0)
      return std::nullopt;
    return *Count * static_cast<double>(Unit.Length.count());
  }
  return std::nullopt;
}

} // namespace

std::optional<microseconds> parseDuration(std::string_view Text) {
  const auto Micros = parseMicros(Text);
  if (!Micros || !(*Micros < MaxMicros))
    return std::nullopt;
  return microseconds(static_cast<int64_t>(*Micros));
}

std::optional<microseconds> parseDurationUpTo(std::string_view Text,
                                              microseconds Longest) {
  const auto Micros = parseMicros(Text);
  if (!Micros)
    return std::nullopt;
  if (*Micros >= static_cast<double>(Longest.count()))
    return Longest;
  return microseconds(static_cast<int64_t>(*Micros));
}

bool isAddress(std::string_view Text) {
  const size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return false;
  const std::string Host(Text.substr(0, Colon));
  in_addr Ignored{};
  if (inet_pton(AF_INET, Host.c_str(), &Ignored) != 1)
    return false;
  uint32_t Port = 0;
  return absl::SimpleAtoi(toAbsl(Text.substr(Colon + 1)), &Port) &&
         Port <= MaxPort;
}

void yaml_errors::add(int Line, std::string_view Key,
                      std::string_view Message) {
  Errors.push_back({Line, std::string(Key), std::string(Message)});
}

std::string yaml_errors::toText(const yaml_error &Error) const {
  std::string Text = File;
  if (Error.Line > 0)
    absl::StrAppend(&Text, ":", Error.Line);
  absl::StrAppend(&Text, ": ");
  if (!Error.Key.empty())
    absl::StrAppend(&Text, Error.Key, ": ");
  absl::StrAppend(&Text, Error.Message);
  return Text;
}

absl::Status yaml_errors::status() const {
  if (Errors.empty())
    return absl::OkStatus();
  return absl::InvalidArgumentError(absl::StrJoin(
      Errors, "\n", [this](std::string *Text, const yaml_error &Error) {
        absl::StrAppend(Text, toText(Error));
      }));
}

yaml_section::yaml_section(const YAML::Node &Node, std::string Path,
                           yaml_errors &Errors)
    : Node(std::make_unique<YAML::Node>(Node)), Path(std::move(Path)),
      Errors(&Errors) {
  if (Node.IsMap() || !Node.IsDefined() || Node.IsNull())
    return;
  Errors.add(Node.Mark().line + 1, this->Path, "must be a mapping");
  *this->Node = YAML::Node();
}

yaml_section::~yaml_section() = default;
yaml_section::yaml_section(yaml_section &&) noexcept = default;

bool yaml_section::has(std::string_view Key) const {
  return Node->IsMap() && (*Node)[std::string(Key)].IsDefined();
}

std::string yaml_section::pathOf(std::string_view Key) const {
  if (Path.empty())
    return std::string(Key);
  return absl::StrCat(Path, ".", toAbsl(Key));
}

int yaml_section::lineOf(std::string_view Key) const {
  if (has(Key))
    return (*Node)[std::string(Key)].Mark().line + 1;
  return Node->Mark().line + 1;
}

void yaml_section::fail(std::string_view Key, std::string_view Message) {
  Errors->add(lineOf(Key), pathOf(Key), Message);
}

std::optional<std::string> yaml_section::scalar(std::string_view Key,
                                                bool Required) {
  Known.emplace(Key);
  if (!has(Key)) {
    if (Required)
      fail(Key, "is missing");
    return std::nullopt;
  }
  const YAML::Node Value = (*Node)[std::string(Key)];
  if (!Value.IsScalar()) {
    fail(Key, "must be a single value");
    return std::nullopt;
  }
  return Value.Scalar();
}

std::string yaml_section::text(std::string_view Key,
                               std::optional<std::string_view> Default) {
  const auto Value = scalar(Key, !Default);
  if (!Value)
    return std::string(Default.value_or(""));
  if (Value->empty() && !Default)
    fail(Key, "must not be empty");
  return *Value;
}

double yaml_section::number(std::string_view Key,
                            std::optional<double> Default) {
  const auto Value = scalar(Key, !Default);
  double Number = Default.value_or(0);
  if (Value && !absl::SimpleAtod(*Value, &Number))
    fail(Key, absl::StrCat("'", *Value, "' is not a number"));
  return Number;
}

int64_t yaml_section::integer(std::string_view Key,
                              std::optional<int64_t> Default) {
  const auto Value = scalar(Key, !Default);
  int64_t Number = Default.value_or(0);
  if (Value && !absl::SimpleAtoi(*Value, &Number))
    fail(Key, absl::StrCat("'", *Value, "' is not a whole number"));
  return Number;
}

bool yaml_section::boolean(std::string_view Key, std::optional<bool> Default) {
  const auto Value = scalar(Key, !Default);
  bool Flag = Default.value_or(false);
  if (!Value)
    return Flag;
  if (*Value == "true" || *Value == "false")
    return *Value == "true";
  fail(Key, absl::StrCat("'", *Value, "' is neither true nor false"));
  return Flag;
}

microseconds yaml_section::duration(std::string_view Key,
                                    std::optional<microseconds> Default) {
  const auto Value = scalar(Key, !Default);
  if (!Value)
    return Default.value_or(microseconds::zero());
  if (const auto Duration = parseDuration(*Value))
    return *Duration;
  fail(Key, absl::StrCat("'", *Value,
                         "' is not a duration with a unit (us, ms, s, m, h)"));
  return Default.value_or(microseconds::zero());
}

std::string yaml_section::address(std::string_view Key,
                                  std::optional<std::string_view> Default) {
  const auto Value = scalar(Key, !Default);
  if (!Value)
    return std::string(Default.value_or(""));
  if (!isAddress(*Value))
    fail(Key, absl::StrCat("'", *Value, "' is not an IPv4:port address"));
  return *Value;
}

yaml_section yaml_section::section(std::string_view Key) {
  Known.emplace(Key);
  if (!has(Key))
    return {YAML::Node(), pathOf(Key), *Errors};
  return {(*Node)[std::string(Key)], pathOf(Key), *Errors};
}

std::vector<yaml_section> yaml_section::sections(std::string_view Key) {
  Known.emplace(Key);
  std::vector<yaml_section> Sections;
  if (!has(Key))
    return Sections;
  const YAML::Node List = (*Node)[std::string(Key)];
  if (!List.IsSequence()) {
    fail(Key, "must be a list");
    return Sections;
  }
  for (size_t Index = 0; Index < List.size(); ++Index)
    Sections.emplace_back(List[Index],
                          absl::StrCat(pathOf(Key), "[", Index, "]"), *Errors);
  return Sections;
}

std::vector<std::string> yaml_section::texts(std::string_view Key) {
  Known.emplace(Key);
  std::vector<std::string> Texts;
  if (!has(Key))
    return Texts;
  const YAML::Node List = (*Node)[std::string(Key)];
  if (!List.IsSequence()) {
    fail(Key, "must be a list");
    return Texts;
  }
  for (const YAML::Node &Item : List) {
    if (Item.IsScalar())
      Texts.push_back(Item.Scalar());
    else
      Errors->add(Item.Mark().line + 1, pathOf(Key),
                  "must be a list of single values");
  }
  return Texts;
}

void yaml_section::finish() {
  if (!Node->IsMap())
    return;
  std::set<std::string> Seen;
  for (const auto &Pair : *Node) {
    const std::string Key = Pair.first.Scalar();
    const int Line = Pair.first.Mark().line + 1;
    if (!Known.contains(Key))
      Errors->add(Line, pathOf(Key), "is not a known key");
    else if (!Seen.insert(Key).second)
      Errors->add(Line, pathOf(Key), "is a duplicate key");
  }
}

yaml_section parseYaml(std::string_view Text, yaml_errors &Errors) {
  try {
    return {YAML::Load(std::string(Text)), "", Errors};
  } catch (const YAML::Exception &Exception) {
    Errors.add(Exception.mark.line + 1, "", Exception.msg);
    return {YAML::Node(), "", Errors};
  }
}

absl::StatusOr<std::string> readFile(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  if (!File)
    return absl::NotFoundError(absl::StrCat("cannot read ", Path));
  // A directory can be opened and not read.
  File.peek();
  if (File.bad())
    return absl::NotFoundError(absl::StrCat("cannot read ", Path));
  std::ostringstream Content;
  Content << File.rdbuf();
  return Content.str();
}

} // namespace magnolia::common
