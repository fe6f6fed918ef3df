#include "Ctl/Commands.h"

#include "Common/Time/Clock.h"

#include <algorithm>
#include <cctype>
#include <thread>

namespace sff::ctl {

namespace {

constexpr milliseconds PollInterval{100};
/// A host that does not answer and has published nothing for longer than this
/// no longer delays its zone, provided that another host of the zone has
/// applied the change.
constexpr milliseconds MaxHeartbeatAge{30000};
constexpr std::size_t MaxOffsetDigits = 19;

bool isOffset(const std::string &Text) {
  return !Text.empty() && Text.size() <= MaxOffsetDigits &&
         std::ranges::all_of(
             Text, [](unsigned char Char) { return std::isdigit(Char) != 0; });
}

/// Numbers of hosts of an availability zone that have applied a change or not.
struct ZoneProgress {
  int m_AppliedHosts = 0;
  int m_LaggingHosts = 0;
  bool isInForce() const { return m_AppliedHosts > 0 && m_LaggingHosts == 0; }
};

using ProgressByZone = std::map<ZoneId, ZoneProgress>;

/// Counts the hosts that have applied \p Position. Queries a host directly when
/// its heartbeat shows an older offset, because heartbeats in a large
/// deployment may be some minutes old.
ProgressByZone countHosts(RelaySession &Relays, Offset Position) {
  ProgressByZone Result;
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
    bool IsUnreachable = false;
    if (Applied < Position) {
      const auto OwnStatus =
          Relays.callAddress(Host.m_RelayAddress, messages::RelayStatus{true});
      IsUnreachable = !OwnStatus && Item.m_Age > MaxHeartbeatAge;
      Applied = OwnStatus ? OwnStatus->m_AppliedOffset : Applied;
    }
    if (Applied >= Position)
      ++Zone.m_AppliedHosts;
    else if (!IsUnreachable)
      ++Zone.m_LaggingHosts;
  }
  return Result;
}

void print(const ProgressByZone &Zones, std::ostream &Out) {
  for (const auto &[Zone, Item] : Zones)
    Out << "zone " << Zone << ": "
        << (Item.isInForce() ? "in force" : "not in force") << " ("
        << Item.m_AppliedHosts << " of "
        << Item.m_AppliedHosts + Item.m_LaggingHosts << " hosts)\n";
}

bool isInForceEverywhere(const ProgressByZone &Zones) {
  return !Zones.empty() && std::ranges::all_of(Zones, [](const auto &Pair) {
    return Pair.second.isInForce();
  });
}

} // namespace

ExitCode waitInForce(RelaySession &Relays, const std::string &Change,
                     milliseconds Timeout, std::ostream &Out) {
  const Instant Deadline = now() + Timeout;
  messages::FetchChangeResult Query;
  if (isOffset(Change))
    Query.m_Offset = std::stoull(Change);
  else
    Query.m_Id = RecordId(Change);
  Offset Position = Query.m_Offset;
  ProgressByZone Zones;
  do {
    const auto Verdict = Relays.callAny(
        Query, [](const auto &Answer) { return Answer.m_Known; });
    if (Verdict && !Verdict->m_Accepted) {
      Out << "rejected: " << Verdict->m_Reason << "\n";
      return ExitCode::Rejected;
    }
    Position = Verdict ? Verdict->m_Offset : Position;
    if (Position != 0)
      Zones = countHosts(Relays, Position);
    if (isInForceEverywhere(Zones)) {
      print(Zones, Out);
      return ExitCode::Success;
    }
    std::this_thread::sleep_for(PollInterval);
  } while (now() < Deadline);
  print(Zones, Out);
  Out << (Position == 0 ? "no relay has applied this change\n" : "time-out\n");
  return ExitCode::Failure;
}

} // namespace sff::ctl
