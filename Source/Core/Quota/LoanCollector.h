#pragma once

#include <deque>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/types/span.h>

#include "Quota/Admission.h"
#include "Quota/RateLimiterOptions.h"

namespace magnolia::quota {

/// Requests of one workspace that wait for tokens, and the questions to homes
/// that shall bring them. Not thread-safe.
class loan_collector {
public:
  struct waiting_request {
    uint64_t Ticket = 0;
    common::boot_time Deadline;
  };

  /// What becomes of a loan that a home granted.
  enum class verdict { Accept, ReturnLoan, Ignore };

  bool idle() const { return Waiting.empty() && PendingRequests.empty(); }
  bool hasWaiting() const { return !Waiting.empty(); }
  bool hasOpenRequests() const { return OpenCount > 0; }
  /// No home has answered in this round, but one that was asked a short while
  /// ago may: it can be busy rather than gone.
  bool mayStillReply(const rate_limiter_options &Options, instant Now) const;
  size_t waitingCount() const { return Waiting.size(); }

  void wait(waiting_request Request) { Waiting.push_back(Request); }
  waiting_request takeFirst();

  /// Removes the requests that have waited until their deadline.
  std::vector<waiting_request> takeOverdue(common::boot_time Now);

  /// Removes a request whose caller is gone.
  bool withdraw(uint64_t Ticket);

  /// Asks homes for \p Wanted tokens: the one that helped last first, then more
  /// of the others at once in each step.
  void request(const std::string &Workspace,
               absl::Span<const std::string> Owners, nano_tokens Wanted,
               nano_rate WantedRate, uint64_t &NextNumber,
               const rate_limiter_options &Options, instant Now,
               std::vector<outgoing> &Out);

  /// Decides about a grant and notes when it was asked for.
  verdict grantArrived(std::string_view Peer, const loan_grant &Grant,
                       instant &RequestedAt);

  /// Notes that a home has nothing for now.
  void refusalArrived(std::string_view Peer, const loan_refusal &Refusal,
                      instant Now);

  /// Gives up questions without an answer and forgets old ones.
  void advance(const rate_limiter_options &Options, instant Now);

  /// Forgets whom this round asked, for the next one.
  void endRound() { AskedOwners.clear(); }

  /// Shortest time until a home may have tokens again; zero if unknown.
  duration retryAfter(common::boot_time Now) const;

  /// Whether a home answered since the round began.
  bool anyOwnerReplied() const { return AnyReply; }

private:
  enum class request_state : uint8_t { Open, TimedOut, Replied };

  struct pending_request {
    std::string Peer;
    instant SentAt;
    request_state State = request_state::Open;
    transfer_id Loan;
  };

  void close(pending_request &Pending, request_state State);
  bool mayRequest(const std::string &Peer, const rate_limiter_options &Options,
                  common::boot_time Now) const;

  std::deque<waiting_request> Waiting;
  absl::flat_hash_map<uint64_t, pending_request> PendingRequests;
  size_t OpenCount = 0;
  /// Homes asked in this round.
  std::vector<std::string> AskedOwners;
  /// When each home may be asked again.
  absl::flat_hash_map<std::string, common::boot_time> NotBefore;
  std::string LastLender;
  bool AnyReply = false;
};

} // namespace magnolia::quota
