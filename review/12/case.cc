// The operator adds a route that is split between two services by weights that
// are no whole numbers. See claim.txt.
#include "../standins-2.hh"

using namespace review;

namespace {

/// Requests on the added route, and as many on the first one.
constexpr int Requests = 30;
/// The state is in force and the machines are in touch by then.
constexpr double Calm = 5.0;

json stateWith(int Version, const json &Weights) {
  json State = desiredState(Version);
  State["services"]["rows"].push_back(
      {"fitting-next", "/healthz", 360, "h1", false});
  if (!Weights.is_null())
    State["routes"]["rows"].push_back(
        {"r-cards", "gloves.example", "/cards/", "safe", "8000ms", "3000ms", 2,
         nullptr, 2, false,
         {{{"service", "fitting"}, {"weight", Weights[0]}},
          {{"service", "fitting-next"}, {"weight", Weights[1]}}}});
  return State;
}

} // namespace

int main(int Count, char **Words) {
  if (Count < 2)
    return CouldNotRun;
  record::open(std::string(Words[1]) + "/record.txt");
  const bool Trouble = hasTrouble();
  fleet Fleet(3);
  Fleet.Store->put("op", "config", stateWith(3, nullptr).dump());
  for (const char *Zone : {"trnava", "nitra", "senica"}) {
    Fleet.add(std::string("i-fit-") + Zone, "fitting", Zone);
    Fleet.add(std::string("i-next-") + Zone, "fitting-next", Zone);
  }
  Fleet.start();
  sleepFor(4); // calm for longer than contact

  int Sent = 0;
  const auto Served = [&](const std::string &Prefix, int Times) {
    std::map<int, int> Statuses;
    for (int Number = 0; Number < Times; ++Number) {
      const auto &At = Fleet.Instances[Number % Fleet.Instances.size()];
      const std::string Id = "lookup-" + std::to_string(++Sent);
      const auto Channel = channel::connect(At->Ip, At->Frontend);
      message Answer;
      if (!Channel ||
          !Channel->write(requestText("GET", Prefix + Id, Id, 8000, 50, "",
                                      "key-club")) ||
          !Channel->read(Answer, now() + 9))
        giveUp("a lookup got no answer");
      ++Statuses[Answer.status()];
      record::line("%s at %s: %d", (Prefix + Id).c_str(), At->Name.c_str(),
                   Answer.status());
    }
    for (const auto &[Status, Number] : Statuses)
      record::line("%s: %d of %d answered %d", Prefix.c_str(), Number, Times,
                   Status);
    return Statuses[200];
  };

  if (Served("/fitting/", 3) != 3)
    giveUp("the first route isn't served at first");
  const json Weights = Trouble ? json({0.9, 0.1}) : json({9, 1});
  Fleet.Store->put("op", "config", stateWith(8, Weights).dump());
  const double Confirmed = now();
  record::line("the store confirms version 8: /cards/ is added, with the "
               "weights %s",
               Weights.dump().c_str());
  sleepUntil(Confirmed + Calm);
  const int OnFirst = Served("/fitting/", Requests);
  const int OnAdded = Served("/cards/", Requests);
  sleepUntil(Confirmed + 20);
  const int Later = Served("/cards/", 3);
  size_t Ran = 0;
  for (const run &Each : endpoint::runs())
    Ran += Each.Id.empty() ? 0 : 1;
  record::line("endpoints ran %zu of %d lookups; 20 s after the confirmation "
               "%d of 3 on the added route are served",
               Ran, Sent, Later);
  const bool IsBroken = 4 * OnAdded < OnFirst;
  record::line("of %d lookups each, %d on the first route and %d on the added "
               "one were served: CONFIG %s",
               Requests, OnFirst, OnAdded, IsBroken ? "is broken" : "held");
  Fleet.end(IsBroken ? Broken : Held);
}
