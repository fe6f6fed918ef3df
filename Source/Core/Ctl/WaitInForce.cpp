#include "Ctl/Commands.h"

#include <algorithm>
#include <cctype>
#include <thread>

namespace sff::ctl {

namespace {

constexpr milliseconds PollPause{100};
/// A host that does not answer and has published nothing for this long no
/// longer holds its zone back, provided that another host of the zone has
/// applied the change.
constexpr milliseconds SilentAge{30000};
constexpr std::size_t MaxOffsetDigits = 19;

Instant now() { return std::chrono::steady_clock::now(); }

bool isOffset(const std::string &Text) {
  return !Text.empty() && Text.size() <= MaxOffsetDigits &&
         std::ranges::all_of(
             Text, [](unsigned char Char) { return std::isdigit(Char) != 0; });
}

struct ZoneProgress {
  int m_Applied = 0;
  int m_Behind = 0;
  bool inForce() const { return m_Applied > 0 && m_Behind == 0; }
};

using Progress = std::map<ZoneId, ZoneProgress>;

/// Counts hosts. A host that seems to be behind is asked itself, because
/// heartbeats of a large deployment are up to some minutes old.
Progress measure(RelaySession &Relays, Offset Position) {
  Progress Result;
  const auto Status =
      Relays.callAny(messages::RelayStatus{},
                     [](const auto &Answer) { return Answer.m_Ready; });
  if (!Status)
    return Result;
  for (const messages::HostStatus &Item : Status->m_Hosts) {
    const messages::HostHeartbeat &Host = Item.m_Heartbeat;
    if (Host.m_Leaving)
      continue;
    ZoneProgress &Zone = Result[Host.m_Zone];
    Offset Applied = Host.m_AppliedOffset;
    bool Silent = false;
    if (Applied < Position) {
      const auto Own =
          Relays.callAt(Host.m_RelayAddress, messages::RelayStatus{true});
      Silent = !Own && Item.m_Age > SilentAge;
      Applied = Own ? Own->m_AppliedOffset : Applied;
    }
    if (Applied >= Position)
      ++Zone.m_Applied;
    else if (!Silent)
      ++Zone.m_Behind;
  }
  return Result;
}

void print(const Progress &Zones, std::ostream &Out) {
  for (const auto &[Zone, Item] : Zones)
    Out << "zone " << Zone << ": "
        << (Item.inForce() ? "in force" : "not in force") << " ("
        << Item.m_Applied << " of " << Item.m_Applied + Item.m_Behind
        << " hosts)\n";
}

bool inForceEverywhere(const Progress &Zones) {
  return !Zones.empty() && std::ranges::all_of(Zones, [](const auto &Pair) {
    return Pair.second.inForce();
  });
}

} // namespace

ExitCode waitInForce(RelaySession &Relays, const std::string &Change,
                     milliseconds Timeout, std::ostream &Out) {
  const Instant Deadline = now() + Timeout;
  messages::ChangeVerdict Query;
  if (isOffset(Change))
    Query.m_Offset = std::stoull(Change);
  else
    Query.m_Id = RecordId(Change);
  Offset Position = Query.m_Offset;
  Progress Zones;
  do {
    const auto Verdict = Relays.callAny(
        Query, [](const auto &Answer) { return Answer.m_Known; });
    if (Verdict && !Verdict->m_Accepted) {
      Out << "rejected: " << Verdict->m_Reason << "\n";
      return ExitCode::Rejected;
    }
    Position = Verdict ? Verdict->m_Offset : Position;
    if (Position != 0)
      Zones = measure(Relays, Position);
    if (inForceEverywhere(Zones)) {
      print(Zones, Out);
      return ExitCode::Success;
    }
    std::this_thread::sleep_for(PollPause);
  } while (now() < Deadline);
  print(Zones, Out);
  Out << (Position == 0 ? "no relay has read this change\n" : "time-out\n");
  return ExitCode::Failure;
}

} // namespace sff::ctl
