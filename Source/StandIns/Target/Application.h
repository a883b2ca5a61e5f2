#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include <absl/base/thread_annotations.h>
#include <absl/status/statusor.h>
#include <absl/synchronization/mutex.h>

#include "StandIns/Server/HttpServer.h"
#include "StandIns/Target/GrayMode.h"
#include "StandIns/Target/RunLog.h"
#include "StandIns/Target/Slots.h"

namespace magnolia::stand_ins {

struct application_settings {
  std::string Listen;
  std::string Name;
  uint32_t Slots = 6;
  /// Requests that wait for a slot; more are refused as not run.
  uint32_t QueueLimit = 16;
  std::chrono::microseconds WorkTime{5000};
  /// File that gets a line for each run; none when empty.
  std::string RunLogFile;
};

/// The target: serves requests on every path but /health, /load and /admin.
class application {
public:
  explicit application(const application_settings &Settings);

  /// Returns the port.
  absl::StatusOr<int> start();
  /// Answers what is in flight and stops.
  void finish();

private:
  struct answer {
    int Status = 200;
    std::string Body;
    std::string ContentType = "application/json";
  };

  void addRoutes();
  void addAdminRoutes();
  void serve(const httplib::Request &Request, std::string Body,
             httplib::Response &Response);
  void refuse(const httplib::Request &Request, httplib::Response &Response);
  void runInSlot(const httplib::Request &Request, std::string Body,
                 const gray_mode &Mode, httplib::Response &Response);
  /// Works for \p Time, or without end, while the caller waits for it.
  run_end work(std::optional<std::chrono::microseconds> Time,
               std::optional<common::boot_time> Deadline);
  answer answerTo(const httplib::Request &Request, std::string Body,
                  const gray_mode &Mode) const;
  void send(const httplib::Request &Request, const answer &Answer,
            const gray_mode &Mode, httplib::Response &Response);
  bool sendBroken(const httplib::Request &Request, const answer &Answer,
                  const gray_mode &Mode);
  gray_mode currentMode();
  std::string healthJson(bool &Healthy);
  std::string loadJson();
  bool callerGone() const;

  const application_settings Settings;
  run_log Runs;
  slots Slots;
  std::atomic<bool> Draining = false;
  std::atomic<uint64_t> Served = 0;
  absl::Mutex Mutex;
  gray_mode Mode ABSL_GUARDED_BY(Mutex);
  uint64_t ModeCounter ABSL_GUARDED_BY(Mutex) = 0;
  // Last, so that its threads end before what they use.
  http_server Server;
};

} // namespace magnolia::stand_ins
