#include "Quota/Gathering.h"

#include <algorithm>

namespace magnolia::quota {

namespace {

/// A home's word that it has nothing is believed for at most this long, since
/// returned loans can bring tokens earlier.
constexpr duration LongestRefusal = milliseconds(250);

} // namespace

gathering::waiting_request gathering::takeFirst() {
  const waiting_request First = Waiting.front();
  Waiting.pop_front();
  return First;
}

std::vector<gathering::waiting_request>
gathering::takeOverdue(common::boot_time Now) {
  std::vector<waiting_request> Overdue;
  std::erase_if(Waiting, [&](const waiting_request &Request) {
    if (Request.Deadline > Now)
      return false;
    Overdue.push_back(Request);
    return true;
  });
  return Overdue;
}

bool gathering::withdraw(uint64_t Ticket) {
  return std::erase_if(Waiting, [&](const waiting_request &Request) {
           return Request.Ticket == Ticket;
         }) > 0;
}

bool gathering::mayAsk(const std::string &Peer,
                       const rate_limiter_options &Options,
                       common::boot_time Now) const {
  if (Peer == Options.Self)
    return false;
  if (std::find(Asked.begin(), Asked.end(), Peer) != Asked.end())
    return false;
  const auto Found = NotBefore.find(Peer);
  return Found == NotBefore.end() || Found->second <= Now;
}

bool gathering::mayStillAnswer(const rate_limiter_options &Options,
                               instant Now) const {
  if (HeardAny)
    return false;
  return std::any_of(
      Questions.begin(), Questions.end(), [&](const auto &Entry) {
        const question &Question = Entry.second;
        return Question.State == question_state::TimedOut &&
               Now.Boot - Question.AskedAt.Boot < Options.WaitLimit &&
               std::find(Asked.begin(), Asked.end(), Question.Peer) !=
                   Asked.end();
      });
}

void gathering::ask(const std::string &Workspace,
                    absl::Span<const std::string> Owners, nano_tokens Wanted,
                    nano_rate WantedRate, uint64_t &NextNumber,
                    const rate_limiter_options &Options, instant Now,
                    std::vector<outgoing> &Out) {
  std::vector<std::string> Candidates;
  for (const std::string &Home : Owners)
    if (mayAsk(Home, Options, Now.Boot))
      Candidates.push_back(Home);
  const bool FirstOfRound = Asked.empty();
  if (FirstOfRound)
    HeardAny = false;
  const auto Preferred =
      std::find(Candidates.begin(), Candidates.end(), Helper);
  if (Preferred != Candidates.end())
    std::iter_swap(Candidates.begin(), Preferred);
  // Each step of a round asks twice as many homes as all before it, so that a
  // token that one home has costs few messages and one that is spread over
  // many costs few round trips.
  const size_t Most = FirstOfRound ? 1 : 2 * Asked.size();
  if (Candidates.size() > Most)
    Candidates.resize(Most);
  for (const std::string &Home : Candidates) {
    loan_request Request;
    Request.Request = {Options.Process, NextNumber++};
    Request.Workspace = Workspace;
    Request.Wanted = Wanted;
    Request.WantedRate = WantedRate;
    Questions[Request.Request.Number] = {Home, Now, question_state::Open, {}};
    ++OpenCount;
    Asked.push_back(Home);
    Out.push_back({Home, std::move(Request)});
  }
}

void gathering::close(question &Question, question_state State) {
  if (Question.State == question_state::Open)
    --OpenCount;
  Question.State = State;
}

gathering::verdict gathering::grantArrived(std::string_view Peer,
                                           const loan_grant &Grant,
                                           instant &Asked) {
  const auto Found = Questions.find(Grant.Request.Number);
  if (Found == Questions.end() || Found->second.Peer != Peer)
    return verdict::Ignore;
  question &Question = Found->second;
  if (Question.State == question_state::Answered) {
    // A late duplicate of the question made another loan, which was never
    // used. The accepted one must not be given back for a duplicate grant.
    return Question.Loan == Grant.Loan ? verdict::Ignore : verdict::GiveBack;
  }
  close(Question, question_state::Answered);
  Question.Loan = Grant.Loan;
  Asked = Question.AskedAt;
  Helper = Question.Peer;
  HeardAny = true;
  NotBefore.erase(Question.Peer);
  return verdict::Accept;
}

void gathering::refusalArrived(std::string_view Peer,
                               const loan_refusal &Refusal, instant Now) {
  const auto Found = Questions.find(Refusal.Request.Number);
  if (Found == Questions.end() || Found->second.Peer != Peer)
    return;
  if (Found->second.State == question_state::Answered)
    return;
  close(Found->second, question_state::Answered);
  HeardAny = HeardAny || !Refusal.NotHome;
  NotBefore[Found->second.Peer] =
      Now.Boot + std::min(Refusal.RetryAfter, LongestRefusal);
}

void gathering::advance(const rate_limiter_options &Options, instant Now) {
  absl::erase_if(Questions, [&](auto &Entry) {
    question &Question = Entry.second;
    const duration Age = Now.Boot - Question.AskedAt.Boot;
    if (Question.State == question_state::Open &&
        Age >= Options.AnswerTimeout) {
      close(Question, question_state::TimedOut);
      NotBefore[Question.Peer] = Now.Boot + Options.SilentPeerPause;
    }
    // A grant that comes later than this has ended on arrival.
    return Age >= Options.LoanTerm;
  });
}

duration gathering::retryAfter(common::boot_time Now) const {
  duration Shortest = duration::max();
  for (const auto &[Peer, Time] : NotBefore)
    if (Time > Now)
      Shortest = std::min<duration>(Shortest, Time - Now);
  return Shortest == duration::max() ? duration::zero() : Shortest;
}

} // namespace magnolia::quota
