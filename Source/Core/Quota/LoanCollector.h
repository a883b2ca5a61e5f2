#pragma once

#include <deque>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/types/span.h>

#include "Quota/Admission.h"
#include "Quota/RateLimiterOptions.h"

namespace magnolia::quota {

/// Requests of one workspace that wait for tokens, and the loan requests sent
/// to owners to get these tokens. A round of loan requests asks each owner at
/// most once and ends when no request waits. Not thread-safe.
class loan_collector {
public:
  struct waiting_request {
    uint64_t Ticket = 0;
    common::boot_time Deadline;
  };

  /// How to proceed with a loan that an owner granted.
  enum class verdict { Accept, ReturnLoan, Ignore };

  bool idle() const { return Waiting.empty() && PendingRequests.empty(); }
  bool hasWaiting() const { return !Waiting.empty(); }
  /// Whether a loan request awaits its reply and has not timed out.
  bool hasOpenRequests() const { return OpenCount > 0; }
  /// Whether no owner has replied in this round but one that was asked less
  /// than WaitLimit ago and timed out may still reply: it can be busy rather
  /// than unreachable.
  bool ownerMayStillReply(const rate_limiter_options &Options,
                          instant Now) const;
  size_t waitingCount() const { return Waiting.size(); }

  void addWaiting(waiting_request Request) { Waiting.push_back(Request); }
  waiting_request takeFirst();

  /// Removes and returns the requests whose deadline has passed.
  std::vector<waiting_request> takeOverdue(common::boot_time Now);

  /// Removes a request whose caller disconnected; false if it was not waiting.
  bool withdraw(uint64_t Ticket);

  /// Requests \p Wanted tokens from owners: first from the last lender, then in
  /// each step from more of the others at once.
  void request(const std::string &Workspace,
               absl::Span<const std::string> Owners, nano_tokens Wanted,
               nano_rate WantedRate, uint64_t &NextNumber,
               const rate_limiter_options &Options, instant Now,
               std::vector<outgoing> &Out);

  /// Decides how to proceed with a grant and returns in \p RequestedAt when it
  /// was requested.
  verdict grantArrived(std::string_view Peer, const loan_grant &Grant,
                       instant &RequestedAt);

  /// Records that an owner has nothing to lend for now.
  void refusalArrived(std::string_view Peer, const loan_refusal &Refusal,
                      instant Now);

  /// Marks loan requests without a reply as timed out and forgets those that
  /// are older than the term of a loan.
  void advance(const rate_limiter_options &Options, instant Now);

  /// Forgets which owners were asked, for the next round.
  void endRound() { AskedOwners.clear(); }

  /// Shortest time until an owner may have tokens again; zero if unknown.
  duration retryAfter(common::boot_time Now) const;

  /// Whether an owner replied since the round began; a refusal by an instance
  /// that is not an owner does not count.
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
  /// Owners asked in this round.
  std::vector<std::string> AskedOwners;
  /// The time from which each owner may be asked again.
  absl::flat_hash_map<std::string, common::boot_time> NotBefore;
  std::string LastLender;
  bool AnyReply = false;
};

} // namespace magnolia::quota
