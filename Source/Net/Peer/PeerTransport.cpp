#include "Net/Peer/PeerTransport.h"

#include <algorithm>

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>

#include "Common/StringView.h"
#include "Common/YamlReader.h"
#include "Net/Peer/PeerLoop.h"
#include "Net/Peer/PeerSocket.h"
#include "Net/Peer/PeerTable.h"

namespace magnolia::net {
namespace {

constexpr size_t MaxNameBytes = 128;

/// Whether \p Text can be sent in a path or header without escaping.
bool isValidName(std::string_view Text) {
  const auto IsSafe = [](char Byte) {
    return absl::ascii_isalnum(static_cast<unsigned char>(Byte)) ||
           Byte == '-' || Byte == '_' || Byte == '.' || Byte == ':' ||
           Byte == '/';
  };
  return !Text.empty() && Text.size() <= MaxNameBytes &&
         std::all_of(Text.begin(), Text.end(), IsSafe);
}

} // namespace

absl::StatusOr<std::unique_ptr<peer_transport>>
peer_transport::create(std::string_view ListenAddress,
                       std::string_view InstanceName, message_hook OnMessage,
                       const peer_options &Options) {
  if (!isValidName(InstanceName))
    return absl::InvalidArgumentError("malformed instance name");
  auto Listener = listenTcp(ListenAddress);
  if (!Listener.ok())
    return Listener.status();
  auto Address = boundAddress(*Listener);
  if (!Address.ok())
    return Address.status();
  auto Table = std::make_unique<peer_table>(Options);
  auto Loop = peer_loop::create(*std::move(Listener), std::string(InstanceName),
                                std::move(OnMessage), Options, *Table);
  if (!Loop.ok())
    return Loop.status();
  return std::unique_ptr<peer_transport>(new peer_transport(
      std::move(Table), *std::move(Loop), *std::move(Address), Options));
}

peer_transport::peer_transport(std::unique_ptr<peer_table> Table,
                               std::unique_ptr<peer_loop> Loop,
                               std::string LocalAddress,
                               const peer_options &Options)
    : Options(Options), LocalAddress(std::move(LocalAddress)),
      Table(std::move(Table)), Loop(std::move(Loop)) {}

peer_transport::~peer_transport() = default;

uint16_t peer_transport::port() const {
  uint32_t Port = 0;
  const std::string_view Text(LocalAddress);
  if (!absl::SimpleAtoi(common::toAbsl(Text.substr(Text.rfind(':') + 1)),
                        &Port))
    return 0;
  return static_cast<uint16_t>(Port);
}

bool peer_transport::send(std::string_view PeerAddress, std::string_view Type,
                          std::string_view Body) {
  const bool Valid = common::isAddress(PeerAddress) && isValidName(Type) &&
                     Body.size() <= Options.MaxBodyBytes;
  if (!Valid) {
    Table->countDropped();
    return false;
  }
  Table->push(PeerAddress, {std::string(Type), std::string(Body),
                            common::boot_clock::now()});
  Loop->wake();
  return true;
}

bool peer_transport::flush(std::chrono::milliseconds Limit) {
  return Table->awaitSettled(Limit);
}

void peer_transport::removePeer(std::string_view PeerAddress) {
  Table->remove(std::string(PeerAddress));
  Loop->wake();
}

peer_counters peer_transport::counters() const {
  peer_counters Counters = Table->totals();
  Loop->addTo(Counters);
  return Counters;
}

std::vector<peer_state> peer_transport::peers() const {
  return Table->states();
}

std::optional<common::boot_time>
peer_transport::lastReceived(std::string_view PeerAddress) const {
  return Table->lastReceived(PeerAddress);
}

} // namespace magnolia::net
