#pragma once

/// Exit codes of all programs.
namespace magnolia::program {

enum class exit_code : int {
  Success = 0,
  /// The program failed; the reason is printed to standard error.
  Failure = 1,
  /// The command line is invalid.
  Usage = 2,
  /// A settings or manifest file has errors.
  InvalidInput = 3,
  /// A concurrent change was accepted first; read the configuration again and
  /// retry.
  Conflict = 4,
  /// The platform or an instance is unreachable.
  Unavailable = 5,
};

constexpr int toInt(exit_code Code) { return static_cast<int>(Code); }

} // namespace magnolia::program
