#pragma once

#include <string>
#include <string_view>

#include "Common/ShardedMap.h"

namespace magnolia::request {

/// Limits the load that retries and hedges add to a service.
struct retry_budget_settings {
  /// Tokens that each first attempt earns; a retry or hedge costs one.
  double Ratio = 0.1;
  /// Initial and maximum number of tokens.
  double Limit = 20;
};

/// One service's budget. Not thread-safe.
class retry_budget {
public:
  explicit retry_budget(const retry_budget_settings &Settings)
      : Settings(Settings), Tokens(Settings.Limit) {}

  /// Counts a first attempt.
  void earn();

  /// Takes one token; false when there is none.
  bool trySpend();

  double tokens() const { return Tokens; }

private:
  retry_budget_settings Settings;
  double Tokens;
};

/// The budgets of all services. Thread-safe.
class retry_budgets {
public:
  explicit retry_budgets(const retry_budget_settings &Settings)
      : Settings(Settings) {}

  void earn(std::string_view Service);
  bool trySpend(std::string_view Service);

private:
  template <typename Function>
  auto withBudget(std::string_view Service, Function &&Fn);

  const retry_budget_settings Settings;
  common::sharded_map<std::string, retry_budget> Budgets;
};

} // namespace magnolia::request
