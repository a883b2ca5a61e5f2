#include "Magnoliad/PeerMail.h"

namespace magnolia::daemon {

absl::StatusOr<std::unique_ptr<peer_mail>>
peer_mail::create(const std::string &Address, const std::string &Name) {
  std::unique_ptr<peer_mail> Mail(new peer_mail);
  auto Transport = net::peer_transport::create(
      Address, Name, [Raw = Mail.get()](const net::peer_message &Message) {
        Raw->deliver(Message);
      });
  if (!Transport.ok())
    return Transport.status();
  Mail->Transport = std::move(*Transport);
  return Mail;
}

void peer_mail::subscribe(std::string_view Type, handler Handler) {
  const absl::MutexLock Lock(&DeliveryMutex);
  Handlers[std::string(Type)] = std::move(Handler);
}

void peer_mail::start() {
  const absl::MutexLock Lock(&DeliveryMutex);
  Delivering = true;
}

void peer_mail::stop() {
  const absl::MutexLock Lock(&DeliveryMutex);
  Delivering = false;
}

void peer_mail::deliver(const net::peer_message &Message) {
  const absl::MutexLock Lock(&DeliveryMutex);
  if (!Delivering)
    return;
  const auto Found = Handlers.find(Message.Type);
  if (Found != Handlers.end())
    Found->second(Message.From, Message.Body);
}

void peer_mail::setAddress(const std::string &Peer,
                           const std::string &Address) {
  const absl::MutexLock Lock(&Mutex);
  Addresses[Peer] = Address;
}

void peer_mail::send(const std::string &Peer, std::string_view Type,
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

void peer_mail::sendAll(const std::vector<std::string> &Peers,
                        std::string_view Type, std::string_view Body) {
  for (const std::string &Peer : Peers)
    send(Peer, Type, Body);
}

} // namespace magnolia::daemon
