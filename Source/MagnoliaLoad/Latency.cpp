#include "MagnoliaLoad/Latency.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <vector>

#include <boost/histogram/axis/regular.hpp>

namespace magnolia::load {
namespace {

namespace histogram = boost::histogram;

using log_axis =
    histogram::axis::regular<double, histogram::axis::transform::log>;

constexpr unsigned BinCount = 1600;
constexpr double LeastMs = 0.01;
constexpr double MostMs = 100000;
constexpr double MicrosPerMs = 1000;

} // namespace

/// The library's axis over plain counts; the first and last stand for values
/// below and above its range.
struct latency_histogram::bins {
  log_axis Axis = log_axis(BinCount, LeastMs, MostMs);
  std::vector<uint64_t> Counts = std::vector<uint64_t>(BinCount + 2);
};

latency_histogram::latency_histogram() : Bins(std::make_unique<bins>()) {}
latency_histogram::~latency_histogram() = default;
latency_histogram::latency_histogram(latency_histogram &&) noexcept = default;
latency_histogram &
latency_histogram::operator=(latency_histogram &&) noexcept = default;

void latency_histogram::add(std::chrono::microseconds Latency) {
  const int Bin =
      Bins->Axis.index(static_cast<double>(Latency.count()) / MicrosPerMs);
  ++Bins->Counts.at(static_cast<size_t>(Bin) + 1);
  ++Count;
}

void latency_histogram::merge(const latency_histogram &Other) {
  std::transform(Bins->Counts.begin(), Bins->Counts.end(),
                 Other.Bins->Counts.begin(), Bins->Counts.begin(),
                 std::plus<>());
  Count += Other.Count;
}

double latency_histogram::quantileMs(double Part) const {
  const double Wanted = std::ceil(Part * static_cast<double>(Count));
  double Seen = 0;
  for (size_t Index = 0; Index < Bins->Counts.size(); ++Index) {
    Seen += static_cast<double>(Bins->Counts[Index]);
    if (Count > 0 && Seen >= Wanted)
      return std::min(Bins->Axis.bin(static_cast<int>(Index) - 1).upper(),
                      MostMs);
  }
  return 0;
}

} // namespace magnolia::load
