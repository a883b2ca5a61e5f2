#pragma once

#include <deque>
#include <optional>
#include <string>

#include "Common/Time.h"

namespace magnolia::stand_ins {

/// One direction of a proxied connection: reads, holds for the delay, writes.
class flow {
public:
  enum class result : uint8_t { Open, Failed };

  flow(int From, int To) : From(From), To(To) {}

  /// Reads what has come; it is due after \p Delay, or lost where \p Cut.
  result receive(common::boot_time Now, common::boot_clock::duration Delay,
                 bool Cut);

  /// Writes what is due, and the end of the stream after the last byte.
  result flush(common::boot_time Now);

  /// When the next bytes are due.
  std::optional<common::boot_time> nextDue() const;

  bool wantsRead() const { return !Ended && Held < HeldLimit; }
  bool wantsWrite() const { return Blocked; }
  /// The end of the stream was received and passed on or swallowed.
  bool isDone() const { return Ended && Queue.empty(); }
  bool hasReceived() const { return Received; }

private:
  struct piece {
    common::boot_time Due;
    /// Empty for the end of the stream.
    std::string Bytes;
  };

  static constexpr size_t HeldLimit = size_t{4} << 20;

  const int From;
  const int To;
  std::deque<piece> Queue;
  size_t Offset = 0;
  size_t Held = 0;
  bool Ended = false;
  bool Blocked = false;
  bool Received = false;
  bool Lossy = false;
};

} // namespace magnolia::stand_ins
