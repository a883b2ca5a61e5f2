#include "Net/Message/HttpClient.h"

#include <algorithm>
#include <utility>

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>

#include "Common/StringView.h"

namespace magnolia::message {
namespace {

constexpr int FirstFinalStatus = 200;
/// A server that sends more responses to other requests may never send the one
/// that is awaited.
constexpr size_t MaxSkipped = 16;
/// The same for interim responses, of which a slow server sends many.
constexpr size_t MaxInterim = 1000;
/// A server that announces a longer one counts as keeping connections this
/// long.
constexpr auto LongestIdleTimeout =
    std::chrono::duration_cast<std::chrono::seconds>(common::LongestDuration);

/// Parses the timeout of a Keep-Alive header such as "timeout=5".
std::optional<duration> idleTimeoutOf(const header_list &Headers) {
  const auto Value = Headers.find("keep-alive");
  if (!Value)
    return std::nullopt;
  for (absl::string_view Part : absl::StrSplit(common::toAbsl(*Value), ',')) {
    Part = absl::StripAsciiWhitespace(Part);
    int64_t Seconds = 0;
    if (absl::ConsumePrefix(&Part, "timeout=") &&
        absl::SimpleAtoi(Part, &Seconds) && Seconds >= 0)
      return std::min(std::chrono::seconds(Seconds), LongestIdleTimeout);
  }
  return std::nullopt;
}

} // namespace

client_connection::client_connection(
    event::event_loop &Loop, const reader_limits &Limits,
    std::shared_ptr<admission::memory_shares> Shares,
    const admission::memory_owner &Owner)
    : Loop(Loop), Reader(message_kind::Response, Limits),
      Meter(Loop, std::move(Shares), Owner), LastUsed(Loop.now()) {
  memory_meter::hooks MeterHooks;
  MeterHooks.OnRoom = [this] { resume(); };
  MeterHooks.OnGiveUp = [this] { fail(exchange_failure::TooLarge); };
  Meter.setHooks(std::move(MeterHooks));
}

std::shared_ptr<client_connection>
client_connection::connect(event::event_loop &Loop, const sockaddr_in &Address,
                           const reader_limits &Limits,
                           std::shared_ptr<admission::memory_shares> Shares,
                           const admission::memory_owner &Owner) {
  std::shared_ptr<client_connection> Connection(
      new client_connection(Loop, Limits, std::move(Shares), Owner));
  const std::weak_ptr<client_connection> Weak = Connection;
  event::stream_hooks StreamHooks;
  StreamHooks.OnConnected = [Weak] {
    const auto Self = Weak.lock();
    if (!Self)
      return;
    // A copy, since the hook may replace the hooks while it runs.
    const auto OnConnected = Self->Hooks.OnConnected;
    if (OnConnected)
      OnConnected();
  };
  StreamHooks.OnBytes = [Weak](std::string_view Bytes) {
    if (const auto Self = Weak.lock())
      Self->onBytes(Bytes);
  };
  StreamHooks.OnEnd = [Weak](event::stream_end End) {
    if (const auto Self = Weak.lock())
      Self->onEnd(End);
  };
  auto Stream =
      event::tcp_stream::connect(Loop, Address, std::move(StreamHooks));
  if (!Stream.ok())
    return nullptr;
  Connection->Stream = std::move(*Stream);
  return Connection;
}

client_connection::~client_connection() { close(); }

void client_connection::setKeepaliveLimits(
    const event::keepalive_limits &Limits) {
  Stream->setKeepaliveLimits(Limits);
}

void client_connection::send(std::string_view Head, std::string_view Body,
                             bool ExpectNoBody) {
  Busy = true;
  Skipped = 0;
  Interim = 0;
  LastUsed = Loop.now();
  Reader.expectNoBody(ExpectNoBody);
  Stream->write(Head);
  if (!Body.empty())
    Stream->write(Body);
}

void client_connection::keepWaiting() {
  Busy = true;
  NotReusable = true;
  ++Skipped;
}

bool client_connection::reusable() const {
  return isConnected() && isOpen() && !Busy && !NotReusable &&
         !Reader.inMessage() && Stream->unsent() == 0 &&
         !Stream->hasPendingInput();
}

bool client_connection::hasRoomFor(size_t Count) {
  const auto Announced = Reader.announcedBytes();
  return Meter.acquire(
      std::max(Reader.heldBytes() + Count, Announced.value_or(0)),
      Announced.has_value());
}

bool client_connection::isTooLarge() const {
  return !Meter.canEverHold(
      std::max(Reader.heldBytes(), Reader.announcedBytes().value_or(0)));
}

void client_connection::pause(std::string_view Bytes) {
  Pending.assign(Bytes);
  Stream->pauseReading(true);
}

void client_connection::resume() {
  if (!isOpen())
    return;
  // The hooks of the exchange may release this connection.
  const auto Self = shared_from_this();
  const std::string Bytes = std::exchange(Pending, {});
  Stream->pauseReading(false);
  onBytes(Bytes);
}

void client_connection::onBytes(std::string_view Bytes) {
  while (!Bytes.empty() && isOpen()) {
    if (!Busy) {
      // Unsolicited bytes belong to no request.
      NotReusable = true;
      const auto OnIdleEnd = Hooks.OnIdleEnd;
      if (OnIdleEnd)
        OnIdleEnd();
      return;
    }
    if (!hasRoomFor(Bytes.size())) {
      pause(Bytes);
      return;
    }
    Reader.reserveAnnounced();
    const size_t Consumed = Reader.feed(Bytes);
    Bytes.remove_prefix(Consumed);
    if (Reader.error() != read_error::None) {
      fail(Reader.error() == read_error::Malformed
               ? exchange_failure::Malformed
               : exchange_failure::TooLarge);
      return;
    }
    if (isTooLarge()) {
      fail(exchange_failure::TooLarge);
      return;
    }
    if (!Reader.complete()) {
      const auto OnProgress = Hooks.OnProgress;
      if (OnProgress)
        OnProgress();
      return;
    }
    if (Skipped >= MaxSkipped || Interim >= MaxInterim) {
      fail(exchange_failure::Malformed);
      return;
    }
    if (!Bytes.empty())
      NotReusable = true;
    deliverResponse();
  }
}

void client_connection::deliverResponse() {
  LastUsed = Loop.now();
  const bool KeepsAlive = Reader.keepsAlive();
  response Response = Reader.takeResponse();
  Response.Memory = Meter.take();
  if (Response.Status < FirstFinalStatus) {
    ++Interim;
    return;
  }
  if (!KeepsAlive)
    NotReusable = true;
  if (const auto Timeout = idleTimeoutOf(Response.Headers))
    IdleTimeout = Timeout;
  Busy = false;
  const auto OnResponse = Hooks.OnResponse;
  if (OnResponse)
    OnResponse(std::move(Response));
}

void client_connection::onEnd(event::stream_end End) {
  NotReusable = true;
  if (!Stream->isConnected()) {
    close();
    const auto OnConnectFailed = Hooks.OnConnectFailed;
    if (OnConnectFailed)
      OnConnectFailed();
    return;
  }
  if (!Busy) {
    const auto OnIdleEnd = Hooks.OnIdleEnd;
    if (OnIdleEnd)
      OnIdleEnd();
    return;
  }
  if (End == event::stream_end::Finished) {
    Reader.finish();
    if (Reader.complete()) {
      deliverResponse();
      if (!Busy)
        return;
    }
  }
  fail(exchange_failure::Broken);
}

void client_connection::fail(exchange_failure Failure) {
  NotReusable = true;
  Busy = false;
  Meter.release();
  Pending.clear();
  const auto OnFailure = Hooks.OnFailure;
  if (OnFailure)
    OnFailure(Failure);
}

void client_connection::close() {
  if (!Stream)
    return;
  Meter.release();
  Pending.clear();
  Stream->close();
  Loop.retire(Stream);
}

} // namespace magnolia::message
