#include "StandIns/FaultProxy/Flow.h"

#include <array>
#include <cerrno>
#include <sys/socket.h>

namespace magnolia::stand_ins {
namespace {

constexpr size_t ReadSize = size_t{64} * 1024;

bool isTransient(int Code) { return Code == EAGAIN || Code == EINTR; }

} // namespace

flow::result flow::receive(common::boot_time Now,
                           common::boot_clock::duration Delay, bool Cut) {
  std::array<char, ReadSize> Buffer;
  const ssize_t Count = ::recv(From, Buffer.data(), Buffer.size(), 0);
  if (Count < 0)
    return isTransient(errno) ? result::Open : result::Failed;
  Ended = Count == 0;
  Received = Received || Count > 0;
  // A stream with a hole must never go on.
  Lossy = Lossy || Cut;
  if (Lossy)
    return result::Open;
  const auto Size = static_cast<size_t>(Count);
  Held += Size;
  Queue.push_back({Now + Delay, std::string(Buffer.data(), Size)});
  return result::Open;
}

flow::result flow::flush(common::boot_time Now) {
  Blocked = false;
  while (!Queue.empty() && Queue.front().Due <= Now) {
    const piece &Front = Queue.front();
    if (Front.Bytes.empty()) {
      ::shutdown(To, SHUT_WR);
      Queue.pop_front();
      continue;
    }
    const ssize_t Count = ::send(To, Front.Bytes.data() + Offset,
                                 Front.Bytes.size() - Offset, MSG_NOSIGNAL);
    if (Count < 0 && isTransient(errno)) {
      Blocked = true;
      return result::Open;
    }
    if (Count < 0)
      return result::Failed;
    Offset += static_cast<size_t>(Count);
    if (Offset < Front.Bytes.size())
      continue;
    Held -= Front.Bytes.size();
    Offset = 0;
    Queue.pop_front();
  }
  return result::Open;
}

std::optional<common::boot_time> flow::nextDue() const {
  if (Queue.empty() || Blocked)
    return std::nullopt;
  return Queue.front().Due;
}

} // namespace magnolia::stand_ins
