#include "StandIns/Target/BrokenAnswers.h"

#include <string>
#include <sys/socket.h>

#include <absl/strings/str_cat.h>

#include "Common/StringView.h"
#include "Net/Upstream/Message.h"

namespace magnolia::stand_ins {
namespace {

using common::toAbsl;

std::string headWith(std::string_view RequestId, const std::string &Framing) {
  return absl::StrCat("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n",
                      toAbsl(net::RequestIdHeader), ": ", toAbsl(RequestId),
                      "\r\n", Framing, "\r\n\r\n");
}

std::string wholeAnswer(std::string_view RequestId, std::string_view Body) {
  return headWith(RequestId, absl::StrCat("Content-Length: ", Body.size())) +
         std::string(Body);
}

void sendRaw(served_connection &Served, std::string_view Bytes) {
  while (!Bytes.empty()) {
    const ssize_t Count = Served.Connection.write({Bytes.data(), Bytes.size()});
    if (Count <= 0)
      break;
    Bytes.remove_prefix(static_cast<size_t>(Count));
  }
  Served.Abandoned = true;
}

} // namespace

void resetConnection(served_connection &Served) {
  const linger Abort{1, 0};
  ::setsockopt(Served.Connection.descriptor(), SOL_SOCKET, SO_LINGER, &Abort,
               sizeof(Abort));
  Served.Abandoned = true;
}

void sendHalf(served_connection &Served, std::string_view RequestId,
              std::string_view Body) {
  const std::string Whole = wholeAnswer(RequestId, Body);
  sendRaw(Served, std::string_view(Whole).substr(0, Whole.size() -
                                                        (Body.size() + 1) / 2));
}

void sendTwice(served_connection &Served, std::string_view RequestId,
               std::string_view Body) {
  const std::string Whole = wholeAnswer(RequestId, Body);
  sendRaw(Served, Whole + Whole);
}

void sendChunksWithoutEnd(served_connection &Served, std::string_view RequestId,
                          std::string_view Body) {
  sendRaw(Served,
          absl::StrCat(headWith(RequestId, "Transfer-Encoding: chunked"),
                       absl::Hex(Body.size()), "\r\n", toAbsl(Body), "\r\n"));
}

} // namespace magnolia::stand_ins
