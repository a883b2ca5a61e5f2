#include "RawCaller.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace magnolia::http {

raw_caller::raw_caller(const std::string &Address)
    : Socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  sockaddr_in To{};
  To.sin_family = AF_INET;
  To.sin_port = htons(portOf(Address));
  const std::string Host = Address.substr(0, Address.rfind(':'));
  inet_pton(AF_INET, Host.c_str(), &To.sin_addr);
  if (connect(Socket.get(), reinterpret_cast<const sockaddr *>(&To),
              sizeof(To)) != 0)
    disconnect();
}

bool raw_caller::send(std::string_view Bytes) const {
  while (!Bytes.empty()) {
    const ssize_t Count =
        ::send(Socket.get(), Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Bytes.remove_prefix(static_cast<size_t>(Count));
  }
  return true;
}

void raw_caller::finishSending() const { shutdown(Socket.get(), SHUT_WR); }

void raw_caller::disconnect() { Socket = descriptor(); }

std::string raw_caller::receive(std::string_view Until) {
  char Bytes[4096];
  while (true) {
    const size_t Position =
        Until.empty() ? std::string::npos : Received.find(Until);
    if (Position != std::string::npos) {
      std::string Result = Received.substr(0, Position + Until.size());
      Received.erase(0, Result.size());
      return Result;
    }
    const ssize_t Count = recv(Socket.get(), Bytes, sizeof(Bytes), 0);
    if (Count <= 0)
      return std::exchange(Received, {});
    Received.append(Bytes, static_cast<size_t>(Count));
  }
}

} // namespace magnolia::http
