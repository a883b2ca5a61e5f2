#include "Quota/RateLimiter.h"

#include <doctest/doctest.h>

using namespace magnolia;
using namespace magnolia::quota;

namespace {

instant at(int64_t Milliseconds) {
  return {common::boot_time(milliseconds(Milliseconds)),
          common::wall_time(milliseconds(Milliseconds))};
}

/// The rate limiter of instance "here" with one partition, and what it sent.
struct limiter_fixture {
  std::vector<outgoing> Sent;
  std::vector<resolution> Resolved;
  std::unique_ptr<rate_limiter> Limiter;

  explicit limiter_fixture(uint32_t Held) {
    rate_limiter_options Options;
    Options.Self = "here";
    Options.Process = 1;
    rate_limiter_hooks Hooks;
    Hooks.Send = [this](const std::string &Peer, const message &Message) {
      Sent.push_back({Peer, Message});
    };
    Hooks.Resolved = [this](const resolution &Resolution) {
      Resolved.push_back(Resolution);
    };
    Limiter = *rate_limiter::create(Options, Hooks);
    const std::vector<contract::workspace> Workspaces{{"gloves", 100, 10}};
    Limiter->setConfiguration(Workspaces, at(0));
    share_view View;
    View.SlotCount = 2;
    View.Partitions.resize(1);
    View.Partitions[0].Held = Held;
    View.Partitions[0].Owners = {"there"};
    Limiter->setShares(std::make_shared<share_view>(View), at(0));
    if (Held > 0)
      Limiter->setLease(expiryAfter(at(0), std::chrono::seconds(10)));
  }

  admission admit(int64_t Milliseconds) {
    return Limiter->admit("gloves", at(Milliseconds),
                          at(Milliseconds + 1000).Boot);
  }

  /// Grants the last loan request; the grant arrives at \p Milliseconds.
  loan_grant grant(int64_t Milliseconds, nano_tokens Tokens) {
    loan_grant Grant;
    Grant.Request = std::get<loan_request>(Sent.back().Message).Request;
    Grant.Loan = {9, 1};
    Grant.Workspace = "gloves";
    Grant.Tokens = Tokens;
    Grant.Capacity = Tokens;
    Grant.Term = milliseconds(500);
    Limiter->handleMessage("there", Grant, at(Milliseconds));
    return Grant;
  }
};

} // namespace

TEST_CASE("The rate limiter of an owner") {
  limiter_fixture Owner(1);

  SUBCASE("starts empty and admits what its part of the rate earned") {
    CHECK(std::holds_alternative<ticket>(Owner.admit(0)));
    // Half of 100 requests per second, less the clock drift.
    Owner.Limiter->advance(at(20));
    CHECK(Owner.Resolved.empty());
    Owner.Limiter->advance(at(21));
    REQUIRE(Owner.Resolved.size() == 1);
    CHECK(std::holds_alternative<permit>(Owner.Resolved[0].Result));
    CHECK(std::holds_alternative<permit>(Owner.admit(100)));
  }

  SUBCASE("spends no permit after its lease ended by either clock") {
    const auto Permit = std::get<permit>(Owner.admit(1000));
    const instant BootPassed{at(10000).Boot, at(0).Wall};
    const instant WallPassed{at(0).Boot, at(10000).Wall};
    CHECK_FALSE(Owner.Limiter->spend(Permit, BootPassed));
    CHECK_FALSE(
        Owner.Limiter->spend(std::get<permit>(Owner.admit(1001)), WallPassed));
  }

  SUBCASE("spends no permit from before it lost its shares") {
    const auto Permit = std::get<permit>(Owner.admit(1000));
    share_view View;
    View.Partitions.resize(1);
    View.Partitions[0].LostAt = at(1500).Boot;
    Owner.Limiter->setShares(std::make_shared<share_view>(View), at(1500));
    CHECK_FALSE(Owner.Limiter->spend(Permit, at(1600)));
  }

  SUBCASE("still lacks what it lent after it lost a part of its shares") {
    share_view View;
    View.SlotCount = 2;
    View.Partitions.resize(1);
    View.Partitions[0].Held = 2;
    Owner.Limiter->setShares(std::make_shared<share_view>(View), at(0));
    Owner.Limiter->handleMessage(
        "there", loan_request{{5, 1}, "gloves", 8 * OneToken, 0}, at(1000));
    View.Partitions[0].Held = 1;
    View.Partitions[0].LostAt = at(1100).Boot;
    Owner.Limiter->setShares(std::make_shared<share_view>(View), at(1100));
    CHECK_FALSE(std::holds_alternative<permit>(Owner.admit(1900)));
    Owner.Limiter->advance(at(2000));
    CHECK(std::holds_alternative<permit>(Owner.admit(2100)));
  }

  SUBCASE("replies to a duplicated request with the same loan") {
    loan_request Request{{5, 1}, "gloves", OneToken, 0};
    Owner.Limiter->handleMessage("there", Request, at(1000));
    Owner.Limiter->handleMessage("there", Request, at(1001));
    REQUIRE(Owner.Sent.size() == 2);
    CHECK(std::get<loan_grant>(Owner.Sent[0].Message).Loan ==
          std::get<loan_grant>(Owner.Sent[1].Message).Loan);
  }

  SUBCASE("lends nothing past the end of its lease") {
    loan_request Request{{5, 1}, "gloves", OneToken, 0};
    Owner.Limiter->handleMessage("there", Request, at(9900));
    const auto &Grant = std::get<loan_grant>(Owner.Sent.back().Message);
    CHECK(Grant.Term == milliseconds(100));
    Request.Request.Number = 2;
    Owner.Limiter->handleMessage("there", Request, at(10000));
    CHECK(std::get<loan_refusal>(Owner.Sent.back().Message).NotOwner);
  }
}

TEST_CASE("The rate limiter of a borrower") {
  limiter_fixture Borrower(0);
  const auto Ticket = std::get<ticket>(Borrower.admit(1000));
  CHECK(Borrower.Sent.back().Peer == "there");

  SUBCASE("admits with a loan and returns it when spent") {
    const loan_grant Grant = Borrower.grant(1005, OneToken);
    REQUIRE(Borrower.Resolved.size() == 1);
    CHECK(Borrower.Resolved[0].Ticket == Ticket.Number);
    const auto &Permit = std::get<permit>(Borrower.Resolved[0].Result);
    CHECK(Borrower.Limiter->spend(Permit, at(1010)));
    const auto &Return = std::get<loan_return>(Borrower.Sent.back().Message);
    CHECK(Return.Loan == Grant.Loan);
    CHECK(Return.Tokens == 0);
  }

  SUBCASE("counts the loan's term from its request, less the drift") {
    Borrower.grant(1015, OneToken);
    const auto &Permit = std::get<permit>(Borrower.Resolved.at(0).Result);
    // The term of 500 ms less 0.1% ends at 1499.5 ms.
    const duration Late = std::chrono::microseconds(1499600);
    CHECK_FALSE(Borrower.Limiter->spend(
        Permit, {common::boot_time(Late), common::wall_time(Late)}));
  }

  SUBCASE("accepts a duplicated grant once") {
    const loan_grant Grant = Borrower.grant(1005, OneToken);
    Borrower.Limiter->handleMessage("there", Grant, at(1006));
    CHECK(std::holds_alternative<ticket>(Borrower.admit(1007)));
  }

  SUBCASE("collects parts of a token and returns them on failure") {
    Borrower.grant(1005, OneToken / 2);
    REQUIRE(Borrower.Resolved.size() == 1);
    CHECK(std::holds_alternative<refusal>(Borrower.Resolved[0].Result));
    CHECK(std::get<loan_return>(Borrower.Sent.back().Message).Tokens ==
          OneToken / 2);
  }

  SUBCASE("accepts a loan of a busy owner that replies late") {
    Borrower.Limiter->advance(at(1030));
    CHECK(Borrower.Resolved.empty());
    Borrower.grant(1250, OneToken);
    REQUIRE(Borrower.Resolved.size() == 1);
    CHECK(std::holds_alternative<permit>(Borrower.Resolved[0].Result));

    SUBCASE("and asks it again at once") {
      CHECK(std::holds_alternative<ticket>(Borrower.admit(1260)));
      CHECK(Borrower.Sent.size() == 2);
      CHECK(std::holds_alternative<loan_request>(Borrower.Sent.back().Message));
    }
  }

  SUBCASE("refuses as unavailable if no owner replies in time") {
    Borrower.Limiter->advance(at(1030));
    Borrower.Limiter->advance(at(1299));
    CHECK(Borrower.Resolved.empty());
    Borrower.Limiter->advance(at(1300));
    const auto &Refusal = std::get<refusal>(Borrower.Resolved.at(0).Result);
    CHECK(Refusal.Reason == refusal_reason::RightsUnavailable);
  }
}
