// Consumers whose HTTP library offers a newer protocol in the header Upgrade,
// which concerns only the one channel. See claim.txt.
#include "../standins-2.hh"

using namespace review;

namespace {

constexpr int Requests = 12;

/// What such a library adds to a request on a plain channel.
const char *const Offer = "Connection: Upgrade, HTTP2-Settings\r\n"
                          "Upgrade: h2c\r\n"
                          "HTTP2-Settings: AAEAAEAAAAIAAAABAAMAAABkAAQBAAAAAAUAAEAA\r\n";

} // namespace

int main(int Count, char **Words) {
  if (Count < 2)
    return CouldNotRun;
  record::open(std::string(Words[1]) + "/record.txt");
  const bool Trouble = hasTrouble();
  fleet Fleet(3);
  for (const char *Zone : {"trnava", "nitra", "senica"}) {
    Fleet.add(std::string("i-ord-") + Zone, "orders", Zone);
    Fleet.add(std::string("i-cat-") + Zone, "catalogue", Zone);
  }
  Fleet.start();
  sleepFor(4); // calm for longer than contact

  int Denied = 0;
  int Served = 0;
  for (int Number = 0; Number < Requests; ++Number) {
    const instance &At = *Fleet.Instances[static_cast<size_t>(Number) % 3];
    const auto Channel = channel::connect(At.Ip, At.Frontend);
    if (!Channel)
      giveUp("no channel to an instance");
    const bool IsOrder = Number % 2 == 0;
    const std::string Id = "request-" + std::to_string(Number + 1);
    std::string Text =
        IsOrder ? requestText("POST", "/orders/" + Id, Id, 5000, 50, "gloves")
                : requestText("GET", "/catalogue/" + Id, Id, 4000, 50);
    if (Trouble)
      Text.insert(Text.find("\r\n") + 2, Offer);
    Channel->write(Text);
    message Answer;
    const bool Answered = Channel->read(Answer, now() + 6);
    const int Status = Answered ? Answer.status() : 0;
    const bool Own = !Answer.has("X-Magnoliafall-Response-Signature");
    record::line("%s, %s, %s the offer: %d%s", Id.c_str(),
                 IsOrder ? "an order" : "a lookup", Trouble ? "with" : "without",
                 Status, Own ? "" : ", signed by an endpoint");
    Served += Status == 200 && !Own;
    Denied += Answered && Own && Status >= 300 && Status < 500 &&
              Status != 408 && Status != 421 && Status != 429;
  }
  const int Allowed = 5 + Requests / 500;
  record::line("of %d proper requests %d were served and %d ended with a 4xx "
               "of the system's own, %d are allowed: DENIED %s",
               Requests, Served, Denied, Allowed,
               Denied > Allowed ? "is broken" : "held");
  Fleet.end(Denied > Allowed ? Broken : Held);
}
