#include "ScriptedServer.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cstdlib>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace magnolia::test {
namespace {

constexpr int CloseTimeoutMs = 10'000;

int listenOnLoopback(std::string &Address) {
  const int Listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Local{};
  Local.sin_family = AF_INET;
  Local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t Length = sizeof(Local);
  if (::bind(Listener, reinterpret_cast<sockaddr *>(&Local), Length) != 0 ||
      ::listen(Listener, SOMAXCONN) != 0)
    std::abort();
  ::getsockname(Listener, reinterpret_cast<sockaddr *>(&Local), &Length);
  Address = "127.0.0.1:" + std::to_string(ntohs(Local.sin_port));
  return Listener;
}

} // namespace

scripted_connection::~scripted_connection() {
  if (Descriptor >= 0)
    ::close(Descriptor);
}

std::string scripted_connection::readHead() {
  std::string Head;
  while (Head.find("\r\n\r\n") == std::string::npos) {
    const std::string Byte = readBytes(1);
    if (Byte.empty())
      break;
    Head += Byte;
  }
  return Head;
}

std::string scripted_connection::readBytes(size_t Size) {
  std::string Bytes(Size, '\0');
  const ssize_t Count = ::recv(Descriptor, Bytes.data(), Size, MSG_WAITALL);
  Bytes.resize(static_cast<size_t>(std::max<ssize_t>(Count, 0)));
  return Bytes;
}

void scripted_connection::send(std::string_view Bytes) {
  while (!Bytes.empty()) {
    const ssize_t Count =
        ::send(Descriptor, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Count <= 0)
      return;
    Bytes.remove_prefix(static_cast<size_t>(Count));
  }
}

bool scripted_connection::awaitClose() {
  std::array<char, 4096> Buffer;
  while (true) {
    pollfd Poll{Descriptor, POLLIN, 0};
    if (::poll(&Poll, 1, CloseTimeoutMs) <= 0)
      return false;
    if (::recv(Descriptor, Buffer.data(), Buffer.size(), 0) <= 0)
      return true;
  }
}

void scripted_connection::reset() {
  const linger Abort{1, 0};
  ::setsockopt(Descriptor, SOL_SOCKET, SO_LINGER, &Abort, sizeof(Abort));
  ::close(Descriptor);
  Descriptor = -1;
}

void scripted_connection::shutdown() { ::shutdown(Descriptor, SHUT_RDWR); }

scripted_server::scripted_server(std::vector<script> Scripts)
    : Scripts(std::move(Scripts)), Listener(listenOnLoopback(Address)),
      Thread([this] { serve(); }) {}

scripted_server::~scripted_server() {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Stopping = true;
    if (Current != nullptr)
      Current->shutdown();
  }
  ::shutdown(Listener, SHUT_RDWR);
  Thread.join();
  ::close(Listener);
}

void scripted_server::serve() {
  while (true) {
    const int Accepted = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (Accepted < 0)
      return;
    scripted_connection Connection(Accepted);
    const auto Index = static_cast<size_t>(Connections++);
    setCurrent(&Connection);
    Scripts[std::min(Index, Scripts.size() - 1)](Connection);
    setCurrent(nullptr);
  }
}

void scripted_server::setCurrent(scripted_connection *Connection) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Current = Connection;
  if (Stopping && Current != nullptr)
    Current->shutdown();
}

std::string unusedAddress() {
  std::string Address;
  ::close(listenOnLoopback(Address));
  return Address;
}

} // namespace magnolia::test
