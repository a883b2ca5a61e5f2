// The operator takes the last tenant away. Requests with its key, and with a
// key that no desired state ever held, go on.
#include "../standins.hh"

using namespace review;

int main(int Argc, char **Argv) {
  const arguments Arguments(Argc, Argv);
  record Record(Arguments.Case + "/record.txt");
  const bool Troubled = troubled();
  Record.line("disruption: %s", Troubled ? "yes" : "no");

  const std::string Net = ownNetwork();
  store Store(Net + ".1");
  Store.put("op", "config",
            configuration(7, json::parse(R"([["club",["key-club"],0,40,40]])")));
  std::vector<std::unique_ptr<endpoint>> Endpoints;
  const char *Zones[] = {"kolkata", "howrah", "siliguri"};
  for (int I = 0; I < 10; ++I)
    Endpoints.push_back(std::make_unique<endpoint>(
        Store, Record, Net + ".2", "pay-" + std::to_string(I), "reservations",
        Zones[I % 3], 4, 100));
  fleet Fleet(Net, Arguments.Temp, Arguments.Template, Arguments.Program,
              Store.address(), threeZones(), 624);
  Fleet.startAll();
  if (!Fleet.awaitReady(20000)) {
    Record.line("the fleet is not ready");
    Fleet.explain(Record);
    Fleet.done(2);
  }
  sleepMs(4000);

  const auto Ask = [&](const std::string &Id, const std::string &Key, int At) {
    const fleet::instance &X = Fleet.Instances[At];
    stream S;
    S.connectTo(X.Ip, X.Callers);
    S.send(request("POST", "hulo84.example", "/pay/crib", Id, 5000, Key,
                   std::string(1200, 'b')));
    const int Status = S.read(nowMs() + 5000).status();
    Record.line("instance %d: request %s with key %s: answer %d", At, Id.c_str(),
                Key.c_str(), Status);
  };
  for (int I = 0; I < 6; ++I) {
    Ask("before-" + std::to_string(I), "key-club", I % 3);
    Ask("before-stranger-" + std::to_string(I), "key-stranger", I % 3);
  }
  if (Troubled) {
    Store.put("op", "config", configuration(8, json::array()));
    Record.line("confirmed: version 8, its tenants have no row any more");
  } else {
    Store.put("op", "config",
              configuration(8, json::parse(R"([["club",[],0,40,40]])")));
    Record.line("confirmed: version 8, the tenant has no key any more");
  }
  // configApply is 2 s.
  sleepMs(4000);
  for (int I = 0; I < 6; ++I) {
    Ask("after-" + std::to_string(I), "key-club", I % 3);
    Ask("stranger-" + std::to_string(I), "key-stranger", I % 3);
  }
  size_t Dropped = 0;
  size_t Strangers = 0;
  for (const auto &E : Endpoints)
    for (const endpoint::run &R : E->runs()) {
      Dropped += R.Id.rfind("after-", 0) == 0 ? 1 : 0;
      Strangers += R.Id.find("stranger-") != std::string::npos ? 1 : 0;
    }
  Record.line("requests run with a key that no desired state ever held: %zu; "
              "run with the dropped key 4 s after its end: %zu (the rules allow "
              "0)",
              Strangers, Dropped);
  Fleet.done(Strangers > 0 ? 1 : 0);
}
