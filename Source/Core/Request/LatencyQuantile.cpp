#include "Request/LatencyQuantile.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace magnolia::request {

namespace accumulators = boost::accumulators;

using accumulator = accumulators::accumulator_set<
    double, accumulators::stats<accumulators::tag::count,
                                accumulators::tag::p_square_quantile>>;

struct latency_quantile::window {
  explicit window(double Quantile)
      : Samples(accumulators::quantile_probability = Quantile) {}

  accumulator Samples;
};

latency_quantile::latency_quantile(double Quantile, size_t WindowSize)
    : Quantile(Quantile), WindowSize(WindowSize),
      Window(std::make_unique<window>(Quantile)) {}

latency_quantile::~latency_quantile() = default;
latency_quantile::latency_quantile(latency_quantile &&) noexcept = default;
latency_quantile &
latency_quantile::operator=(latency_quantile &&) noexcept = default;

void latency_quantile::add(std::chrono::microseconds Latency) {
  Window->Samples(static_cast<double>(Latency.count()));
  if (accumulators::count(Window->Samples) < WindowSize)
    return;
  const double Value = accumulators::p_square_quantile(Window->Samples);
  Estimate = std::chrono::microseconds(static_cast<int64_t>(Value));
  Window = std::make_unique<window>(Quantile);
}

} // namespace magnolia::request
