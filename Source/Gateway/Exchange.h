#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Common/ErrorKind.h"
#include "Gateway/Gateway.h"
#include "Net/Message/HttpClient.h"
#include "Net/Message/ServerConnection.h"
#include "Request/RefusalPlan.h"

namespace magnolia::gateway {

/// Proxies one HTTP request, from its arrival to its response. The hooks of its
/// timers and connections keep it alive until it has responded.
class exchange : public std::enable_shared_from_this<exchange> {
public:
  /// Starts to process the request; the caller gets a response by its deadline.
  static void begin(gateway &Gateway,
                    const std::shared_ptr<message::server_call> &Call);

private:
  using timer_id = event::event_loop::timer_id;

  /// One attempt at one target.
  struct attempt {
    placement::target_ref Target;
    std::shared_ptr<message::client_connection> Connection;
    boot_time StartedAt;
    boot_time SentAt;
    bool Sent = false;
    bool Ended = false;
    /// The target is over its capacity, so the request queues there and a slow
    /// response is no sign of failure.
    bool Queued = false;
    /// It counts as stalled.
    bool Stalled = false;
    /// What its body counts for at the target.
    std::unique_ptr<admission::target_bytes::use> BodyUse;
    std::vector<timer_id> Timers;
  };
  using attempt_ref = std::shared_ptr<attempt>;

  exchange(gateway &Gateway, std::shared_ptr<message::server_call> Call);

  // From arrival to the first attempt.
  void start();
  /// Refuses a request when messages hold nearly all memory that they may.
  bool checkMemory();
  /// Refuses a request whose body is larger than what a target may hold.
  bool checkTargetBytes();
  /// Refuses a request that needs a key and has none that is known.
  bool checkKey();
  /// Refuses a request that no target may run: all are evacuated or outside of
  /// the home regions of the route and the workspace.
  bool checkPlaces();
  bool admit();
  void chooseService();
  bool readDeadline();
  /// Refuses a request under which targets end.
  bool checkQuarantine();
  /// The end of its quarantine, if it must not be sent to a target now.
  std::optional<boot_time> quarantinedUntil();
  /// Refuses a request whose response may come after this instance has shut
  /// down.
  bool checkShutdown();

  // Turns: while its service is short of room, a request may have to wait
  // before the first attempt.
  void takeRank();
  /// Tries a target when it is this request's turn.
  void requestTurn();
  void onTurn(const absl::Status &Decision);
  void leaveQueue(admission::slot_use Use);

  // Attempts.
  void tryNext();
  bool mayUseAnotherTarget() const;
  placement::target_ref chooseTarget();
  /// Targets that could not be reached, or that take no request now: their
  /// limit is used up, they are cold, or the requests there leave no room for
  /// the body.
  std::vector<placement::target_key> unusableTargets() const;
  bool hasUntriedTarget() const;
  /// Targets that would take the request if its body fitted.
  std::vector<placement::target_key> targetsWithoutRoom() const;
  void waitForTarget();
  /// Gives up since no target took the request within its wait.
  void giveUpWaiting();
  /// The same in the order of the queue.
  void waitInQueue();
  /// How long it waits until a target is available.
  boot_time waitsUntil() const;
  /// Whether all targets of the service are paused or cold for longer than
  /// that.
  bool allTargetsArePaused() const;
  void startAttempt(const placement::target_ref &Target);
  void logAttempt(const attempt &Attempt, bool KeptConnection) const;
  void logOutcome(std::string_view Outcome, int Status,
                  std::string_view Detail);
  void connect(const attempt_ref &Attempt);
  void onConnected(const attempt_ref &Attempt);
  void onConnectionLost(const attempt_ref &Attempt);
  void send(const attempt_ref &Attempt);
  std::string requestHead(const attempt &Attempt) const;
  message::client_hooks hooksOf(const attempt_ref &Attempt);
  void startTimers(const attempt_ref &Attempt);
  void onStalled(const attempt_ref &Attempt);
  /// Starts the timer of a second send.
  void startHedgeTimer(const attempt_ref &Attempt);
  void maybeHedge();
  /// The same within the operator's limit; \p Late: the attempt that takes
  /// longer than is usual.
  void hedgeWithinLimit(const attempt &Late);
  fleet::request_rank rankForBudget() const;
  /// Whether the budget allows one more attempt, which becomes the reason of
  /// the next choice. \p Why: as in the log.
  bool tryExtraAttempt(std::string_view Why);

  // Responses of targets.
  void onResponse(const attempt_ref &Attempt, message::response Response);
  void onFailure(const attempt_ref &Attempt, message::exchange_failure Failure);
  void onNotRun(const attempt_ref &Attempt);
  /// What becomes of the request now that a target has refused it.
  request::after_refusal nextAfterRefusal() const;
  void pauseTarget(const attempt &Attempt, duration Pause);
  /// Gives up because all targets are evacuated; false if one is not.
  bool giveUpIfEvacuated();
  /// Responds when no target takes the request; \p Kind if none has run it.
  void giveUp(common::error_kind Kind, std::string_view Detail);
  /// Delay before a target that refused the request is tried again.
  duration refusalBackoff() const;
  /// Whether the response is a 504 for the deadline that was sent to the
  /// target. It is no evidence against the target by itself: routes may have
  /// short timeouts.
  bool gaveUpAtDeadline(const message::response &Response) const;
  void onTargetError(message::response Response);
  void retryOrFail(common::error_kind Kind, std::string_view Detail);
  void observe(const attempt &Attempt, placement::evidence Evidence);
  void endAttempt(const attempt_ref &Attempt, bool Reuse);

  // Completion.
  void onDeadline();
  /// Responds without waiting any longer, since this instance ends.
  void onInstanceEnd();
  void refuse(common::error_kind Kind, std::string_view Detail,
              std::optional<duration> RetryAfter = std::nullopt);
  void forwardResponse(message::response Response);
  /// Records that a response to the caller was given up.
  static void onAbandoned(gateway &Gateway, std::string_view Id,
                          const message::abandoned_response &Response);
  void finish();
  /// Records what the sends of a request that was answered show of latencies,
  /// and what became of its second send.
  void settleSecondSend();
  latency_key latencyKey() const { return {Service, Route->Name}; }
  /// Counts the request if it ended without success.
  void countFailure();

  bool repeatable() const {
    return Route->Repeatability == routing::repeatability::Repeatable;
  }
  /// Whether the route allows another attempt after one that failed.
  bool mayBeSentAgain() const { return repeatable() && Route->MaxAttempts > 1; }
  /// See fingerprintOf().
  uint64_t fingerprint();
  size_t openAttempts() const;
  duration timeLeft() const { return RespondBy - Gateway.Loop.now(); }

  gateway &Gateway;
  const std::shared_ptr<message::server_call> Call;
  /// Keeps the route and the workspace alive.
  std::shared_ptr<const routing::route_table> Routes;
  const routing::route *Route = nullptr;
  const routing::workspace *Workspace = nullptr;
  std::string Service;
  /// The failure domains in which the request may run.
  placement::domain_filter Domains;
  std::string Id;
  boot_time CallerDeadline;
  boot_time RespondBy;
  std::vector<attempt_ref> Attempts;
  /// Targets to which the request was sent, and those of them that refused to
  /// run it.
  std::vector<placement::target_key> SentTo;
  std::vector<placement::target_key> RefusedBy;
  std::vector<placement::target_key> Unreachable;
  std::optional<message::response> TargetError;
  std::optional<uint64_t> Fingerprint;
  /// Its rank, if the requests of the service differ in it.
  std::optional<size_t> Rank;
  /// Its place in the queue of the service, or its turn.
  std::optional<admission::ticket> Ticket;
  bool HasTurn = false;
  /// It has waited for room for its body at a target.
  bool WaitsForBytes = false;
  timer_id DeadlineTimer = 0;
  timer_id PauseTimer = 0;
  bool ReturnedSuccess = false;
  bool Hedged = false;
  /// The attempt that a late one caused within the operator's limit.
  attempt_ref SecondSend;
  /// The attempt whose response the caller gets.
  attempt_ref Answered;
  /// Why it was not admitted, if it was not.
  bool NotAdmitted = false;
  /// Why the next target is chosen; written to the log.
  std::string_view Reason = "first";
  bool Done = false;
  /// A target may have run the request.
  bool MayHaveRun = false;
};

} // namespace magnolia::gateway
