#include <algorithm>

#include <nlohmann/json.hpp>

#include "Fleet/FleetMessage.h"
#include "Fleet/FleetMessageKinds.h"

namespace magnolia::fleet {
namespace {

using json = nlohmann::json;

std::string textFrom(const json &Value) {
  const json::binary_t &Bytes = Value.get_binary();
  return {Bytes.begin(), Bytes.end()};
}

std::vector<stored_row> rowsFrom(const json &Flat) {
  std::vector<stored_row> Rows;
  for (size_t Index = 0; Index + 2 < Flat.size(); Index += 3) {
    stored_row Row;
    Row.Key = textFrom(Flat[Index]);
    Row.Version = Flat[Index + 1].get<uint64_t>();
    Row.Removed = Flat[Index + 2].is_null();
    if (!Row.Removed)
      Row.Value = textFrom(Flat[Index + 2]);
    Rows.push_back(std::move(Row));
  }
  return Rows;
}

/// An era at \p Index. Senders of versions before this field do not send it.
uint64_t eraFrom(const json &Value, size_t Index) {
  return Index < Value.size() ? Value[Index].get<uint64_t>() : 0;
}

absl::StatusOr<message> rowsMessageFrom(const json &Value) {
  rows_message Rows;
  const auto Table = Value.at(1).get<uint32_t>();
  if (Table >= static_cast<uint32_t>(table_id::Count))
    return absl::InvalidArgumentError("rows message names an unknown table");
  Rows.Table = static_cast<table_id>(Table);
  Rows.Rows = rowsFrom(Value.at(2));
  Rows.Era = eraFrom(Value, 3);
  return Rows;
}

absl::StatusOr<message> bundleFrom(const json &Value) {
  bundle_message Bundle;
  const auto Route = Value.at(1).get<uint32_t>();
  if (Route >= static_cast<uint32_t>(bundle_route::Count))
    return absl::InvalidArgumentError("bundle with an unknown route");
  Bundle.Route = static_cast<bundle_route>(Route);
  const json &Flat = Value.at(2);
  for (size_t Index = 0; Index + 1 < Flat.size(); Index += 2)
    Bundle.Messages.push_back(
        {Flat[Index].get<std::string>(), textFrom(Flat[Index + 1])});
  return Bundle;
}

std::array<table_status, TableCount> tablesFrom(const json &Flat) {
  std::array<table_status, TableCount> Tables;
  for (size_t Index = 0; Index < TableCount && 2 * Index + 1 < Flat.size();
       ++Index)
    Tables.at(Index) = {{eraFrom(Flat, 2 * TableCount + Index),
                         Flat[2 * Index].get<uint64_t>()},
                        Flat[2 * Index + 1].get<uint32_t>()};
  return Tables;
}

instance_state stateFrom(int Number) {
  if (Number < 0 || Number > static_cast<int>(instance_state::Draining))
    return instance_state::Starting;
  return static_cast<instance_state>(Number);
}

reading_state readingFrom(int Number) {
  if (Number < 0 || Number > static_cast<int>(reading_state::LongSteady))
    return reading_state::NotReading;
  return static_cast<reading_state>(Number);
}

/// The strength of a machine at \p Index and behind it. A figure that no
/// machine has counts as unknown, since all others would seem weak beside it.
machine_strength strengthFrom(const json &Value, size_t Index) {
  machine_strength Strength = {Value.at(Index).get<uint32_t>(),
                               Value.at(Index + 1).get<uint32_t>()};
  if (Strength.Millicores > MaxMillicores)
    Strength.Millicores = 0;
  if (Strength.LinkKbits > MaxLinkKbits)
    Strength.LinkKbits = 0;
  return Strength;
}

hello_message helloFrom(const json &Value) {
  hello_message Hello;
  Hello.Boot = Value.at(1).get<uint64_t>();
  Hello.Identity.Name = Value.at(2).get<std::string>();
  Hello.Identity.FailureDomain = Value.at(3).get<std::string>();
  Hello.Identity.PeerAddress = Value.at(4).get<std::string>();
  Hello.Identity.CallerAddress = Value.at(5).get<std::string>();
  Hello.State = stateFrom(Value.at(6).get<int>());
  Hello.WantsReply = Value.at(7).get<bool>();
  // Senders of versions before this field do not send their uptime.
  if (Value.size() > 8)
    Hello.Uptime = std::chrono::milliseconds(Value[8].get<int64_t>());
  if (Value.size() > 10)
    Hello.Identity.Strength = strengthFrom(Value, 9);
  return Hello;
}

std::vector<workspace_total> workspacesFrom(const json &Flat) {
  std::vector<workspace_total> Totals;
  for (size_t Index = 0; Index + 1 < Flat.size(); Index += 2)
    Totals.push_back(
        {Flat[Index].get<uint32_t>(), Flat[Index + 1].get<uint64_t>()});
  return Totals;
}

/// Adds the counts of second sends to the totals of the same service.
void addSecondSends(const json &Flat, std::vector<service_total> &Totals) {
  for (size_t Index = 0; Index + 3 < Flat.size(); Index += 4) {
    const auto Key = Flat[Index].get<uint32_t>();
    const auto Total = std::find_if(
        Totals.begin(), Totals.end(),
        [&](const service_total &Each) { return Each.Key == Key; });
    if (Total == Totals.end())
      continue;
    Total->SecondSends = Flat[Index + 1].get<uint64_t>();
    Total->TimedSends = Flat[Index + 2].get<uint64_t>();
    Total->LateSends = Flat[Index + 3].get<uint64_t>();
  }
}

std::vector<service_total> servicesFrom(const json &Flat) {
  std::vector<service_total> Totals;
  for (size_t Index = 0; Index + 3 < Flat.size(); Index += 4)
    Totals.push_back(
        {Flat[Index].get<uint32_t>(), Flat[Index + 1].get<uint64_t>(),
         Flat[Index + 2].get<uint64_t>(), Flat[Index + 3].get<uint64_t>()});
  if (!Flat.empty() && Flat.back().is_array())
    addSecondSends(Flat.back(), Totals);
  return Totals;
}

std::vector<target_event> eventsFrom(const json &Flat) {
  std::vector<target_event> Events;
  for (size_t Index = 0; Index + 2 < Flat.size(); Index += 3) {
    const auto Kind = Flat[Index + 1].get<uint32_t>();
    // Dropping an unknown kind would shift the numbers of those behind it.
    if (Kind >= static_cast<uint32_t>(placement::evidence::Count))
      break;
    Events.push_back({Flat[Index].get<uint32_t>(),
                      static_cast<placement::evidence>(Kind),
                      Flat[Index + 2].get<uint32_t>()});
  }
  return Events;
}

std::vector<limit_report> limitsFrom(const json &Flat) {
  std::vector<limit_report> Limits;
  for (size_t Index = 0; Index + 3 < Flat.size(); Index += 4) {
    limit_report Report;
    Report.Target = Flat[Index].get<uint32_t>();
    if (!Flat[Index + 1].is_null())
      Report.PerSecond = Flat[Index + 1].get<double>();
    Report.AgeMs = Flat[Index + 2].get<uint32_t>();
    Report.Requests = Flat[Index + 3].get<uint64_t>();
    Limits.push_back(Report);
  }
  return Limits;
}

std::vector<suspect_report> suspectsFrom(const json &Flat) {
  std::vector<suspect_report> Suspects;
  for (size_t Index = 0; Index + 2 < Flat.size(); Index += 3) {
    suspect_report Report;
    Report.Fingerprint = Flat[Index].get<uint64_t>();
    if (!Flat[Index + 1].is_null())
      Report.CompletedAgeMs = Flat[Index + 1].get<uint32_t>();
    const json &Runs = Flat[Index + 2];
    for (size_t Run = 0; Run + 2 < Runs.size(); Run += 3)
      Report.Runs.push_back({Runs[Run].get<uint32_t>(),
                             Runs[Run + 1].get<uint32_t>(),
                             Runs[Run + 2].get<uint32_t>()});
    Suspects.push_back(std::move(Report));
  }
  return Suspects;
}

configuration_offer offerFrom(const json &Flat) {
  return {Flat.at(0).get<uint64_t>(),
          Flat.at(1).get<uint64_t>(),
          {Flat.at(2).get<uint64_t>(), Flat.at(3).get<uint64_t>()}};
}

update_message updateFrom(const json &Value) {
  update_message Update;
  Update.Boot = Value.at(1).get<uint64_t>();
  const int State = Value.at(2).get<int>();
  Update.State = stateFrom(State % ReadingFactor);
  Update.Reading = readingFrom(State / ReadingFactor);
  Update.Number = Value.at(3).get<uint64_t>();
  Update.Tables = tablesFrom(Value.at(4));
  Update.Workspaces = workspacesFrom(Value.at(5));
  Update.Services = servicesFrom(Value.at(6));
  const json &InFlight = Value.at(7);
  for (size_t Index = 0; Index + 1 < InFlight.size(); Index += 2)
    Update.InFlight.push_back(
        {InFlight[Index].get<uint32_t>(), InFlight[Index + 1].get<uint32_t>()});
  Update.FirstEvent = Value.at(8).get<uint64_t>();
  Update.Events = eventsFrom(Value.at(9));
  // Senders of versions before these fields do not send them.
  if (Value.size() > 10)
    Update.Limits = limitsFrom(Value[10]);
  if (Value.size() > 11)
    Update.Suspects = suspectsFrom(Value[11]);
  if (Value.size() > 12)
    Update.LostConfiguration = offerFrom(Value[12]);
  return Update;
}

events_message eventsMessageFrom(const json &Value) {
  events_message Events;
  Events.Boot = Value.at(1).get<uint64_t>();
  Events.First = Value.at(2).get<uint64_t>();
  Events.Events = eventsFrom(Value.at(3));
  return Events;
}

/// Depth of the deepest message with room to grow.
constexpr size_t MaxDepth = 32;
/// A message of less bytes cannot nest so deeply that decoding it exhausts the
/// stack.
constexpr size_t HarmlessBytes = 4096;

/// Reads CBOR without keeping it, to measure how deeply it nests.
class depth_check : public json::json_sax_t {
public:
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(json::number_integer_t) override { return true; }
  bool number_unsigned(json::number_unsigned_t) override { return true; }
  bool number_float(json::number_float_t, const std::string &) override {
    return true;
  }
  bool string(std::string &) override { return true; }
  bool binary(json::binary_t &) override { return true; }
  bool start_object(size_t) override { return ++Depth <= MaxDepth; }
  bool key(std::string &) override { return true; }
  bool end_object() override { return leave(); }
  bool start_array(size_t) override { return ++Depth <= MaxDepth; }
  bool end_array() override { return leave(); }
  bool parse_error(size_t, const std::string &,
                   const nlohmann::detail::exception &) override {
    return false;
  }

  bool tooDeep() const { return Depth > MaxDepth; }

private:
  bool leave() {
    --Depth;
    return true;
  }

  size_t Depth = 0;
};

/// Throws json::exception if \p Bytes are no CBOR.
absl::StatusOr<json> parse(std::string_view Bytes) {
  if (Bytes.size() > HarmlessBytes) {
    depth_check Check;
    json::sax_parse(Bytes, &Check, json::input_format_t::cbor);
    if (Check.tooDeep())
      return absl::InvalidArgumentError("the message nests too deeply");
  }
  return json::from_cbor(Bytes);
}

} // namespace

absl::StatusOr<message> decode(std::string_view Bytes) {
  try {
    const absl::StatusOr<json> Parsed = parse(Bytes);
    if (!Parsed.ok())
      return Parsed.status();
    const json &Value = *Parsed;
    const int Kind = Value.at(0).get<int>();
    if (Kind == HelloKind)
      return helloFrom(Value);
    if (Kind == UpdateKind)
      return updateFrom(Value);
    if (Kind == EventsKind)
      return eventsMessageFrom(Value);
    if (Kind == RowsKind)
      return rowsMessageFrom(Value);
    if (Kind == BundleKind)
      return bundleFrom(Value);
  } catch (const json::exception &Error) {
    return absl::InvalidArgumentError(Error.what());
  }
  return absl::InvalidArgumentError("unknown kind of fleet message");
}

absl::StatusOr<table_content> decodeContent(std::string_view Bytes) {
  try {
    const absl::StatusOr<json> Parsed = parse(Bytes);
    if (!Parsed.ok())
      return Parsed.status();
    const json &Value = *Parsed;
    table_content Content;
    Content.Position = {eraFrom(Value, 3), Value.at(0).get<uint64_t>()};
    Content.ChangesOnly = Value.at(1).get<bool>();
    Content.Rows = rowsFrom(Value.at(2));
    return Content;
  } catch (const json::exception &Error) {
    return absl::InvalidArgumentError(Error.what());
  }
}

} // namespace magnolia::fleet
