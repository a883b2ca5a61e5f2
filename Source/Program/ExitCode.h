#pragma once

/// Exit codes, the same for every program.
namespace magnolia::program {

enum class exit_code : int {
  Success = 0,
  /// The work failed; the reason stands on standard error.
  Failure = 1,
  /// The command line could not be understood.
  Usage = 2,
  /// A settings or manifest file has mistakes.
  InvalidInput = 3,
  /// Somebody else's change won; read again and retry.
  Conflict = 4,
  /// The platform or an instance could not be reached.
  Unavailable = 5,
};

constexpr int toInt(exit_code Code) { return static_cast<int>(Code); }

} // namespace magnolia::program
