#include "Net/Message/ServerConnection.h"

#include <algorithm>

namespace magnolia::message {
namespace {

/// How long a connection that was ended is still read, so that the system does
/// not reset it while the last answer is on its way.
constexpr std::chrono::seconds Linger{1};
/// Answers that a caller does not read, above which no more is read from it.
constexpr size_t UnsentLimit = size_t{1024} * 1024;

constexpr int BadRequest = 400;
constexpr int RequestTimeout = 408;
constexpr int ContentTooLarge = 413;
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

void server_call::respond(response Made) {
  if (Answered)
    return;
  Answered = true;
  Answer = std::move(Made);
  if (!Gone && OnResponse)
    OnResponse();
}

server_connection::server_connection(event::event_loop &Loop,
                                     const server_hooks &Hooks,
                                     closed_hook OnClosed)
    : Loop(Loop), Hooks(Hooks), OnClosed(std::move(OnClosed)),
      Limits(Hooks.Limits()), Reader(message_kind::Request, Limits.Reader),
      LastActive(Loop.now()), MessageBegan(Loop.now()) {}

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
  StreamHooks.OnEnd = [Weak](event::stream_end) {
    if (const auto Self = Weak.lock())
      Self->onEnd();
  };
  StreamHooks.OnDrained = [Weak] {
    if (const auto Self = Weak.lock())
      Self->Stream->pauseReading(false);
  };
  Connection->Stream =
      event::tcp_stream::adopt(Loop, Descriptor, std::move(StreamHooks));
  Connection->Stream->setSilenceLimits(
      {std::chrono::seconds(10), std::chrono::seconds(5)});
  Connection->armTimer();
  return Connection;
}

void server_connection::onBytes(std::string_view Bytes) {
  LastActive = Loop.now();
  // A connection that ends is read only to be emptied.
  if (ReadsNoMore)
    return;
  Buffered.append(Bytes);
  readBuffered();
}

void server_connection::readBuffered() {
  while (!ReadsNoMore && !Buffered.empty()) {
    if (Calls.size() >= Limits.Pipelined)
      return;
    if (!Reader.inMessage())
      MessageBegan = Loop.now();
    const size_t Taken = Reader.feed(Buffered);
    Buffered.erase(0, Taken);
    if (Reader.error() != read_error::None) {
      refuseUnreadable(Reader.error());
      return;
    }
    if (!Reader.complete()) {
      sendContinue();
      return;
    }
    takeCall();
  }
}

void server_connection::sendContinue() {
  if (!Calls.empty() || ContinueSent || !Reader.expectsContinue())
    return;
  ContinueSent = true;
  Stream->write("HTTP/1.1 100 Continue\r\n\r\n");
}

void server_connection::takeCall() {
  const auto Call = std::make_shared<server_call>();
  Call->KeepsAlive = Reader.keepsAlive();
  Call->Request = Reader.takeRequest();
  Call->Arrived = MessageBegan;
  ContinueSent = false;
  Limits = Hooks.Limits();
  Reader.setLimits(Limits.Reader);
  if (!Call->KeepsAlive)
    ReadsNoMore = true;
  Call->OnResponse = [Weak = weak_from_this()] {
    if (const auto Self = Weak.lock())
      Self->sendAnswers();
  };
  Calls.push_back(Call);
  Hooks.OnCall(Call);
}

void server_connection::refuseUnreadable(read_error Error) {
  ReadsNoMore = true;
  const auto Call = std::make_shared<server_call>();
  Call->KeepsAlive = false;
  Call->Answered = true;
  Call->Answer.Status = statusOf(Error);
  Calls.push_back(Call);
  sendAnswers();
}

void server_connection::sendAnswers() {
  while (!Calls.empty() && Calls.front()->Answered && !Finishing) {
    const std::shared_ptr<server_call> Call = Calls.front();
    Calls.pop_front();
    const bool Last = !Call->KeepsAlive ||
                      (Hooks.Closing && Hooks.Closing() && Calls.empty());
    answer_framing Framing;
    Framing.Close = Last;
    Framing.OmitBody = Call->Request.Method == "HEAD";
    Stream->write(serialize(Call->Answer, Framing));
    LastActive = Loop.now();
    if (Last)
      finish();
  }
  if (Finishing)
    return;
  if (Stream->unsent() > UnsentLimit)
    Stream->pauseReading(true);
  readBuffered();
}

void server_connection::finish() {
  Finishing = true;
  ReadsNoMore = true;
  for (const auto &Call : Calls) {
    Call->Gone = true;
    if (Call->OnDisconnect && !Call->Answered)
      Call->OnDisconnect();
  }
  Calls.clear();
  Stream->finishWriting();
  Loop.cancel(Timer);
  Timer = Loop.callAfter(Linger, [Weak = weak_from_this()] {
    if (const auto Self = Weak.lock())
      Self->closeNow();
  });
}

void server_connection::onEnd() {
  // A caller that ended its side has left, also when answers are still due.
  closeNow();
}

void server_connection::closeNow() {
  if (!Stream->isOpen())
    return;
  Loop.cancel(Timer);
  Loop.retire(shared_from_this());
  Stream->close();
  Loop.retire(Stream);
  const auto Left = std::move(Calls);
  Calls.clear();
  for (const auto &Call : Left) {
    Call->Gone = true;
    if (Call->OnDisconnect && !Call->Answered)
      Call->OnDisconnect();
  }
  OnClosed();
}

void server_connection::closeIfIdle() {
  if (Calls.empty() && !Reader.inMessage() && Stream->unsent() == 0)
    closeNow();
}

void server_connection::armTimer() {
  const bool Reading = Reader.inMessage() && !Reader.headRead();
  const boot_time Due = Reading ? MessageBegan + Limits.HeadTimeout
                                : LastActive + Limits.IdleTimeout;
  const duration Shortest = std::min(Limits.HeadTimeout, Limits.IdleTimeout);
  const duration Wait = std::min<duration>(Due - Loop.now(), Shortest);
  Timer =
      Loop.callAfter(std::max<duration>(Wait, std::chrono::milliseconds(10)),
                     [Weak = weak_from_this()] {
                       if (const auto Self = Weak.lock())
                         Self->onTimer();
                     });
}

void server_connection::onTimer() {
  Limits = Hooks.Limits();
  const boot_time Now = Loop.now();
  const bool Reading = Reader.inMessage() && !Reader.headRead();
  if (Reading && Now - MessageBegan >= Limits.HeadTimeout) {
    ReadsNoMore = true;
    const auto Call = std::make_shared<server_call>();
    Call->KeepsAlive = false;
    Call->Answered = true;
    Call->Answer.Status = RequestTimeout;
    Calls.push_back(Call);
    sendAnswers();
    return;
  }
  const bool Idle = Calls.empty() && !Reader.inMessage();
  if (Idle && Now - LastActive >= Limits.IdleTimeout) {
    closeNow();
    return;
  }
  armTimer();
}

} // namespace magnolia::message
