#include "StandIns/Target/RunLog.h"

#include <fstream>

#include <nlohmann/json.hpp>

namespace magnolia::stand_ins {
namespace {

using nlohmann::json;

const char *nameOf(run_end End) {
  switch (End) {
  case run_end::Running:
    return "running";
  case run_end::Finished:
    return "finished";
  case run_end::CallerGone:
    return "caller_gone";
  case run_end::DeadlineExceeded:
    break;
  }
  return "deadline_exceeded";
}

json toObject(const run &Run) {
  json Headers = json::array();
  for (const auto &[Name, Value] : Run.Headers)
    Headers.push_back({{"name", Name}, {"value", Value}});
  return {{"request_id", Run.RequestId},
          {"method", Run.Method},
          {"path", Run.Path},
          {"idempotency_key", Run.IdempotencyKey},
          {"workspace", Run.Workspace},
          {"started_us", common::toUnixMicros(Run.Started)},
          {"body_bytes", Run.BodyBytes},
          {"end", nameOf(Run.End)},
          {"headers", std::move(Headers)}};
}

std::string dump(const json &Value) {
  return Value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

run_log::run_log(std::string File) : File(std::move(File)) {}

size_t run_log::begin(run Run) {
  const absl::MutexLock Lock(&Mutex);
  if (!File.empty())
    std::ofstream(File, std::ios::app) << dump(toObject(Run)) << "\n";
  Runs.push_back(std::move(Run));
  return First + Runs.size() - 1;
}

void run_log::end(size_t Number, run_end End) {
  const absl::MutexLock Lock(&Mutex);
  if (Number >= First)
    Runs[Number - First].End = End;
}

void run_log::clear() {
  const absl::MutexLock Lock(&Mutex);
  First += Runs.size();
  Runs.clear();
}

std::string run_log::toJson() const {
  const absl::MutexLock Lock(&Mutex);
  json Array = json::array();
  for (const run &Run : Runs)
    Array.push_back(toObject(Run));
  return dump(Array);
}

} // namespace magnolia::stand_ins
