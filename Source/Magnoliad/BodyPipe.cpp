#include "Magnoliad/BodyPipe.h"

#include <algorithm>

#include "Common/ErrorKind.h"
#include "Common/StringView.h"

namespace magnolia::daemon {

bool body_pipe::push(std::string_view NewBytes) {
  const absl::MutexLock Lock(&Mutex);
  Mutex.Await(absl::Condition(this, &body_pipe::hasSpace));
  if (Closed)
    return false;
  Bytes.append(NewBytes);
  return true;
}

void body_pipe::finish(bool IsComplete) {
  const absl::MutexLock Lock(&Mutex);
  Finished = true;
  Complete = IsComplete;
}

absl::StatusOr<size_t> body_pipe::read(absl::Span<char> Buffer) {
  const absl::MutexLock Lock(&Mutex);
  Mutex.Await(absl::Condition(this, &body_pipe::hasBytesOrEnd));
  if (!Bytes.empty()) {
    const size_t Count = std::min(Buffer.size(), Bytes.size());
    std::copy_n(Bytes.begin(), Count, Buffer.begin());
    Bytes.erase(0, Count);
    return Count;
  }
  if (Finished && Complete)
    return 0;
  return common::makeError(common::error_kind::CallerGone,
                           "the request body did not come whole");
}

void body_pipe::close() {
  const absl::MutexLock Lock(&Mutex);
  Closed = true;
}

} // namespace magnolia::daemon
