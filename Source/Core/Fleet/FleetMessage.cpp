#include "Fleet/FleetMessage.h"

#include <nlohmann/json.hpp>

#include "Common/Digest.h"
#include "Fleet/FleetMessageKinds.h"

namespace magnolia::fleet {
namespace {

using json = nlohmann::json;

json toJson(const hello_message &Hello) {
  const instance_identity &Identity = Hello.Identity;
  return json::array(
      {HelloKind, Hello.Boot, Identity.Name, Identity.FailureDomain,
       Identity.PeerAddress, Identity.CallerAddress,
       static_cast<int>(Hello.State), Hello.WantsReply, Hello.Uptime.count(),
       Identity.Strength.Millicores, Identity.Strength.LinkKbits});
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
  json SecondSends = json::array();
  for (const service_total &Total : Totals) {
    Flat.push_back(Total.Key);
    Flat.push_back(Total.Requests);
    Flat.push_back(Total.ExtraAttempts);
    Flat.push_back(Total.Failed);
    if (Total.TimedSends == 0 && Total.SecondSends == 0)
      continue;
    SecondSends.push_back(Total.Key);
    SecondSends.push_back(Total.SecondSends);
    SecondSends.push_back(Total.TimedSends);
    SecondSends.push_back(Total.LateSends);
  }
  // Versions before these counts ignore what is left of an incomplete group.
  if (!SecondSends.empty())
    Flat.push_back(std::move(SecondSends));
  return Flat;
}

json toJson(const std::vector<target_event> &Events) {
  json Flat = json::array();
  for (const target_event &Event : Events) {
    Flat.push_back(Event.Target);
    Flat.push_back(static_cast<int>(Event.Evidence));
    Flat.push_back(Event.AgeMs);
  }
  return Flat;
}

json toJson(const std::vector<limit_report> &Limits) {
  json Flat = json::array();
  for (const limit_report &Report : Limits) {
    Flat.push_back(Report.Target);
    Flat.push_back(Report.PerSecond ? json(*Report.PerSecond) : json());
    Flat.push_back(Report.AgeMs);
    Flat.push_back(Report.Requests);
  }
  return Flat;
}

json toJson(const std::vector<suspect_report> &Suspects) {
  json Flat = json::array();
  for (const suspect_report &Report : Suspects) {
    json Runs = json::array();
    for (const suspect_report::run &Run : Report.Runs) {
      Runs.push_back(Run.Target);
      Runs.push_back(Run.RanMs);
      Runs.push_back(Run.AgeMs);
    }
    Flat.push_back(Report.Fingerprint);
    Flat.push_back(Report.CompletedAgeMs ? json(*Report.CompletedAgeMs)
                                         : json());
    Flat.push_back(std::move(Runs));
  }
  return Flat;
}

json toJson(const events_message &Events) {
  return json::array(
      {EventsKind, Events.Boot, Events.First, toJson(Events.Events)});
}

json toJson(const std::array<table_status, TableCount> &Tables) {
  json Flat = json::array();
  if (!isStated(Tables))
    return Flat;
  for (const table_status &Status : Tables) {
    Flat.push_back(Status.Position.Version);
    Flat.push_back(Status.Digest);
  }
  for (const table_status &Status : Tables)
    Flat.push_back(Status.Position.Era);
  return Flat;
}

json toJson(const configuration_offer &Offer) {
  return json::array({Offer.Version, Offer.Content, Offer.Position.Era,
                      Offer.Position.Version});
}

json toJson(const update_message &Update) {
  json InFlight = json::array();
  for (const auto &Entry : Update.InFlight) {
    InFlight.push_back(Entry.Key);
    InFlight.push_back(Entry.Count);
  }
  const int State = static_cast<int>(Update.State) +
                    ReadingFactor * static_cast<int>(Update.Reading);
  json Flat = json::array({UpdateKind, Update.Boot, State, Update.Number,
                           toJson(Update.Tables), toJson(Update.Workspaces),
                           toJson(Update.Services), std::move(InFlight),
                           Update.FirstEvent, toJson(Update.Events),
                           toJson(Update.Limits), toJson(Update.Suspects)});
  if (Update.LostConfiguration)
    Flat.push_back(toJson(*Update.LostConfiguration));
  return Flat;
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
  return json::array({RowsKind, static_cast<int>(Rows.Table),
                      toJson(absl::MakeConstSpan(Rows.Rows)), Rows.Era});
}

json toJson(const bundle_message &Bundle) {
  json Flat = json::array();
  for (const bundled_message &Each : Bundle.Messages) {
    Flat.push_back(Each.Origin);
    Flat.push_back(json::binary_t({Each.Bytes.begin(), Each.Bytes.end()}));
  }
  return json::array(
      {BundleKind, static_cast<int>(Bundle.Route), std::move(Flat)});
}

} // namespace

bool isStated(const std::array<table_status, TableCount> &Tables) {
  return std::any_of(
      Tables.begin(), Tables.end(),
      [](const table_status &Status) { return Status.Position.Version > 0; });
}

std::string encode(const message &Message) {
  const json Value =
      std::visit([](const auto &Kind) { return toJson(Kind); }, Message);
  std::string Bytes;
  json::to_cbor(Value, Bytes);
  return Bytes;
}

std::string encodeContent(const table_content &Content) {
  std::string Bytes;
  json::to_cbor(json::array({Content.Position.Version, Content.ChangesOnly,
                             toJson(absl::MakeConstSpan(Content.Rows)),
                             Content.Position.Era}),
                Bytes);
  return Bytes;
}

uint32_t usageKey(std::string_view Name) {
  return static_cast<uint32_t>(common::stableHash(Name));
}

uint32_t rankKey(std::string_view Service, size_t Rank) {
  std::string Name(Service);
  Name += '#';
  Name += std::to_string(Rank);
  return usageKey(Name);
}

} // namespace magnolia::fleet
