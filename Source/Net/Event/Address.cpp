#include "Net/Event/Address.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include "Common/StringView.h"

namespace magnolia::event {

sockaddr_in toSocketAddress(uint32_t HostOrderIp, uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(HostOrderIp);
  Address.sin_port = htons(Port);
  return Address;
}

absl::StatusOr<sockaddr_in> parseAddress(std::string_view Text) {
  const auto Invalid = [&] {
    return absl::InvalidArgumentError(absl::StrCat(
        "'", common::toAbsl(Text), "' is not an IPv4:port address"));
  };
  const size_t Colon = Text.find(':');
  if (Colon == std::string_view::npos)
    return Invalid();
  uint32_t Port = 0;
  constexpr uint32_t MaxPort = 65535;
  if (!absl::SimpleAtoi(common::toAbsl(Text.substr(Colon + 1)), &Port) ||
      Port > MaxPort)
    return Invalid();
  in_addr Ip{};
  if (inet_pton(AF_INET, std::string(Text.substr(0, Colon)).c_str(), &Ip) != 1)
    return Invalid();
  return toSocketAddress(ntohl(Ip.s_addr), static_cast<uint16_t>(Port));
}

std::string formatAddress(const sockaddr_in &Address) {
  std::array<char, INET_ADDRSTRLEN> Text{};
  inet_ntop(AF_INET, &Address.sin_addr, Text.data(), Text.size());
  return absl::StrCat(Text.data(), ":", ntohs(Address.sin_port));
}

absl::StatusOr<sockaddr_in> boundAddress(int Descriptor) {
  sockaddr_in Address{};
  socklen_t Size = sizeof(Address);
  if (getsockname(Descriptor, reinterpret_cast<sockaddr *>(&Address), &Size) !=
      0)
    return absl::ErrnoToStatus(errno, "getsockname");
  return Address;
}

} // namespace magnolia::event
