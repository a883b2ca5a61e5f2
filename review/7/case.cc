// A consumer sends two lookups on one channel, the second before the first is
// answered. The instance gets SIGTERM. See claim.txt.
#include "../standins-2.hh"

using namespace review;

namespace {

/// What became of a request, as its consumer saw it.
struct outcome {
  bool Answered = false;
  int Status = 0;
  std::string End;
};

} // namespace

int main(int Count, char **Words) {
  if (Count < 2)
    return CouldNotRun;
  record::open(std::string(Words[1]) + "/record.txt");
  const bool Trouble = hasTrouble();
  fleet Fleet(3);
  for (const char *Zone : {"trnava", "nitra", "senica"}) {
    Fleet.add(std::string("i-fit-") + Zone, "fitting", Zone);
    Fleet.add(std::string("i-cat-") + Zone, "catalogue", Zone);
  }
  Fleet.start();
  sleepFor(4); // calm for longer than contact

  instance &Leaving = *Fleet.Instances[0];
  const auto Channel = channel::connect(Leaving.Ip, Leaving.Frontend);
  if (!Channel)
    giveUp("no channel to the instance");
  const double Sent = now();
  // Work and time limit are within the sheet's for fitting-read.
  Channel->write(requestText("GET", "/fitting/card/1", "first", 8000, 7000));
  record::line("the consumer sends first (works 7.0 s)");
  sleepFor(0.1);
  Channel->write(requestText("GET", "/fitting/card/2", "second", 8000, 300));
  record::line("the consumer sends second behind it (works 0.3 s)");
  sleepUntil(Sent + 1.0);
  const double Stopped = now();
  if (Trouble)
    Leaving.signal(SIGTERM, "SIGTERM");

  std::map<std::string, outcome> Outcomes;
  for (const char *Id : {"first", "second"}) {
    message Answer;
    outcome &Outcome = Outcomes[Id];
    Outcome.Answered = Channel->read(Answer, Sent + 9.0);
    Outcome.Status = Outcome.Answered ? Answer.status() : 0;
    Outcome.End = Channel->end();
    if (Outcome.Answered)
      record::line("the consumer gets %d for %s", Outcome.Status, Id);
    else
      record::line("the consumer gets no answer for %s: the channel is %s, "
                   "%.2f s after the SIGTERM",
                   Id, Outcome.End.c_str(), now() - Stopped);
  }
  sleepFor(0.5);
  Leaving.ended();

  // The rule and its excuses. The last sixth of grace (6 s) begins 5 s after
  // the SIGTERM. A safe request may run more than once: it is excused if one of
  // its runs was still going on then.
  int Result = Held;
  for (const char *Id : {"first", "second"}) {
    const outcome &Outcome = Outcomes[Id];
    bool Ran = false;
    bool AtWork = false;
    for (const run &Run : endpoint::runs()) {
      if (Run.Id != Id)
        continue;
      Ran = true;
      AtWork |= Run.Until == 0 || Run.Until >= Stopped + 5.0;
      record::line("%s was passed on to %s and ran from %.2f s to %.2f s", Id,
                   Run.Endpoint.c_str(), Run.From, Run.Until);
    }
    if (!Ran)
      giveUp("a request was not passed on to an endpoint");
    const bool Lost = !Outcome.Answered && !AtWork;
    record::line("%s: %s", Id,
                 Outcome.Answered ? "answered"
                 : Lost ? "LOST, and no endpoint was at work on it from 5 s "
                          "after the SIGTERM on"
                        : "not answered; excused, its endpoint was at work in "
                          "the last sixth of grace");
    if (Lost)
      Result = Broken;
  }
  record::line(Result == Broken ? "LOST is broken" : "LOST held");
  Fleet.end(Result);
}
