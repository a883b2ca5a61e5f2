#include "StandIns/Target/Application.h"

#include <algorithm>
#include <sys/socket.h>

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include "Common/Log.h"
#include "Common/StringView.h"
#include "Net/Upstream/Message.h"
#include "StandIns/Target/BrokenAnswers.h"

namespace magnolia::stand_ins {
namespace {

using common::boot_clock;
using common::boot_time;
using nlohmann::json;

constexpr std::chrono::milliseconds WorkStep{10};
constexpr uint64_t LargestBody = uint64_t{4} << 30;

/// cpp-httplib asks handlers that read the body before all others.
constexpr const char *WorkPaths = "/(?!admin/).*";

std::string header(const httplib::Request &Request, std::string_view Name) {
  return Request.get_header_value(std::string(Name));
}

std::optional<boot_time> deadlineOf(const httplib::Request &Request) {
  int64_t Milliseconds = 0;
  const std::string Text = header(Request, net::DeadlineHeader);
  if (!absl::SimpleAtoi(Text, &Milliseconds))
    return std::nullopt;
  return boot_clock::now() + std::chrono::milliseconds(Milliseconds);
}

/// cpp-httplib adds the addresses of the connection as if they were headers.
bool isPseudoHeader(std::string_view Name) {
  return Name == "REMOTE_ADDR" || Name == "REMOTE_PORT" ||
         Name == "LOCAL_ADDR" || Name == "LOCAL_PORT";
}

run runOf(const httplib::Request &Request, uint64_t BodyBytes) {
  run Run;
  Run.RequestId = header(Request, net::RequestIdHeader);
  Run.Method = Request.method;
  Run.Path = Request.target;
  Run.IdempotencyKey = header(Request, "Idempotency-Key");
  Run.Workspace = header(Request, "Magnolia-Workspace");
  Run.Started = common::wallNow();
  Run.BodyBytes = BodyBytes;
  for (const auto &[Name, Value] : Request.headers)
    if (!isPseudoHeader(Name))
      Run.Headers.emplace_back(Name, Value);
  return Run;
}

void setJson(httplib::Response &Response, int Status, const std::string &Body) {
  Response.status = Status;
  Response.set_content(Body, "application/json");
}

} // namespace

application::application(const application_settings &Settings)
    : Settings(Settings), Runs(Settings.RunLogFile),
      Slots(Settings.Slots, Settings.QueueLimit) {
  addAdminRoutes();
  addRoutes();
}

absl::StatusOr<int> application::start() {
  return Server.start(Settings.Listen);
}

void application::finish() { Server.finish(); }

void application::addAdminRoutes() {
  Server.Get("/health", [this](const auto &, httplib::Response &Response) {
    bool Healthy = true;
    const std::string Body = healthJson(Healthy);
    setJson(Response, Healthy ? 200 : 503, Body);
  });
  Server.Get("/load", [this](const auto &, httplib::Response &Response) {
    setJson(Response, 200, loadJson());
  });
  Server.Get("/admin/runs", [this](const auto &, httplib::Response &Response) {
    setJson(Response, 200, Runs.toJson());
  });
  Server.Delete("/admin/runs", [this](const auto &, auto &Response) {
    Runs.clear();
    setJson(Response, 200, "{}");
  });
  Server.Post("/admin/drain", [this](const httplib::Request &, auto &Response) {
    Draining = true;
    setJson(Response, 200, "{}");
  });
  Server.Post("/admin/resume",
              [this](const httplib::Request &, auto &Response) {
                Draining = false;
                setJson(Response, 200, "{}");
              });
  Server.Post("/admin/mode", [this](const httplib::Request &Request,
                                    httplib::Response &Response) {
    const auto Parsed = parseGrayMode(Request.body);
    if (!Parsed.ok()) {
      setJson(Response, 400,
              json{{"error", std::string(Parsed.status().message())}}.dump());
      return;
    }
    const absl::MutexLock Lock(&Mutex);
    Mode = *Parsed;
    ModeCounter = 0;
    setJson(Response, 200, "{}");
  });
}

void application::addRoutes() {
  const auto WithoutBody = [this](const httplib::Request &Request,
                                  httplib::Response &Response) {
    serve(Request, "", Response);
  };
  const auto WithBody = [this](const httplib::Request &Request,
                               httplib::Response &Response,
                               const httplib::ContentReader &Reader) {
    std::string Body;
    const bool Whole = Reader([&](const char *Bytes, size_t Size) {
      Body.append(Bytes, Size);
      return Body.size() <= LargestBody;
    });
    if (!Whole) {
      http_server::current().Abandoned = true;
      return;
    }
    serve(Request, std::move(Body), Response);
  };
  Server.Get(WorkPaths, WithoutBody);
  Server.Options(WorkPaths, WithoutBody);
  Server.Post(WorkPaths, WithBody);
  Server.Put(WorkPaths, WithBody);
  Server.Patch(WorkPaths, WithBody);
  Server.Delete(WorkPaths, WithBody);
}

bool application::callerGone() const {
  return !http_server::current().Connection.isIdle();
}

gray_mode application::currentMode() {
  const absl::MutexLock Lock(&Mutex);
  gray_mode Current = Mode;
  if (ModeCounter++ % Mode.Every != 0)
    Current.Kind = gray_kind::None;
  if (Current.Kind != gray_kind::Flapping)
    return Current;
  const auto Phase = (boot_clock::now() - Mode.Since) /
                     std::max(Mode.Delay, std::chrono::milliseconds(1));
  Current.Kind = Phase % 2 == 0 ? gray_kind::Flapping : gray_kind::None;
  return Current;
}

void application::serve(const httplib::Request &Request, std::string Body,
                        httplib::Response &Response) {
  const gray_mode Current = currentMode();
  if (Current.Kind == gray_kind::Flapping) {
    resetConnection(http_server::current());
    return;
  }
  const auto Deadline = deadlineOf(Request);
  const auto Taken = Slots.acquire([&] {
    return callerGone() || (Deadline && boot_clock::now() > *Deadline);
  });
  if (Taken != slots::result::Taken) {
    refuse(Request, Response);
    return;
  }
  runInSlot(Request, std::move(Body), Current, Response);
}

void application::refuse(const httplib::Request &Request,
                         httplib::Response &Response) {
  Response.status = 503;
  Response.set_header(std::string(net::NotRunHeader), "1");
  Response.set_header(std::string(net::RequestIdHeader),
                      header(Request, net::RequestIdHeader));
  if (Draining)
    Response.set_header(std::string(net::DrainingHeader), "1");
  Response.set_content("{\"error\":\"no slot\"}", "application/json");
}

void application::runInSlot(const httplib::Request &Request, std::string Body,
                            const gray_mode &Current,
                            httplib::Response &Response) {
  const size_t Number = Runs.begin(runOf(Request, Body.size()));
  std::optional<std::chrono::microseconds> Time = Settings.WorkTime;
  if (Current.Kind == gray_kind::Slow)
    *Time += Current.Delay;
  if (Current.Kind == gray_kind::Stall)
    Time.reset();
  const run_end End = work(Time, deadlineOf(Request));
  Runs.end(Number, End);
  Slots.release();
  ++Served;
  if (End != run_end::Finished) {
    http_server::current().Abandoned = true;
    return;
  }
  send(Request, answerTo(Request, std::move(Body), Current), Current, Response);
}

run_end application::work(std::optional<std::chrono::microseconds> Time,
                          std::optional<boot_time> Deadline) {
  const boot_time End = Time ? boot_clock::now() + *Time : boot_time::max();
  while (true) {
    const boot_time Now = boot_clock::now();
    if (Now >= End)
      return run_end::Finished;
    if (!Time && Server.isStopping())
      return run_end::CallerGone;
    if (Deadline && Now > *Deadline)
      return run_end::DeadlineExceeded;
    // Also wakes at once when the caller closes.
    const auto Step = std::min<boot_time>(End, Now + WorkStep);
    if (http_server::current().Connection.awaitReadable(Step))
      return run_end::CallerGone;
  }
}

application::answer application::answerTo(const httplib::Request &Request,
                                          std::string Body,
                                          const gray_mode &Current) const {
  answer Answer;
  uint64_t Bytes = 0;
  if (Current.Kind == gray_kind::Oversize)
    Bytes = Current.Bytes;
  else if (Request.has_param("bytes") &&
           !absl::SimpleAtoi(Request.get_param_value("bytes"), &Bytes))
    Answer.Status = 400;
  if (absl::EndsWith(Request.path, "/echo")) {
    Answer.Body = std::move(Body);
    Answer.ContentType = Request.get_header_value("Content-Type");
  } else if (Bytes > 0) {
    Answer.Body.assign(std::min(Bytes, LargestBody), 'x');
    Answer.ContentType = "application/octet-stream";
  } else {
    Answer.Body = json{
        {"target", Settings.Name},
        {"request_id", header(Request, net::RequestIdHeader)},
        {"path", Request.path},
        {"body_bytes",
         Body.size()}}.dump(-1, ' ', false, json::error_handler_t::replace);
  }
  return Answer;
}

void application::send(const httplib::Request &Request, const answer &Answer,
                       const gray_mode &Current, httplib::Response &Response) {
  std::string Id = header(Request, net::RequestIdHeader);
  if (Current.Kind == gray_kind::WrongAnswer)
    Id += "-other";
  if (sendBroken(Request, Answer, Current))
    return;
  Response.status = Answer.Status;
  Response.set_header(std::string(net::RequestIdHeader), Id);
  if (Draining)
    Response.set_header(std::string(net::DrainingHeader), "1");
  Response.set_content(Answer.Body, Answer.ContentType);
}

bool application::sendBroken(const httplib::Request &Request,
                             const answer &Answer, const gray_mode &Current) {
  served_connection &Served = http_server::current();
  const std::string Id = header(Request, net::RequestIdHeader);
  switch (Current.Kind) {
  case gray_kind::Reset:
    resetConnection(Served);
    return true;
  case gray_kind::HalfAnswer:
    sendHalf(Served, Id, Answer.Body);
    return true;
  case gray_kind::DoubleAnswer:
    sendTwice(Served, Id, Answer.Body);
    return true;
  case gray_kind::ChunkedWithoutEnd:
    sendChunksWithoutEnd(Served, Id, Answer.Body);
    return true;
  default:
    return false;
  }
}

std::string application::healthJson(bool &Healthy) {
  const absl::MutexLock Lock(&Mutex);
  const bool Gray = Mode.Kind != gray_kind::None && !Mode.LyingHealth;
  Healthy = !Draining && !Gray;
  const char *State = Draining ? "draining" : Gray ? "unhealthy" : "ok";
  return json{{"status", State}, {"target", Settings.Name}}.dump();
}

std::string application::loadJson() {
  const absl::MutexLock Lock(&Mutex);
  const bool Lying = Mode.LyingHealth;
  return json{{"slots", Settings.Slots},
              {"busy", Lying ? 0 : Slots.busy()},
              {"waiting", Lying ? 0 : Slots.waiting()},
              {"served", Served.load()}}
      .dump();
}

} // namespace magnolia::stand_ins
