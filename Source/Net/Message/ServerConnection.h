#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <vector>

#include "Admission/ShutdownPlan.h"
#include "Admission/UnfetchedAnswers.h"
#include "Net/Event/EventLoop.h"
#include "Net/Event/TcpStream.h"
#include "Net/Message/MemoryMeter.h"
#include "Net/Message/Message.h"
#include "Net/Message/MessageReader.h"

namespace magnolia::message {

using event::boot_time;
using event::duration;

/// Size and time limits for callers.
struct server_limits {
  reader_limits Reader;
  /// From the first byte of a request to the end of its head.
  duration HeadTimeout = std::chrono::seconds(10);
  /// Without a request on a keep-alive connection.
  duration IdleTimeout = std::chrono::seconds(60);
  /// Requests of one connection that are served concurrently.
  size_t PipelineLimit = 16;
  /// Bounds what requests hold, of all connections that share it; null for no
  /// bound on the sum.
  std::shared_ptr<admission::memory_shares> Shares = nullptr;
  /// Decides which responses that callers do not fetch are given up; null if
  /// none are.
  std::shared_ptr<admission::unfetched_answers> Unfetched = nullptr;
};

/// A response that was given up before the caller had fetched it.
struct abandoned_response {
  /// Bytes of the connection that were not sent.
  size_t Unsent = 0;
  /// For how long the caller had something to fetch.
  duration Age{0};
};

/// A request that was read completely and waits for its response.
class server_call {
public:
  request Request;
  /// When its first byte was read.
  boot_time Arrived;
  /// Called at most once, when the caller disconnects before the response.
  std::function<void()> OnDisconnect;
  /// Called when the response was given up since the caller had not fetched it
  /// and others needed the memory.
  std::function<void(const abandoned_response &)> OnAbandoned;
  /// Called when the request must be responded to at once, since its server
  /// ends.
  std::function<void()> OnServerEnd;

  /// Sets the response; only the first call counts.
  void respond(response Response);

  bool responded() const { return Responded; }

private:
  friend class server_connection;

  std::function<void()> OnResponse;
  response Response;
  /// What the request holds.
  std::shared_ptr<void> Memory;
  bool Responded = false;
  bool Disconnected = false;
  bool KeepsAlive = true;
};

/// Callbacks to the owner of a server.
struct server_hooks {
  std::function<void(const std::shared_ptr<server_call> &Call)> OnCall;
  /// Called for each request, so that a changed configuration takes effect.
  std::function<server_limits()> Limits;
  /// Whether responses ask callers to close their connection.
  std::function<bool()> Closing;
};

/// A caller's connection: requests are served concurrently, responses are sent
/// in the order of the requests.
class server_connection
    : public std::enable_shared_from_this<server_connection> {
public:
  using closed_hook = std::function<void()>;

  static std::shared_ptr<server_connection> open(event::event_loop &Loop,
                                                 int Descriptor,
                                                 const server_hooks &Hooks,
                                                 closed_hook OnClosed);

  /// Closes the connection if no request is being read or served.
  void closeIfIdle();

  size_t pendingRequests() const { return Calls.size(); }
  /// Bytes of responses that were not passed to the system yet.
  size_t unsentBytes() const { return Stream->unsent(); }

  /// Complete responses that wait behind a request without one.
  admission::blocked_responses blockedResponses() const;
  /// Ends the requests for which complete responses wait.
  void endBlocking();
  /// Ends all requests without a response.
  void endUnanswered();

private:
  server_connection(event::event_loop &Loop, const server_hooks &Hooks,
                    closed_hook OnClosed);
  void onBytes(std::string_view Bytes);
  void onEnd(event::stream_end End);
  /// Reads buffered requests and sends responses, for one turn.
  void process();
  void readBuffered();
  void beginMessage();
  /// Whether there is room for the buffered bytes, and for what the head of the
  /// request announces. Otherwise nothing more is read until there is.
  bool hasRoom();
  void resume();
  /// Stops or starts reading, as there is room for more.
  void updateReading();
  /// Refuses the request that waits for room.
  void refuseForMemory();
  void write(server_call &Call, const response_framing &Framing);
  /// Accounts for \p Call's response, of which bytes are unsent.
  void addUnfetched(server_call &Call,
                    std::shared_ptr<admission::memory_shares::holding> Memory);
  void onFetched();
  void giveUpUnfetched();
  void startCall();
  void respondToReadError(read_error Error);
  /// Responds in place of a request that was not read, and closes.
  void respondUnread(response Response);
  void sendResponses();
  void sendContinue();
  /// The end of the calls that stand before the last complete response.
  size_t endOfBlocking() const;
  /// Ends those of the first \p Count calls that have no response.
  void endFirst(size_t Count);
  void finish();
  /// Waits until the caller has fetched the last response or stops to.
  void linger(size_t UnsentBefore);
  void onLingered(size_t UnsentBefore);
  void closeNow();
  void armTimer();
  void onTimer();

  event::event_loop &Loop;
  const server_hooks &Hooks;
  closed_hook OnClosed;
  server_limits Limits;
  std::shared_ptr<event::tcp_stream> Stream;
  message_reader Reader;
  memory_meter Meter;
  std::string Buffered;
  /// Of responses of which bytes are unsent.
  std::vector<std::shared_ptr<void>> UnsentMemory;
  /// The same if they may be given up, and who is told.
  std::unique_ptr<admission::unfetched_answers::answer> Unfetched;
  std::vector<std::function<void(const abandoned_response &)>> OnAbandoned;
  std::deque<std::shared_ptr<server_call>> Calls;
  event::event_loop::timer_id Timer = 0;
  boot_time LastActivity;
  boot_time MessageStart;
  size_t CallsOfTurn = 0;
  bool Processing = false;
  /// The next turn follows without new bytes.
  bool TurnScheduled = false;
  bool ContinueSent = false;
  bool ReadingStopped = false;
  bool Finishing = false;
};

} // namespace magnolia::message
