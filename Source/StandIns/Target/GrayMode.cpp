#include "StandIns/Target/GrayMode.h"

#include <array>
#include <utility>

#include <nlohmann/json.hpp>

namespace magnolia::stand_ins {
namespace {

constexpr std::array<std::pair<std::string_view, gray_kind>, 10> Names = {{
    {"none", gray_kind::None},
    {"slow", gray_kind::Slow},
    {"stall", gray_kind::Stall},
    {"half_answer", gray_kind::HalfAnswer},
    {"reset", gray_kind::Reset},
    {"wrong_answer", gray_kind::WrongAnswer},
    {"double_answer", gray_kind::DoubleAnswer},
    {"flapping", gray_kind::Flapping},
    {"chunked_without_end", gray_kind::ChunkedWithoutEnd},
    {"oversize", gray_kind::Oversize},
}};

} // namespace

absl::StatusOr<gray_mode> parseGrayMode(std::string_view Json) {
  gray_mode Mode;
  std::string Name;
  try {
    const auto Root = nlohmann::json::parse(Json);
    Name = Root.at("mode").get<std::string>();
    Mode.Delay = std::chrono::milliseconds(
        Root.value("delay_ms", static_cast<int64_t>(Mode.Delay.count())));
    Mode.Bytes = Root.value("bytes", Mode.Bytes);
    Mode.Every = std::max(1U, Root.value("every", Mode.Every));
    Mode.LyingHealth = Root.value("lying_health", false);
  } catch (const nlohmann::json::exception &Error) {
    return absl::InvalidArgumentError(Error.what());
  }
  for (const auto &[Known, Kind] : Names) {
    if (Known != Name)
      continue;
    Mode.Kind = Kind;
    Mode.Since = common::boot_clock::now();
    return Mode;
  }
  return absl::InvalidArgumentError("no such mode: " + Name);
}

} // namespace magnolia::stand_ins
