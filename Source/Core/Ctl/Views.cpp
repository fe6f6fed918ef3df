#include "Ctl/Commands.h"

namespace sff::ctl {

namespace {

constexpr int JsonIndent = 2;

ExitCode printNotReady(std::ostream &Out) {
  Out << "no relay is ready\n";
  return ExitCode::Failure;
}

ExitCode printHosts(RelaySession &Relays, std::ostream &Out) {
  const auto Status = Relays.callAny(messages::RelayStatus{},
                                     [](const auto &) { return true; });
  if (!Status)
    return printNotReady(Out);
  Out << "host\tzone\trelay\tapplied\tlog\tage_ms\tstate\n";
  for (const auto &[Host, Age] : Status->m_Hosts)
    Out << Host.m_Host << "\t" << Host.m_Zone << "\t" << Host.m_RelayAddress
        << "\t" << Host.m_AppliedOffset << "\t"
        << (Host.m_LogReachable ? "direct" : "cut") << "\t" << Age.count()
        << "\t" << (Host.m_Leaving ? "leaving" : "live") << "\n";
  return ExitCode::Success;
}

void printEndpoints(const fold::ClusterState &State, std::ostream &Out) {
  Out << "endpoint\towner_host\tzone\tcontroller\ttoken\tslots\tstate\n";
  for (const auto &[Endpoint, Item] : State.ownerships()) {
    const fold::Lease *Owner = State.findLease(Item.m_Owner);
    Out << Endpoint << "\t" << (Owner ? Owner->m_Host.str() : "-") << "\t"
        << (Owner ? Owner->m_Zone.str() : "-") << "\t"
        << (Owner ? Owner->m_ControllerAddress : "-") << "\t" << Item.m_Offset
        << "\t" << State.slotsAt(Endpoint).size() << "\t"
        << (Item.m_Retired         ? "retired"
            : Item.m_Owner.empty() ? "free"
                                   : "owned")
        << "\n";
  }
}

void printModels(const fold::ClusterState &State, std::ostream &Out) {
  Out << "entry\tkind\tteam\tversion\treplicas\tslots\n";
  for (const auto &[Name, Item] : State.catalogue()) {
    if (!Item.m_Spec)
      continue;
    const nlohmann::json Kind = Item.m_Spec->m_Kind;
    Out << Name << "\t" << Kind.get<std::string>() << "\t"
        << Item.m_Spec->m_Team << "\t" << Item.m_Version << "\t"
        << (Item.m_Spec->isLoadable() ? Item.m_Spec->m_Replicas : 0) << "\t"
        << State.endpointsOf(Name).size() << "\n";
  }
}

void printSlots(const fold::ClusterState &State, std::ostream &Out) {
  Out << "entry\tindex\tendpoint\toffset\n";
  for (const auto &[Key, Item] : State.slots())
    Out << Key.first << "\t" << Key.second << "\t"
        << (Item.m_Endpoint.empty() ? "-" : Item.m_Endpoint.str()) << "\t"
        << Item.m_Offset << "\n";
}

} // namespace

ExitCode show(RelaySession &Relays, const std::string &Name,
              std::ostream &Out) {
  const auto State = Relays.fetchState();
  if (!State)
    return printNotReady(Out);
  nlohmann::json Entries = nlohmann::json::object();
  for (const auto &[Entry, Item] : State->catalogue())
    if (Item.m_Spec && (Name.empty() || Entry.str() == Name))
      Entries[Entry.str()] = *Item.m_Spec;
  if (!Name.empty() && Entries.empty()) {
    Out << "no such entry\n";
    return ExitCode::Failure;
  }
  nlohmann::json Document = nlohmann::json::object();
  Document["entries"] = Entries;
  Out << Document.dump(JsonIndent) << "\n";
  return ExitCode::Success;
}

ExitCode status(RelaySession &Relays, const std::string &Table,
                std::ostream &Out) {
  if (Table == "hosts")
    return printHosts(Relays, Out);
  const auto State = Relays.fetchState();
  if (!State)
    return printNotReady(Out);
  if (Table == "endpoints")
    printEndpoints(*State, Out);
  else if (Table == "models")
    printModels(*State, Out);
  else
    printSlots(*State, Out);
  return ExitCode::Success;
}

} // namespace sff::ctl
