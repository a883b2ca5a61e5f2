// The operator takes a key away and lifts a route's time-out in one desired
// state. See claim.txt.
#include "../standins-2.hh"

using namespace review;

namespace {

constexpr double ConfigApply = 2.0;

json stateWith(int Version, bool HasSecondKey, const char *Timeout) {
  json State = desiredState(Version);
  for (json &Row : State["routes"]["rows"])
    if (Row[0] == "r-fitting")
      Row[4] = Timeout;
  if (HasSecondKey)
    State["tenants"]["rows"][0][1].push_back("key-lost");
  return State;
}

} // namespace

int main(int Count, char **Words) {
  if (Count < 2)
    return CouldNotRun;
  record::open(std::string(Words[1]) + "/record.txt");
  const bool Trouble = hasTrouble();
  fleet Fleet(3);
  Fleet.Store->put("op", "config", stateWith(3, true, "8000ms").dump());
  for (const char *Zone : {"trnava", "nitra", "senica"})
    Fleet.add(std::string("i-ord-") + Zone, "orders", Zone);
  Fleet.start();
  sleepFor(4); // calm for longer than contact

  int Sent = 0;
  const auto Order = [&](const std::string &Key) {
    int Served = 0;
    for (const auto &At : Fleet.Instances) {
      const std::string Id = "order-" + std::to_string(++Sent);
      const auto Channel = channel::connect(At->Ip, At->Frontend);
      message Answer;
      if (!Channel ||
          !Channel->write(requestText("POST", "/orders/" + Id, Id, 5000, 50,
                                      "gloves", Key)) ||
          !Channel->read(Answer, now() + 6))
        giveUp("an order got no answer");
      record::line("%s with %s at %s: %d", Id.c_str(), Key.c_str(),
                   At->Name.c_str(), Answer.status());
      Served += Answer.status() == 200;
    }
    return Served;
  };

  if (Order("key-lost") != 3)
    giveUp("the key is not known at first");
  const char *Timeout = Trouble ? "172800s" : "9000ms";
  Fleet.Store->put("op", "config", stateWith(8, false, Timeout).dump());
  const double Confirmed = now();
  record::line("the store confirms version 8: key-lost is taken away, the "
               "timeout of /fitting/ is %s",
               Timeout);
  int Late = 0;
  for (const double After : {ConfigApply + 1, 10.0, 20.0}) {
    sleepUntil(Confirmed + After);
    const int Served = Order("key-lost");
    record::line("%.0f s after the confirmation: %d of 3 instances run orders "
                 "with the dropped key",
                 After, Served);
    Late += Served;
  }
  record::line("%d orders ran with a dropped key, later than configApply: "
               "CONFIG %s",
               Late, Late > 0 ? "is broken" : "held");
  Fleet.end(Late > 0 ? Broken : Held);
}
