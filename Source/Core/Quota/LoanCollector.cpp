#include "Quota/LoanCollector.h"

#include <algorithm>

namespace magnolia::quota {

namespace {

/// An owner's refusal holds for at most this long, since returned loans can
/// bring tokens earlier.
constexpr duration MaxRefusalPause = milliseconds(250);

} // namespace

loan_collector::waiting_request loan_collector::takeFirst() {
  const waiting_request First = Waiting.front();
  Waiting.pop_front();
  return First;
}

std::vector<loan_collector::waiting_request>
loan_collector::takeOverdue(common::boot_time Now) {
  std::vector<waiting_request> Overdue;
  std::erase_if(Waiting, [&](const waiting_request &Request) {
    if (Request.Deadline > Now)
      return false;
    Overdue.push_back(Request);
    return true;
  });
  return Overdue;
}

bool loan_collector::withdraw(uint64_t Ticket) {
  return std::erase_if(Waiting, [&](const waiting_request &Request) {
           return Request.Ticket == Ticket;
         }) > 0;
}

bool loan_collector::mayRequest(const std::string &Peer,
                                const rate_limiter_options &Options,
                                common::boot_time Now) const {
  if (Peer == Options.Self)
    return false;
  if (std::find(AskedOwners.begin(), AskedOwners.end(), Peer) !=
      AskedOwners.end())
    return false;
  const auto Found = NotBefore.find(Peer);
  return Found == NotBefore.end() || Found->second <= Now;
}

bool loan_collector::ownerMayStillReply(const rate_limiter_options &Options,
                                        instant Now) const {
  if (AnyReply)
    return false;
  return std::any_of(
      PendingRequests.begin(), PendingRequests.end(), [&](const auto &Entry) {
        const pending_request &Pending = Entry.second;
        return Pending.State == request_state::TimedOut &&
               Now.Boot - Pending.SentAt.Boot < Options.WaitLimit &&
               std::find(AskedOwners.begin(), AskedOwners.end(),
                         Pending.Peer) != AskedOwners.end();
      });
}

void loan_collector::request(const std::string &Workspace,
                             absl::Span<const std::string> Owners,
                             nano_tokens Wanted, nano_rate WantedRate,
                             uint64_t &NextNumber,
                             const rate_limiter_options &Options, instant Now,
                             std::vector<outgoing> &Out) {
  std::vector<std::string> Candidates;
  for (const std::string &Owner : Owners)
    if (mayRequest(Owner, Options, Now.Boot))
      Candidates.push_back(Owner);
  const bool FirstOfRound = AskedOwners.empty();
  if (FirstOfRound)
    AnyReply = false;
  const auto Preferred =
      std::find(Candidates.begin(), Candidates.end(), LastLender);
  if (Preferred != Candidates.end())
    std::iter_swap(Candidates.begin(), Preferred);
  // Each step of a round asks twice as many owners as all steps before it, so
  // that a token held by one owner costs few messages and a token spread over
  // many costs few round trips.
  const size_t Most = FirstOfRound ? 1 : 2 * AskedOwners.size();
  if (Candidates.size() > Most)
    Candidates.resize(Most);
  for (const std::string &Owner : Candidates) {
    loan_request Request;
    Request.Request = {Options.Process, NextNumber++};
    Request.Workspace = Workspace;
    Request.Wanted = Wanted;
    Request.WantedRate = WantedRate;
    PendingRequests[Request.Request.Number] = {
        Owner, Now, request_state::Open, {}};
    ++OpenCount;
    AskedOwners.push_back(Owner);
    Out.push_back({Owner, std::move(Request)});
  }
}

void loan_collector::close(pending_request &Pending, request_state State) {
  if (Pending.State == request_state::Open)
    --OpenCount;
  Pending.State = State;
}

loan_collector::verdict loan_collector::grantArrived(std::string_view Peer,
                                                     const loan_grant &Grant,
                                                     instant &RequestedAt) {
  const auto Found = PendingRequests.find(Grant.Request.Number);
  if (Found == PendingRequests.end() || Found->second.Peer != Peer)
    return verdict::Ignore;
  pending_request &Pending = Found->second;
  if (Pending.State == request_state::Replied) {
    // A late duplicate of the request created another loan, which was never
    // used. The accepted loan must not be returned for a duplicate grant.
    return Pending.Loan == Grant.Loan ? verdict::Ignore : verdict::ReturnLoan;
  }
  close(Pending, request_state::Replied);
  Pending.Loan = Grant.Loan;
  RequestedAt = Pending.SentAt;
  LastLender = Pending.Peer;
  AnyReply = true;
  NotBefore.erase(Pending.Peer);
  return verdict::Accept;
}

void loan_collector::refusalArrived(std::string_view Peer,
                                    const loan_refusal &Refusal, instant Now) {
  const auto Found = PendingRequests.find(Refusal.Request.Number);
  if (Found == PendingRequests.end() || Found->second.Peer != Peer)
    return;
  if (Found->second.State == request_state::Replied)
    return;
  close(Found->second, request_state::Replied);
  AnyReply = AnyReply || !Refusal.NotOwner;
  NotBefore[Found->second.Peer] =
      Now.Boot + std::min(Refusal.RetryAfter, MaxRefusalPause);
}

void loan_collector::advance(const rate_limiter_options &Options, instant Now) {
  absl::erase_if(PendingRequests, [&](auto &Entry) {
    pending_request &Pending = Entry.second;
    const duration Age = Now.Boot - Pending.SentAt.Boot;
    if (Pending.State == request_state::Open && Age >= Options.ReplyTimeout) {
      close(Pending, request_state::TimedOut);
      NotBefore[Pending.Peer] = Now.Boot + Options.UnresponsivePause;
    }
    // A grant that arrives later than this has already ended.
    return Age >= Options.LoanTerm;
  });
}

duration loan_collector::retryAfter(common::boot_time Now) const {
  duration Shortest = duration::max();
  for (const auto &[Peer, Time] : NotBefore)
    if (Time > Now)
      Shortest = std::min<duration>(Shortest, Time - Now);
  return Shortest == duration::max() ? duration::zero() : Shortest;
}

} // namespace magnolia::quota
