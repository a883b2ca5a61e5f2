#include "Magnoliad/Settings.h"

#include "Instance/Membership.h"

namespace magnolia::daemon {
namespace {

constexpr std::string_view FewFalseEjections = "few_false_ejections";
constexpr std::string_view FastDetection = "fast_detection";

milliseconds readMilliseconds(common::yaml_section &Section,
                              std::string_view Key, milliseconds Default) {
  const auto Duration = Section.duration(Key, Default);
  if (Duration <= Duration.zero())
    Section.fail(Key, "must be above zero");
  return std::chrono::duration_cast<milliseconds>(Duration);
}

uint64_t readSize(common::yaml_section &Section, std::string_view Key,
                  uint64_t Default) {
  const int64_t Size = Section.integer(Key, static_cast<int64_t>(Default));
  if (Size > 0)
    return static_cast<uint64_t>(Size);
  Section.fail(Key, "must be above zero");
  return Default;
}

identity_settings readIdentity(common::yaml_section &Root) {
  const identity_settings Defaults;
  identity_settings Identity;
  common::yaml_section Section = Root.section("instance");
  Identity.Name = Section.text("name");
  Identity.FailureDomain = Section.text("failure_domain");
  Identity.CallerListen =
      Section.address("caller_listen", Defaults.CallerListen);
  Identity.PeerListen = Section.address("peer_listen", Defaults.PeerListen);
  Identity.AdminListen = Section.address("admin_listen", Defaults.AdminListen);
  if (Section.has("caller_advertise"))
    Identity.CallerAdvertise = Section.address("caller_advertise");
  if (Section.has("peer_advertise"))
    Identity.PeerAdvertise = Section.address("peer_advertise");
  Section.finish();
  return Identity;
}

limit_settings readLimits(common::yaml_section &Root) {
  const limit_settings Defaults;
  limit_settings Limits;
  common::yaml_section Section = Root.section("limits");
  Limits.HeadBytes = readSize(Section, "head_bytes", Defaults.HeadBytes);
  Limits.BodyBytes = readSize(Section, "body_bytes", Defaults.BodyBytes);
  Limits.BufferedBodyBytes =
      readSize(Section, "buffered_body_bytes", Defaults.BufferedBodyBytes);
  Limits.Connections = readSize(Section, "connections", Defaults.Connections);
  Limits.Requests = readSize(Section, "requests", Defaults.Requests);
  Section.finish();
  return Limits;
}

follow_settings readFollow(common::yaml_section &Root) {
  const follow_settings Defaults;
  follow_settings Follow;
  common::yaml_section Section = Root.section("follow");
  Follow.PollPeriod =
      readMilliseconds(Section, "poll_period", Defaults.PollPeriod);
  Follow.HeartbeatPeriod =
      readMilliseconds(Section, "heartbeat_period", Defaults.HeartbeatPeriod);
  Follow.StaleAfter =
      readMilliseconds(Section, "stale_after", Defaults.StaleAfter);
  // Silent peers are removed only after the configuration is stale, so that a
  // minority cannot become a majority by dropping the others.
  if (Follow.StaleAfter >= instance::membership_settings{}.GoneAfter)
    Section.fail("stale_after", "must be shorter than the 30s after which a "
                                "silent instance is removed");
  Follow.PlatformTimeout =
      readMilliseconds(Section, "platform_timeout", Defaults.PlatformTimeout);
  Section.finish();
  return Follow;
}

rate_settings readRates(common::yaml_section &Root) {
  const rate_settings Defaults;
  rate_settings Rates;
  common::yaml_section Section = Root.section("rates");
  Rates.LeaseTerm = readMilliseconds(Section, "lease_term", Defaults.LeaseTerm);
  Rates.LoanTerm = readMilliseconds(Section, "loan_term", Defaults.LoanTerm);
  Rates.Settle = readMilliseconds(Section, "settle", Defaults.Settle);
  Rates.ClockSkew = readMilliseconds(Section, "clock_skew", Defaults.ClockSkew);
  Section.finish();
  return Rates;
}

directory_settings readDirectory(common::yaml_section &Root) {
  directory_settings Directory;
  common::yaml_section Section = Root.section("directory");
  Directory.Ttl = readMilliseconds(Section, "keep", Directory.Ttl);
  Section.finish();
  return Directory;
}

target::settings readTargets(common::yaml_section &Root) {
  common::yaml_section Section = Root.section("targets");
  const std::string Profile = Section.text("profile", FewFalseEjections);
  if (Profile != FewFalseEjections && Profile != FastDetection)
    Section.fail("profile", "must be few_false_ejections or "
                            "fast_detection");
  Section.finish();
  return Profile == FastDetection ? target::settings::fastDetection()
                                  : target::settings::fewFalseEjections();
}

} // namespace

settings readSettings(common::yaml_section &Root) {
  settings Settings;
  Settings.Identity = readIdentity(Root);
  Settings.PlatformAddress = Root.address("platform");
  Settings.Limits = readLimits(Root);
  Settings.Directory = readDirectory(Root);
  Settings.Follow = readFollow(Root);
  Settings.Rates = readRates(Root);
  Settings.Targets = readTargets(Root);
  Settings.RequestLog = Root.boolean("request_log", Settings.RequestLog);
  return Settings;
}

} // namespace magnolia::daemon
