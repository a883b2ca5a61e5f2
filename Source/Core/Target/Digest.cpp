#include "Target/Digest.h"

#include <cmath>

#include <nlohmann/json.hpp>

namespace magnolia::target {
namespace {

using nlohmann::json;

/// Sums are sent as integers in hundredths, which CBOR encodes compactly.
constexpr double SumScale = 100;

int64_t toHundredths(double Value) { return std::llround(Value * SumScale); }

double fromHundredths(const json &Value) {
  return static_cast<double>(Value.get<int64_t>()) / SumScale;
}

json toJson(const target_report &Report) {
  const evidence_summary &Sums = Report.Evidence;
  return json::array({Report.Service, Report.Target, toHundredths(Sums.Weight),
                      toHundredths(Sums.Faults), toHundredths(Sums.Responses),
                      toHundredths(Sums.LogLatencySum),
                      toHundredths(Sums.Suspicion), Report.Drain.Incarnation,
                      Report.Drain.Sequence, Report.Drain.Draining});
}

target_report reportFrom(const json &Value) {
  target_report Report;
  Report.Service = Value.at(0).get<std::string>();
  Report.Target = Value.at(1).get<std::string>();
  Report.Evidence = {fromHundredths(Value.at(2)), fromHundredths(Value.at(3)),
                     fromHundredths(Value.at(4)), fromHundredths(Value.at(5)),
                     fromHundredths(Value.at(6))};
  Report.Drain = {Value.at(7).get<uint64_t>(), Value.at(8).get<uint64_t>(),
                  Value.at(9).get<bool>()};
  return Report;
}

json toJson(const ejection_list &List) {
  return json::array({List.Service, List.Term.count(), List.Targets});
}

ejection_list ejectionsFrom(const json &Value) {
  return {Value.at(0).get<std::string>(), duration(Value.at(1).get<int64_t>()),
          Value.at(2).get<std::vector<std::string>>()};
}

json toJson(const digest_echo &Echo) {
  return json::array(
      {Echo.Instance, Echo.Incarnation, Echo.Stamp.time_since_epoch().count()});
}

template <typename Item> json listOf(const std::vector<Item> &Items) {
  json List = json::array();
  for (const Item &Each : Items)
    List.push_back(toJson(Each));
  return List;
}

boot_time stampFrom(const json &Value) {
  return boot_time(duration(Value.get<int64_t>()));
}

digest digestFrom(const json &Value) {
  digest Digest;
  Digest.Instance = Value.at(0).get<std::string>();
  Digest.Incarnation = Value.at(1).get<uint64_t>();
  Digest.FailureDomain = Value.at(2).get<std::string>();
  Digest.Stamp = stampFrom(Value.at(3));
  for (const json &Echo : Value.at(4))
    Digest.Echoes.push_back({Echo.at(0).get<std::string>(),
                             Echo.at(1).get<uint64_t>(),
                             stampFrom(Echo.at(2))});
  for (const json &Report : Value.at(5))
    Digest.Reports.push_back(reportFrom(Report));
  for (const json &List : Value.at(6))
    Digest.Ejections.push_back(ejectionsFrom(List));
  return Digest;
}

} // namespace

std::string encode(const digest &Digest) {
  const json Value = json::array(
      {Digest.Instance, Digest.Incarnation, Digest.FailureDomain,
       Digest.Stamp.time_since_epoch().count(), listOf(Digest.Echoes),
       listOf(Digest.Reports), listOf(Digest.Ejections)});
  std::string Bytes;
  json::to_cbor(Value, Bytes);
  return Bytes;
}

absl::StatusOr<digest> decodeDigest(std::string_view Bytes) {
  try {
    return digestFrom(json::from_cbor(Bytes));
  } catch (const json::exception &Error) {
    return absl::InvalidArgumentError(Error.what());
  }
}

} // namespace magnolia::target
