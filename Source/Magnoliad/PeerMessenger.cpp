#include "Magnoliad/PeerMessenger.h"

namespace magnolia::daemon {

absl::StatusOr<std::unique_ptr<peer_messenger>>
peer_messenger::create(const std::string &Address, const std::string &Name) {
  std::unique_ptr<peer_messenger> Messenger(new peer_messenger);
  auto Transport = net::peer_transport::create(
      Address, Name, [Raw = Messenger.get()](const net::peer_message &Message) {
        Raw->deliver(Message);
      });
  if (!Transport.ok())
    return Transport.status();
  Messenger->Transport = std::move(*Transport);
  return Messenger;
}

void peer_messenger::subscribe(std::string_view Type, handler Handler) {
  const absl::MutexLock Lock(&DeliveryMutex);
  Handlers[std::string(Type)] = std::move(Handler);
}

void peer_messenger::start() {
  const absl::MutexLock Lock(&DeliveryMutex);
  Delivering = true;
}

void peer_messenger::stop() {
  const absl::MutexLock Lock(&DeliveryMutex);
  Delivering = false;
}

void peer_messenger::deliver(const net::peer_message &Message) {
  const absl::MutexLock Lock(&DeliveryMutex);
  if (!Delivering)
    return;
  const auto Found = Handlers.find(Message.Type);
  if (Found != Handlers.end())
    Found->second(Message.From, Message.Body);
}

void peer_messenger::setAddress(const std::string &Peer,
                                const std::string &Address) {
  const absl::MutexLock Lock(&Mutex);
  Addresses[Peer] = Address;
}

void peer_messenger::send(const std::string &Peer, std::string_view Type,
                          std::string_view Body) {
  std::string Address;
  {
    const absl::MutexLock Lock(&Mutex);
    const auto Found = Addresses.find(Peer);
    if (Found == Addresses.end())
      return;
    Address = Found->second;
  }
  Transport->send(Address, Type, Body);
}

void peer_messenger::sendAll(const std::vector<std::string> &Peers,
                             std::string_view Type, std::string_view Body) {
  for (const std::string &Peer : Peers)
    send(Peer, Type, Body);
}

} // namespace magnolia::daemon
