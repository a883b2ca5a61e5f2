#include "Fleet/FleetMessage.h"

#include <nlohmann/json.hpp>

#include "Common/Digest.h"

namespace magnolia::fleet {
namespace {

using json = nlohmann::json;

// The first element of a message is its kind.
constexpr int HelloKind = 1;
constexpr int UpdateKind = 2;
constexpr int RowsKind = 3;
constexpr int RelayedKind = 4;
// instance_state and reading_state are encoded in one number.
constexpr int ReadingFactor = 8;

json toJson(const hello_message &Hello) {
  const instance_identity &Identity = Hello.Identity;
  return json::array({HelloKind, Hello.Boot, Identity.Name,
                      Identity.FailureDomain, Identity.PeerAddress,
                      Identity.CallerAddress, static_cast<int>(Hello.State),
                      Hello.WantsReply, Hello.Uptime.count()});
}

json toJson(const std::vector<workspace_total> &Totals) {
  json Flat = json::array();
  for (const workspace_total &Total : Totals) {
    Flat.push_back(Total.Key);
    Flat.push_back(Total.Requests);
  }
  return Flat;
}

json toJson(const std::vector<service_total> &Totals) {
  json Flat = json::array();
  for (const service_total &Total : Totals) {
    Flat.push_back(Total.Key);
    Flat.push_back(Total.Requests);
    Flat.push_back(Total.ExtraAttempts);
    Flat.push_back(Total.Failed);
  }
  return Flat;
}

json toJson(const update_message &Update) {
  json InFlight = json::array();
  for (const auto &Entry : Update.InFlight) {
    InFlight.push_back(Entry.Key);
    InFlight.push_back(Entry.Count);
  }
  json Events = json::array();
  for (const target_event &Event : Update.Events) {
    Events.push_back(Event.Target);
    Events.push_back(static_cast<int>(Event.Evidence));
    Events.push_back(Event.AgeMs);
  }
  const int State = static_cast<int>(Update.State) +
                    ReadingFactor * static_cast<int>(Update.Reading);
  return json::array(
      {UpdateKind, Update.Boot, State, Update.ConfigurationChange,
       Update.TargetsChange, toJson(Update.Workspaces), toJson(Update.Services),
       std::move(InFlight), Update.FirstEvent, std::move(Events)});
}

json toJson(absl::Span<const stored_row> Rows) {
  json Flat = json::array();
  for (const stored_row &Row : Rows) {
    Flat.push_back(json::binary_t({Row.Key.begin(), Row.Key.end()}));
    Flat.push_back(Row.Version);
    if (Row.Removed)
      Flat.push_back(nullptr);
    else
      Flat.push_back(json::binary_t({Row.Value.begin(), Row.Value.end()}));
  }
  return Flat;
}

json toJson(const rows_message &Rows) {
  return json::array({RowsKind, Rows.Boot, static_cast<int>(Rows.Table),
                      Rows.After, toJson(absl::MakeConstSpan(Rows.Rows))});
}

json toJson(const relayed_message &Relayed) {
  return json::array(
      {RelayedKind, Relayed.Origin, Relayed.Forward,
       json::binary_t({Relayed.Bytes.begin(), Relayed.Bytes.end()})});
}

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

absl::StatusOr<message> rowsMessageFrom(const json &Value) {
  rows_message Rows;
  Rows.Boot = Value.at(1).get<uint64_t>();
  const auto Table = Value.at(2).get<uint32_t>();
  if (Table >= static_cast<uint32_t>(table_id::Count))
    return absl::InvalidArgumentError("rows message names an unknown table");
  Rows.Table = static_cast<table_id>(Table);
  Rows.After = Value.at(3).get<uint64_t>();
  Rows.Rows = rowsFrom(Value.at(4));
  return Rows;
}

relayed_message relayedFrom(const json &Value) {
  relayed_message Relayed;
  Relayed.Origin = Value.at(1).get<std::string>();
  Relayed.Forward = Value.at(2).get<bool>();
  Relayed.Bytes = textFrom(Value.at(3));
  return Relayed;
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
  return Hello;
}

std::vector<workspace_total> workspacesFrom(const json &Flat) {
  std::vector<workspace_total> Totals;
  for (size_t Index = 0; Index + 1 < Flat.size(); Index += 2)
    Totals.push_back(
        {Flat[Index].get<uint32_t>(), Flat[Index + 1].get<uint64_t>()});
  return Totals;
}

std::vector<service_total> servicesFrom(const json &Flat) {
  std::vector<service_total> Totals;
  for (size_t Index = 0; Index + 3 < Flat.size(); Index += 4)
    Totals.push_back(
        {Flat[Index].get<uint32_t>(), Flat[Index + 1].get<uint64_t>(),
         Flat[Index + 2].get<uint64_t>(), Flat[Index + 3].get<uint64_t>()});
  return Totals;
}

update_message updateFrom(const json &Value) {
  update_message Update;
  Update.Boot = Value.at(1).get<uint64_t>();
  const int State = Value.at(2).get<int>();
  Update.State = stateFrom(State % ReadingFactor);
  Update.Reading = readingFrom(State / ReadingFactor);
  Update.ConfigurationChange = Value.at(3).get<uint64_t>();
  Update.TargetsChange = Value.at(4).get<uint64_t>();
  Update.Workspaces = workspacesFrom(Value.at(5));
  Update.Services = servicesFrom(Value.at(6));
  const json &InFlight = Value.at(7);
  for (size_t Index = 0; Index + 1 < InFlight.size(); Index += 2)
    Update.InFlight.push_back(
        {InFlight[Index].get<uint32_t>(), InFlight[Index + 1].get<uint32_t>()});
  Update.FirstEvent = Value.at(8).get<uint64_t>();
  const json &Events = Value.at(9);
  for (size_t Index = 0; Index + 2 < Events.size(); Index += 3) {
    const auto Kind = Events[Index + 1].get<uint32_t>();
    if (Kind >= static_cast<uint32_t>(placement::evidence::Count))
      continue;
    Update.Events.push_back({Events[Index].get<uint32_t>(),
                             static_cast<placement::evidence>(Kind),
                             Events[Index + 2].get<uint32_t>()});
  }
  return Update;
}

} // namespace

std::string encode(const message &Message) {
  const json Value =
      std::visit([](const auto &Kind) { return toJson(Kind); }, Message);
  std::string Bytes;
  json::to_cbor(Value, Bytes);
  return Bytes;
}

absl::StatusOr<message> decode(std::string_view Bytes) {
  try {
    const json Value = json::from_cbor(Bytes);
    const int Kind = Value.at(0).get<int>();
    if (Kind == HelloKind)
      return helloFrom(Value);
    if (Kind == UpdateKind)
      return updateFrom(Value);
    if (Kind == RowsKind)
      return rowsMessageFrom(Value);
    if (Kind == RelayedKind)
      return relayedFrom(Value);
  } catch (const json::exception &Error) {
    return absl::InvalidArgumentError(Error.what());
  }
  return absl::InvalidArgumentError("unknown kind of fleet message");
}

std::string encodeSnapshot(absl::Span<const stored_row> Rows,
                           uint64_t Version) {
  std::string Bytes;
  json::to_cbor(json::array({Version, toJson(Rows)}), Bytes);
  return Bytes;
}

absl::StatusOr<table_snapshot> decodeSnapshot(std::string_view Bytes) {
  try {
    const json Value = json::from_cbor(Bytes);
    table_snapshot Table;
    Table.Version = Value.at(0).get<uint64_t>();
    Table.Rows = rowsFrom(Value.at(1));
    return Table;
  } catch (const json::exception &Error) {
    return absl::InvalidArgumentError(Error.what());
  }
}

uint32_t usageKey(std::string_view Name) {
  return static_cast<uint32_t>(common::stableHash(Name));
}

} // namespace magnolia::fleet
