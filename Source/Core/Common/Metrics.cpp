#include "Common/Metrics.h"

#include <array>
#include <map>

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include "Common/StringView.h"

namespace magnolia::common {
namespace {

namespace accumulators = boost::accumulators;

constexpr std::array<double, 3> Quantiles = {0.5, 0.9, 0.99};

using latency_accumulator = accumulators::accumulator_set<
    double,
    accumulators::stats<accumulators::tag::count, accumulators::tag::sum,
                        accumulators::tag::extended_p_square_quantile>>;

void appendSample(std::string &Text, std::string_view Name,
                  const std::vector<metric_label> &Labels, double Value) {
  absl::StrAppend(&Text, toAbsl(Name));
  char Separator = '{';
  for (const metric_label &Label : Labels) {
    absl::StrAppend(&Text, std::string(1, Separator), toAbsl(Label.Name), "=\"",
                    absl::CEscape(Label.Value), "\"");
    Separator = ',';
  }
  absl::StrAppend(&Text, Labels.empty() ? " " : "} ", Value, "\n");
}

void appendHeader(std::string &Text, std::string_view Name,
                  std::string_view Help, std::string_view Type) {
  absl::StrAppend(&Text, "# HELP ", toAbsl(Name), " ", toAbsl(Help),
                  "\n# TYPE ", toAbsl(Name), " ", toAbsl(Type), "\n");
}

} // namespace

struct metrics::route_metrics {
  std::map<std::string, uint64_t, std::less<>> Outcomes;
  latency_accumulator Latency{accumulators::extended_p_square_probabilities =
                                  Quantiles};
};

metrics::metrics() = default;
metrics::~metrics() = default;

void metrics::countRequest(std::string_view Route, std::string_view Outcome,
                           std::chrono::microseconds Latency) {
  const std::string Key(Route);
  Routes.withShardOf(Key, [&](auto &Map) {
    auto &Slot = Map[Key];
    if (!Slot)
      Slot = std::make_unique<route_metrics>();
    ++Slot->Outcomes[std::string(Outcome)];
    Slot->Latency(std::chrono::duration<double>(Latency).count());
  });
}

void metrics::addReader(reader Read) {
  const absl::MutexLock Lock(&Mutex);
  Readers.push_back(std::move(Read));
}

void metrics::writeCounts(std::string &Text, const std::string &Route,
                          const route_metrics &Metrics) {
  for (const auto &[Outcome, Count] : Metrics.Outcomes)
    appendSample(Text, "magnolia_requests_total",
                 {{"route", Route}, {"outcome", Outcome}},
                 static_cast<double>(Count));
}

void metrics::writeLatency(std::string &Text, const std::string &Route,
                           const route_metrics &Metrics) {
  for (const double Quantile : Quantiles)
    appendSample(
        Text, "magnolia_request_seconds",
        {{"route", Route}, {"quantile", absl::StrCat(Quantile)}},
        accumulators::quantile(Metrics.Latency,
                               accumulators::quantile_probability = Quantile));
  appendSample(Text, "magnolia_request_seconds_sum", {{"route", Route}},
               accumulators::sum(Metrics.Latency));
  appendSample(Text, "magnolia_request_seconds_count", {{"route", Route}},
               static_cast<double>(accumulators::count(Metrics.Latency)));
}

std::string metrics::write() {
  std::string Text;
  std::string Latencies;
  appendHeader(Text, "magnolia_requests_total", "Finished requests.",
               "counter");
  appendHeader(Latencies, "magnolia_request_seconds",
               "Time from a request's arrival to the end of its answer.",
               "summary");
  Routes.forEachShard([&](auto &Map) {
    for (const auto &[Route, Metrics] : Map) {
      writeCounts(Text, Route, *Metrics);
      writeLatency(Latencies, Route, *Metrics);
    }
  });
  Text += Latencies;

  std::vector<metric_sample> Samples;
  {
    const absl::MutexLock Lock(&Mutex);
    for (const reader &Read : Readers)
      Read(Samples);
  }
  std::string_view LastName;
  for (const metric_sample &Sample : Samples) {
    if (Sample.Name != LastName)
      appendHeader(Text, Sample.Name, Sample.Help,
                   Sample.Name.ends_with("_total") ? "counter" : "gauge");
    LastName = Sample.Name;
    appendSample(Text, Sample.Name, Sample.Labels, Sample.Value);
  }
  return Text;
}

} // namespace magnolia::common
