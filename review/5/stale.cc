// One machine loses power right after a change of the desired state that takes a
// key away. The other machines of its zone go on with the older state.
#include "../standins.hh"

using namespace review;

namespace {

constexpr long ConfigApplyMs = 2000;

/// The machines of sokol-gw.
const std::vector<std::string> SokolZones = {
    "trnava", "trnava", "trnava", "trnava", "trnava", "trnava",
    "nitra",  "nitra",  "nitra",  "nitra",  "nitra",  "senica",
    "senica", "senica", "senica", "senica"};

/// Whether the instance says in its log that it reads the store now.
bool readsStore(const fleet::instance &X) {
  std::ifstream In(X.Log);
  bool Reads = false;
  for (std::string Line; std::getline(In, Line);)
    if (Line.find("store reading state changed") != std::string::npos)
      Reads = Line.find("\"reads\":1") != std::string::npos;
  return Reads;
}

} // namespace

int main(int Argc, char **Argv) {
  const arguments Arguments(Argc, Argv);
  record Record(Arguments.Case + "/record.txt");
  const bool Troubled = troubled();
  Record.line("disruption: %s", Troubled ? "yes" : "no");

  const std::string Net = ownNetwork();
  store Store(Net + ".1");
  // Enough tenants for a state of more than one datagram.
  const auto Tenants = [](bool WithKey) {
    json Rows = json::array();
    for (int I = 0; I < 8; ++I)
      Rows.push_back({"tenant" + std::to_string(I),
                      {"xd9dnn2ctnfzs989anu" + std::to_string(I),
                       "wsjnbanfqasnmgkcuyj" + std::to_string(I)},
                      0, 25, 25});
    json Keys = {"kept-key-of-the-club"};
    if (WithKey)
      Keys.push_back("taken-key-of-the-club");
    Rows.push_back({"club", Keys, 0, 100, 100});
    return Rows;
  };
  Store.put("op", "config", configuration(7, Tenants(true)));
  std::vector<std::unique_ptr<endpoint>> Endpoints;
  const char *Zones[] = {"trnava", "nitra", "senica"};
  for (int I = 0; I < 10; ++I)
    Endpoints.push_back(std::make_unique<endpoint>(
        Store, Record, Net + ".2", "pay-" + std::to_string(I), "reservations",
        Zones[I % 3], 4, 50));
  fleet Fleet(Net, Arguments.Temp, Arguments.Template, Arguments.Program,
              Store.address(), SokolZones, 624);
  Fleet.startAll();
  if (!Fleet.awaitReady(20000)) {
    Record.line("the fleet is not ready");
    Fleet.explain(Record);
    Fleet.done(2);
  }
  sleepMs(8000);

  // The victim: a machine that reads the store, alone in its zone in that.
  std::map<std::string, std::vector<fleet::instance *>> Readers;
  for (fleet::instance &X : Fleet.Instances)
    if (readsStore(X)) {
      Readers[X.Zone].push_back(&X);
      Record.line("%s reads the store", X.Name.c_str());
    }
  fleet::instance *Victim = nullptr;
  for (const auto &[Zone, In] : Readers)
    if (In.size() == 1)
      Victim = In.front();
  if (Victim == nullptr) {
    Record.line("no machine reads the store alone in its zone");
    Fleet.done(2);
  }

  std::atomic<bool> Stop{false};
  std::atomic<long> ConfirmedAt{-1};
  std::mutex Mutex;
  std::map<std::string, long> SentAt;
  std::vector<std::thread> Threads;
  for (fleet::instance &X : Fleet.Instances) {
    if (&X == Victim)
      continue;
    Threads.emplace_back([&, At = &X] {
      for (int Number = 0; !Stop; ++Number) {
        const std::string Id = At->Name + "-" + std::to_string(Number);
        stream S;
        const long Sent = nowMs();
        {
          std::lock_guard<std::mutex> Lock(Mutex);
          SentAt[Id] = Sent;
        }
        if (S.connectTo(At->Ip, At->Callers) &&
            S.send(request("POST", "hulo84.example", "/pay/crib", Id, 5000,
                           "taken-key-of-the-club", std::string(1200, 'b')))) {
          const int Status = S.read(nowMs() + 5000).status();
          if (ConfirmedAt >= 0)
            Record.line("%s, sent %ld ms after the confirmation: answer %d",
                        Id.c_str(), Sent - ConfirmedAt, Status);
        }
        sleepMs(100);
      }
    });
  }
  sleepMs(1000);
  Store.put("op", "config", configuration(8, Tenants(false)));
  ConfirmedAt = nowMs();
  Record.line("confirmed: version 8, the club's second key is taken away");
  sleepMs(20);
  if (Troubled) {
    // A machine without power doesn't respond.
    kill(Victim->Pid, SIGSTOP);
    Record.line("%s loses power for 3 s, %ld ms after the confirmation",
                Victim->Name.c_str(), nowMs() - ConfirmedAt);
  }
  sleepMs(3000);
  if (Troubled) {
    // What it knew is gone; it starts again.
    kill(Victim->Pid, SIGKILL);
    while (!Fleet.ended(*Victim))
      sleepMs(5);
    Fleet.start(*Victim);
  }
  sleepMs(1500);
  Stop = true;
  for (std::thread &T : Threads)
    T.join();

  size_t Late = 0;
  long Latest = 0;
  for (const auto &E : Endpoints)
    for (const endpoint::run &R : E->runs()) {
      const long After = SentAt[R.Id] - ConfirmedAt;
      if (SentAt[R.Id] < ConfirmedAt || After <= ConfigApplyMs)
        continue;
      ++Late;
      Latest = std::max(Latest, After);
    }
  Record.line("orders run with the key that was taken away, sent more than %ld "
              "ms after the confirmation: %zu (the rule allows 0), the last one "
              "%ld ms after it",
              ConfigApplyMs, Late, Latest);
  Fleet.done(Late > 0 ? 1 : 0);
}
