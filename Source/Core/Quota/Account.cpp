#include "Quota/Account.h"

#include <algorithm>

namespace magnolia::quota {

namespace {

constexpr duration MinRetryAfter = milliseconds(1);
constexpr duration MaxRetryAfter = std::chrono::seconds(60);

} // namespace

account::account(std::string Workspace, nano_rate Rate, nano_tokens Capacity,
                 uint64_t Epoch, common::boot_time Since)
    : Workspace(std::move(Workspace)), Since(Since),
      Own(Rate, Capacity, Epoch, Since) {}

admission account::admit(const account_context &Context,
                         common::boot_time Deadline, effects &Out) {
  refresh(Context.Now);
  Demand.countArrival(Context.Now.Boot);
  if (Context.Stopping)
    return refusal{refusal_reason::RightsUnavailable, MinRetryAfter};
  if (Collector.hasWaiting())
    processWaiting(Context, Out);
  if (!Collector.hasWaiting() && usable(Context) >= OneToken)
    return reserveOne(Context);
  if (Collector.waitingCount() >= Context.Options.MaxWaitingRequests)
    return makeRefusal(Context);
  const uint64_t Ticket = Context.NextNumber++;
  Collector.addWaiting(
      {Ticket,
       std::min(Deadline, Context.Now.Boot + Context.Options.WaitLimit)});
  if (!Collector.hasOpenRequests())
    requestLoans(Context, Out);
  if (Collector.hasOpenRequests() ||
      Collector.ownerMayStillReply(Context.Options, Context.Now))
    return ticket{Ticket};
  Collector.withdraw(Ticket);
  Collector.endRound();
  returnSurplus(Context, Out);
  return makeRefusal(Context);
}

bool account::spend(const permit &Permit, const account_context &Context,
                    effects &Out) {
  refresh(Context.Now);
  const bool Valid = std::all_of(Permit.Pieces.begin(), Permit.Pieces.end(),
                                 [&](const permit_piece &Piece) {
                                   if (Piece.Loan.Number != 0)
                                     return Borrowed.runs(Piece);
                                   return Permit.Epoch == Own.epoch() &&
                                          !Context.Lease.passed(Context.Now);
                                 });
  if (!Valid) {
    cancel(Permit, Context, Out);
    return false;
  }
  for (const permit_piece &Piece : Permit.Pieces) {
    if (Piece.Loan.Number != 0)
      Borrowed.settle(Piece, Context.Now);
    else
      Own.settle(Piece.Amount, Context.Now.Boot);
  }
  returnSurplus(Context, Out);
  return true;
}

void account::cancel(const permit &Permit, const account_context &Context,
                     effects &Out) {
  refresh(Context.Now);
  for (const permit_piece &Piece : Permit.Pieces) {
    if (Piece.Loan.Number != 0)
      Borrowed.cancel(Piece, Context.Now);
    else if (Permit.Epoch == Own.epoch())
      Own.cancel(Piece.Amount, Context.Now.Boot);
  }
  processWaiting(Context, Out);
}

bool account::withdraw(uint64_t Ticket, const account_context &Context,
                       effects &Out) {
  refresh(Context.Now);
  const bool Waited = Collector.withdraw(Ticket);
  processWaiting(Context, Out);
  return Waited;
}

void account::handle(std::string_view Peer, const message &Message,
                     const account_context &Context, effects &Out) {
  refresh(Context.Now);
  if (const auto *Request = std::get_if<loan_request>(&Message))
    return onRequest(Peer, *Request, Context, Out);
  if (const auto *Grant = std::get_if<loan_grant>(&Message))
    onGrant(Peer, *Grant, Context, Out);
  else if (const auto *Refusal = std::get_if<loan_refusal>(&Message))
    Collector.refusalArrived(Peer, *Refusal, Context.Now);
  else if (const auto *Return = std::get_if<loan_return>(&Message))
    Own.acceptReturn(Peer, *Return, Context.Now.Boot);
  processWaiting(Context, Out);
}

void account::advance(const account_context &Context, effects &Out) {
  refresh(Context.Now);
  Collector.advance(Context.Options, Context.Now);
  processWaiting(Context, Out);
  Borrowed.returnEnding(Workspace, Context.Options.ReturnLead, Context.Now,
                        Out.Messages);
  Borrowed.returnUnused(Workspace, Context.Options.IdleReturn, Context.Now,
                        Out.Messages);
}

void account::resize(nano_rate Rate, nano_tokens Capacity,
                     common::boot_time Now) {
  Own.resize(Rate, Capacity, Now);
}

void account::forfeit(uint64_t NewEpoch, common::boot_time Now) {
  Since = Now;
  Own.forfeit(NewEpoch, Now);
}

void account::release(const account_context &Context, effects &Out) {
  refresh(Context.Now);
  refuseWaiting({refusal_reason::RightsUnavailable, MinRetryAfter}, Out);
  Borrowed.returnAll(Workspace, Context.Now, Out.Messages);
}

bool account::quiet() const {
  return Collector.idle() && Borrowed.empty() && !Own.hasLoans();
}

void account::onRequest(std::string_view Peer, const loan_request &Request,
                        const account_context &Context, effects &Out) {
  const instant Now = Context.Now;
  if (const auto Before = Own.findGrant(Peer, Request)) {
    Out.Messages.push_back({std::string(Peer), *Before});
    return;
  }
  // A loan ends before the lease of the shares that it is granted from.
  const duration Term =
      std::min(Context.Options.LoanTerm, Context.Lease.left(Now));
  const bool CanLend = Term > duration::zero() && !Context.Stopping &&
                       !Collector.hasWaiting() && Own.hasRights();
  lend_offer Offer;
  if (CanLend) {
    const lend_query Query = Own.query(Request, Demand.rate(Now.Boot));
    Offer = clampOffer(Context.Options.LendPolicy(Query), Query);
  }
  if (Offer.Tokens > 0) {
    const transfer_id Loan{Context.Options.Process, Context.NextNumber++};
    Out.Messages.push_back({std::string(Peer), Own.lend(Peer, Request, Offer,
                                                        Loan, Term, Now.Boot)});
    return;
  }
  loan_refusal Refusal;
  Refusal.Request = Request.Request;
  Refusal.Workspace = Workspace;
  Refusal.NotOwner = !Own.hasRights() || Term <= duration::zero();
  const nano_tokens Useful =
      std::min({Request.Wanted, Own.bucket().capacity(), OneToken});
  Refusal.RetryAfter =
      std::clamp(Own.bucket().timeUntil(Useful), MinRetryAfter, MaxRetryAfter);
  Out.Messages.push_back({std::string(Peer), std::move(Refusal)});
}

void account::onGrant(std::string_view Peer, const loan_grant &Grant,
                      const account_context &Context, effects &Out) {
  instant RequestedAt;
  const auto Verdict = Collector.grantArrived(Peer, Grant, RequestedAt);
  if (Verdict == loan_collector::verdict::Ignore)
    return;
  if (Verdict == loan_collector::verdict::ReturnLoan) {
    Out.Messages.push_back(
        {std::string(Peer), loan_return{Grant.Loan, Workspace, Grant.Tokens}});
    return;
  }
  const auto Margin = duration(static_cast<duration::rep>(
      static_cast<double>(Grant.Term.count()) * Context.Options.ClockDrift));
  Borrowed.accept(Peer, Grant, expiryAfter(RequestedAt, Grant.Term - Margin),
                  Context.Now);
}

void account::refresh(instant Now) {
  Own.advance(Now.Boot);
  Borrowed.advance(Now);
}

nano_tokens account::usable(const account_context &Context) const {
  const nano_tokens Loans = Borrowed.available();
  if (Context.Lease.passed(Context.Now))
    return Loans;
  return Loans + Own.bucket().available();
}

permit account::reserveOne(const account_context &Context) {
  permit Permit{Workspace, Own.epoch(), {}};
  const nano_tokens Loans =
      Borrowed.reserve(OneToken, Permit.Pieces, Context.Now);
  if (Loans < OneToken) {
    Own.reserve(OneToken - Loans, Context.Now.Boot);
    Permit.Pieces.push_back({{}, OneToken - Loans});
  }
  return Permit;
}

void account::admitWaiting(const account_context &Context, effects &Out) {
  while (Collector.hasWaiting() && usable(Context) >= OneToken)
    Out.Resolved.push_back({Collector.takeFirst().Ticket, reserveOne(Context)});
}

void account::processWaiting(const account_context &Context, effects &Out) {
  for (const auto &Overdue : Collector.takeOverdue(Context.Now.Boot))
    Out.Resolved.push_back({Overdue.Ticket, makeRefusal(Context)});
  admitWaiting(Context, Out);
  if (!Collector.hasOpenRequests() && Collector.hasWaiting()) {
    requestLoans(Context, Out);
    if (!Collector.hasOpenRequests() &&
        !Collector.ownerMayStillReply(Context.Options, Context.Now))
      refuseWaiting(makeRefusal(Context), Out);
  }
  if (!Collector.hasWaiting())
    Collector.endRound();
  returnSurplus(Context, Out);
}

void account::requestLoans(const account_context &Context, effects &Out) {
  const auto Count = static_cast<nano_tokens>(Collector.waitingCount());
  const nano_tokens Missing = Count * OneToken - usable(Context);
  if (Missing <= 0)
    return;
  const nano_rate Held = Own.bucket().rate() + Borrowed.rate();
  const nano_rate WantedRate =
      std::max<nano_rate>(0, Demand.rate(Context.Now.Boot) - Held);
  Collector.request(Workspace, Context.Owners, Missing, WantedRate,
                    Context.NextNumber, Context.Options, Context.Now,
                    Out.Messages);
}

void account::refuseWaiting(refusal Refusal, effects &Out) {
  while (Collector.hasWaiting())
    Out.Resolved.push_back({Collector.takeFirst().Ticket, Refusal});
}

refusal account::makeRefusal(const account_context &Context) const {
  refusal Refusal;
  const bool OwnsRights = Own.hasRights() && !Context.Lease.passed(Context.Now);
  if (!OwnsRights && !Collector.anyOwnerReplied())
    Refusal.Reason = refusal_reason::RightsUnavailable;
  duration Wait = Collector.retryAfter(Context.Now.Boot);
  if (OwnsRights) {
    const duration OwnWait = timeUntilToken();
    Wait = Wait == duration::zero() ? OwnWait : std::min(Wait, OwnWait);
  }
  Refusal.RetryAfter = std::clamp(Wait, MinRetryAfter, MaxRetryAfter);
  return Refusal;
}

duration account::timeUntilToken() const {
  return Own.bucket().timeUntil(std::min(OneToken, Own.bucket().capacity()));
}

void account::returnSurplus(const account_context &Context, effects &Out) {
  if (Context.Stopping)
    Borrowed.returnAll(Workspace, Context.Now, Out.Messages);
  else if (!Collector.hasWaiting())
    Borrowed.returnWithoutRate(Workspace, Context.Now, Out.Messages);
}

} // namespace magnolia::quota
