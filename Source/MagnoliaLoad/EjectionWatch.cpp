#include "MagnoliaLoad/EjectionWatch.h"

#include <absl/strings/str_split.h>

#include "Common/StringView.h"

namespace magnolia::load {
namespace {

constexpr std::chrono::seconds PollTimeout{1};
constexpr std::string_view StandingSeries = "magnolia_target_standing{";
constexpr std::string_view AvoidedLabel = "standing=\"avoided\"";
constexpr std::string_view EjectedLabel = "standing=\"ejected\"";
constexpr std::string_view TargetLabel = "target=\"";

bool holds(std::string_view Line, std::string_view Part) {
  return Line.find(Part) != std::string_view::npos;
}

/// The target that a line of the metrics page shows as left out, else empty.
std::string_view leftOutTarget(std::string_view Line) {
  const bool IsLeftOut =
      Line.starts_with(StandingSeries) &&
      (holds(Line, AvoidedLabel) || holds(Line, EjectedLabel)) &&
      !Line.ends_with(" 0");
  const size_t Label = Line.find(TargetLabel);
  if (!IsLeftOut || Label == std::string_view::npos)
    return {};
  const size_t Begin = Label + TargetLabel.size();
  return Line.substr(Begin, Line.find('"', Begin) - Begin);
}

} // namespace

ejection_watch::ejection_watch(const experiment &Experiment)
    : Experiment(Experiment), Client(PollTimeout) {
  for (const scheduled_event &Event : Experiment.Events)
    for (const std::string &Target : Event.Gray)
      GraySince.try_emplace(Target, Event.At);
}

void ejection_watch::poll(microseconds Now) {
  for (const std::string &Address : Experiment.Metrics) {
    const page Page = Client.get(Address, "/metrics", "");
    if (!Page.Arrived)
      continue;
    SawMetrics = true;
    observe(Page.Body, Now);
  }
}

void ejection_watch::observe(const std::string &Metrics, microseconds Now) {
  for (const absl::string_view Line : absl::StrSplit(Metrics, '\n')) {
    const std::string_view Target = leftOutTarget(common::toStd(Line));
    if (!Target.empty())
      FirstEjection.try_emplace(std::string(Target), Now);
  }
}

std::vector<detection> ejection_watch::detections() const {
  std::vector<detection> Detections;
  for (const auto &[Target, Since] : GraySince) {
    detection Detection{Target, Since, std::nullopt};
    const auto Found = FirstEjection.find(Target);
    if (Found != FirstEjection.end() && Found->second >= Since)
      Detection.EjectedAt = Found->second;
    Detections.push_back(std::move(Detection));
  }
  return Detections;
}

std::vector<std::string> ejection_watch::falseEjections() const {
  std::vector<std::string> Targets;
  for (const auto &[Target, At] : FirstEjection) {
    const auto Gray = GraySince.find(Target);
    if (Gray == GraySince.end() || At < Gray->second)
      Targets.push_back(Target);
  }
  return Targets;
}

} // namespace magnolia::load
