#include "Net/Message/ServerConnection.h"

#include <algorithm>

namespace magnolia::message {
namespace {

/// How long a connection is still read after its sending side was shut down, so
/// that a reset does not destroy the last response.
constexpr std::chrono::seconds LingerTime{1};
/// A caller that fetches nothing of the last response for this long is dropped.
constexpr std::chrono::seconds StalledTime{2};
/// Unsent bytes of responses above which no more is read from a caller.
constexpr size_t MaxUnsentBytes = size_t{1024} * 1024;
/// Bytes of requests that a caller sent ahead, above which no more is read.
constexpr size_t MaxBufferedBytes = size_t{64} * 1024;
/// Requests of one connection that are started before other connections have
/// their turn.
constexpr size_t MaxCallsPerTurn = 64;
/// Between two turns of one connection.
constexpr std::chrono::milliseconds TurnPause{1};
/// Smaller bodies are sent in one piece with their head.
constexpr size_t LargeBodyBytes = size_t{64} * 1024;

constexpr event::keepalive_limits CallerKeepalive{std::chrono::seconds(10),
                                                  std::chrono::seconds(5)};
/// Shortest wait between two checks of the timeouts.
constexpr std::chrono::milliseconds MinTimerDelay{10};

constexpr int BadRequest = 400;
constexpr int RequestTimeout = 408;
constexpr int ContentTooLarge = 413;
constexpr int ServiceUnavailable = 503;
constexpr int HeadersTooLarge = 431;

int statusOf(read_error Error) {
  switch (Error) {
  case read_error::HeadTooLarge:
    return HeadersTooLarge;
  case read_error::BodyTooLarge:
    return ContentTooLarge;
  case read_error::None:
  case read_error::Malformed:
    break;
  }
  return BadRequest;
}

} // namespace

void server_call::respond(response NewResponse) {
  if (Responded)
    return;
  Responded = true;
  Response = std::move(NewResponse);
  if (!Disconnected && OnResponse)
    OnResponse();
}

server_connection::server_connection(event::event_loop &Loop,
                                     const server_hooks &Hooks,
                                     closed_hook OnClosed)
    : Loop(Loop), Hooks(Hooks), OnClosed(std::move(OnClosed)),
      Limits(Hooks.Limits()), Reader(message_kind::Request, Limits.Reader),
      // Each connection has a share of its own.
      Meter(Loop, Limits.Shares,
            {std::string(), reinterpret_cast<uint64_t>(this)}),
      LastActivity(Loop.now()), MessageStart(Loop.now()) {
  memory_meter::hooks MeterHooks;
  MeterHooks.OnRoom = [this] { resume(); };
  MeterHooks.OnGiveUp = [this] { refuseForMemory(); };
  Meter.setHooks(std::move(MeterHooks));
}

std::shared_ptr<server_connection>
server_connection::open(event::event_loop &Loop, int Descriptor,
                        const server_hooks &Hooks, closed_hook OnClosed) {
  std::shared_ptr<server_connection> Connection(
      new server_connection(Loop, Hooks, std::move(OnClosed)));
  const std::weak_ptr<server_connection> Weak = Connection;
  event::stream_hooks StreamHooks;
  StreamHooks.OnBytes = [Weak](std::string_view Bytes) {
    if (const auto Self = Weak.lock())
      Self->onBytes(Bytes);
  };
  StreamHooks.OnEnd = [Weak](event::stream_end End) {
    if (const auto Self = Weak.lock())
      Self->onEnd(End);
  };
  StreamHooks.OnDrained = [Weak] {
    if (const auto Self = Weak.lock()) {
      Self->LastActivity = Self->Loop.now();
      Self->onFetched();
      Self->updateReading();
    }
  };
  Connection->Stream =
      event::tcp_stream::adopt(Loop, Descriptor, std::move(StreamHooks));
  Connection->Stream->setKeepaliveLimits(CallerKeepalive);
  Connection->armTimer();
  return Connection;
}

void server_connection::onBytes(std::string_view Bytes) {
  LastActivity = Loop.now();
  // After the last request, incoming bytes are discarded.
  if (ReadingStopped)
    return;
  Buffered.append(Bytes);
  process();
}

void server_connection::process() {
  // A request that is answered at once does so within this function.
  if (Processing)
    return;
  if (TurnScheduled) {
    updateReading();
    return;
  }
  Processing = true;
  const auto Self = shared_from_this();
  CallsOfTurn = 0;
  do {
    sendResponses();
    readBuffered();
  } while (!Finishing && !Calls.empty() && Calls.front()->Responded);
  Processing = false;
  if (Finishing)
    return;
  updateReading();
  if (CallsOfTurn < MaxCallsPerTurn)
    return;
  TurnScheduled = true;
  Loop.callAfter(TurnPause, [Weak = weak_from_this()] {
    if (const auto Live = Weak.lock()) {
      Live->TurnScheduled = false;
      Live->process();
    }
  });
}

void server_connection::readBuffered() {
  while (!ReadingStopped && !Buffered.empty()) {
    if (Calls.size() >= Limits.PipelineLimit || CallsOfTurn >= MaxCallsPerTurn)
      return;
    if (!Reader.inMessage())
      beginMessage();
    if (!hasRoom())
      return;
    Reader.reserveAnnounced();
    const size_t Consumed = Reader.feed(Buffered);
    Buffered.erase(0, Consumed);
    if (Reader.error() != read_error::None) {
      respondToReadError(Reader.error());
      return;
    }
    if (!Meter.canEverHold(std::max(Reader.heldBytes(),
                                    Reader.announcedBytes().value_or(0)))) {
      // Another instance may have more memory.
      refuseForMemory();
      return;
    }
    if (!Reader.complete()) {
      sendContinue();
      return;
    }
    startCall();
  }
}

/// A request goes by the limits that are in force when it begins, however long
/// the connection was idle before.
void server_connection::beginMessage() {
  MessageStart = Loop.now();
  const duration TimerAtMost = std::min(Limits.HeadTimeout, Limits.IdleTimeout);
  Limits = Hooks.Limits();
  Reader.setLimits(Limits.Reader);
  if (Limits.HeadTimeout >= TimerAtMost)
    return;
  Loop.cancel(Timer);
  armTimer();
}

bool server_connection::hasRoom() {
  // A request that waits is refused soon, whether or not its length is known:
  // its caller can come back.
  return Meter.acquire(std::max(Reader.heldBytes() + Buffered.size(),
                                Reader.announcedBytes().value_or(0)),
                       /*LengthKnown=*/false);
}

void server_connection::resume() {
  if (!Stream->isOpen())
    return;
  const auto Self = shared_from_this();
  process();
}

void server_connection::updateReading() {
  Stream->pauseReading(Stream->unsent() > MaxUnsentBytes || Meter.isWaiting() ||
                       Buffered.size() > MaxBufferedBytes);
}

void server_connection::refuseForMemory() {
  const auto Self = shared_from_this();
  Meter.release();
  Buffered.clear();
  response Refusal;
  Refusal.Status = ServiceUnavailable;
  Refusal.Headers.add("Retry-After", "1");
  respondUnread(std::move(Refusal));
}

void server_connection::sendContinue() {
  if (!Calls.empty() || ContinueSent || !Reader.expectsContinue())
    return;
  ContinueSent = true;
  Stream->write("HTTP/1.1 100 Continue\r\n\r\n");
}

void server_connection::startCall() {
  const auto Call = std::make_shared<server_call>();
  Call->KeepsAlive = Reader.keepsAlive();
  Call->Request = Reader.takeRequest();
  Call->Memory = Meter.take();
  Call->Arrived = MessageStart;
  ContinueSent = false;
  if (!Call->KeepsAlive)
    ReadingStopped = true;
  Call->OnResponse = [Weak = weak_from_this()] {
    if (const auto Self = Weak.lock())
      Self->process();
  };
  Calls.push_back(Call);
  ++CallsOfTurn;
  Hooks.OnCall(Call);
}

void server_connection::respondToReadError(read_error Error) {
  response Response;
  Response.Status = statusOf(Error);
  respondUnread(std::move(Response));
}

void server_connection::respondUnread(response Response) {
  ReadingStopped = true;
  const auto Call = std::make_shared<server_call>();
  Call->KeepsAlive = false;
  Call->Responded = true;
  Call->Response = std::move(Response);
  Calls.push_back(Call);
  process();
}

void server_connection::sendResponses() {
  while (!Calls.empty() && Calls.front()->Responded && !Finishing) {
    const std::shared_ptr<server_call> Call = Calls.front();
    Calls.pop_front();
    const bool Last = !Call->KeepsAlive ||
                      (Hooks.Closing && Hooks.Closing() && Calls.empty());
    response_framing Framing;
    Framing.Close = Last;
    Framing.OmitBody = Call->Request.Method == "HEAD";
    write(*Call, Framing);
    LastActivity = Loop.now();
    if (Last)
      finish();
  }
}

void server_connection::write(server_call &Call,
                              const response_framing &Framing) {
  response &Response = Call.Response;
  if (Response.Body.size() < LargeBodyBytes || !sendsBody(Response, Framing)) {
    Stream->write(serialize(Response, Framing));
  } else {
    Stream->write(serializeHead(Response, Framing));
    Stream->writeLarge(std::move(Response.Body));
  }
  if (Response.Memory && Stream->unsent() > 0)
    addUnfetched(Call, std::move(Response.Memory));
  Response = response();
}

void server_connection::addUnfetched(
    server_call &Call,
    std::shared_ptr<admission::memory_shares::holding> Memory) {
  if (!Limits.Unfetched) {
    UnsentMemory.push_back(std::move(Memory));
    return;
  }
  if (!Unfetched)
    Unfetched = Limits.Unfetched->open(
        {[this] { return Stream->unsent(); }, [this] { giveUpUnfetched(); }},
        Loop.now());
  Unfetched->add(std::move(Memory));
  if (Call.OnAbandoned)
    OnAbandoned.push_back(std::move(Call.OnAbandoned));
}

void server_connection::onFetched() {
  UnsentMemory.clear();
  Unfetched.reset();
  OnAbandoned.clear();
}

void server_connection::giveUpUnfetched() {
  const abandoned_response Abandoned = {Stream->unsent(),
                                        Loop.now() - Unfetched->since()};
  for (const auto &Hook : OnAbandoned)
    Hook(Abandoned);
  closeNow();
}

void server_connection::finish() {
  Finishing = true;
  ReadingStopped = true;
  for (const auto &Call : Calls) {
    Call->Disconnected = true;
    if (Call->OnDisconnect && !Call->Responded)
      Call->OnDisconnect();
  }
  Calls.clear();
  Stream->finishWriting();
  linger(Stream->unsent());
}

void server_connection::linger(size_t UnsentBefore) {
  Loop.cancel(Timer);
  const bool Sends = UnsentBefore > 0;
  Timer = Loop.callAfter(Sends ? StalledTime : LingerTime,
                         [Weak = weak_from_this(), UnsentBefore] {
                           if (const auto Self = Weak.lock())
                             Self->onLingered(UnsentBefore);
                         });
}

void server_connection::onLingered(size_t UnsentBefore) {
  // As long as the caller fetches the last response, it gets the rest.
  if (Stream->unsent() < UnsentBefore)
    linger(Stream->unsent());
  else
    closeNow();
}

void server_connection::onEnd(event::stream_end End) {
  // A caller that shuts down its sending side counts as disconnected, even if
  // responses are pending. What it is fetching was its own: it gets the rest.
  if (End == event::stream_end::Broken || Stream->unsent() == 0)
    closeNow();
  else if (!Finishing)
    finish();
}

void server_connection::closeNow() {
  if (!Stream->isOpen())
    return;
  Loop.cancel(Timer);
  Loop.retire(shared_from_this());
  ReadingStopped = true;
  Buffered.clear();
  Meter.release();
  onFetched();
  Stream->close();
  Loop.retire(Stream);
  const auto Unfinished = std::move(Calls);
  Calls.clear();
  for (const auto &Call : Unfinished) {
    Call->Disconnected = true;
    if (Call->OnDisconnect && !Call->Responded)
      Call->OnDisconnect();
  }
  OnClosed();
}

void server_connection::closeIfIdle() {
  if (Calls.empty() && !Reader.inMessage() && Stream->unsent() == 0)
    closeNow();
}

size_t server_connection::endOfBlocking() const {
  // Calls that are responded to at the front have been sent.
  size_t End = Calls.size();
  while (End > 0 && !Calls[End - 1]->Responded)
    --End;
  return End;
}

admission::blocked_responses server_connection::blockedResponses() const {
  admission::blocked_responses Blocked;
  for (const auto &Call : Calls) {
    if (!Call->Responded)
      continue;
    ++Blocked.Count;
    Blocked.Bytes += Call->Response.Body.size();
  }
  return Blocked;
}

void server_connection::endBlocking() { endFirst(endOfBlocking()); }

void server_connection::endUnanswered() { endFirst(Calls.size()); }

void server_connection::endFirst(size_t Count) {
  const auto Self = shared_from_this();
  // Calls that respond leave the queue.
  const std::vector<std::shared_ptr<server_call>> Ended(
      Calls.begin(), Calls.begin() + static_cast<ptrdiff_t>(Count));
  for (const auto &Call : Ended) {
    const auto OnServerEnd = Call->OnServerEnd;
    if (!Call->Responded && OnServerEnd)
      OnServerEnd();
  }
}

void server_connection::armTimer() {
  const bool ReadingHead = Reader.inMessage() && !Reader.headRead();
  const boot_time Due = ReadingHead ? MessageStart + Limits.HeadTimeout
                                    : LastActivity + Limits.IdleTimeout;
  // The timer is not rearmed when a head begins, so it never waits longer than
  // the shorter timeout.
  const duration MinTimeout = std::min(Limits.HeadTimeout, Limits.IdleTimeout);
  const duration Wait = std::min<duration>(Due - Loop.now(), MinTimeout);
  Timer = Loop.callAfter(std::max<duration>(Wait, MinTimerDelay),
                         [Weak = weak_from_this()] {
                           if (const auto Self = Weak.lock())
                             Self->onTimer();
                         });
}

void server_connection::onTimer() {
  Limits = Hooks.Limits();
  const boot_time Now = Loop.now();
  const bool ReadingHead = Reader.inMessage() && !Reader.headRead();
  if (ReadingHead && Now - MessageStart >= Limits.HeadTimeout) {
    response Response;
    Response.Status = RequestTimeout;
    respondUnread(std::move(Response));
    return;
  }
  const bool Idle =
      Calls.empty() && !Reader.inMessage() && Stream->unsent() == 0;
  if (Idle && Now - LastActivity >= Limits.IdleTimeout) {
    closeNow();
    return;
  }
  armTimer();
}

} // namespace magnolia::message
