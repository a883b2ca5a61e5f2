#include "MagnoliaLoad/Latency.h"

#include <cmath>

#include <boost/histogram.hpp>

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

struct latency_histogram::bins {
  decltype(histogram::make_histogram(
      log_axis(BinCount, LeastMs, MostMs))) Counts =
      histogram::make_histogram(log_axis(BinCount, LeastMs, MostMs));
};

latency_histogram::latency_histogram() : Bins(std::make_unique<bins>()) {}
latency_histogram::~latency_histogram() = default;
latency_histogram::latency_histogram(latency_histogram &&) noexcept = default;
latency_histogram &
latency_histogram::operator=(latency_histogram &&) noexcept = default;

void latency_histogram::add(std::chrono::microseconds Latency) {
  Bins->Counts(static_cast<double>(Latency.count()) / MicrosPerMs);
  ++Count;
}

void latency_histogram::merge(const latency_histogram &Other) {
  Bins->Counts += Other.Bins->Counts;
  Count += Other.Count;
}

double latency_histogram::quantileMs(double Part) const {
  const double Wanted = std::ceil(Part * static_cast<double>(Count));
  double Seen = 0;
  for (auto &&Bin :
       histogram::indexed(Bins->Counts, histogram::coverage::all)) {
    Seen += static_cast<double>(*Bin);
    if (Count > 0 && Seen >= Wanted)
      return std::min(Bin.bin().upper(), MostMs);
  }
  return 0;
}

} // namespace magnolia::load
