#include "Ctl/Commands.h"

#include "Common/Time/Clock.h"

#include <thread>

namespace sff::ctl {

namespace {

constexpr milliseconds PollInterval{50};

/// A change that is being published.
struct Change {
  fold::CatalogueChange m_Record;
  bool m_MayBeAppended = false;
  messages::FetchChangeResultReply m_Verdict;
};

bool isUnchanged(const fold::ClusterState &State, const EntryName &Name,
                 const catalogue::EntrySpec &Spec) {
  const catalogue::EntrySpec *Current = State.findEntry(Name);
  return Current && nlohmann::json(*Current) == nlohmann::json(Spec);
}

Change makeChange(const fold::ClusterState &State,
                  const PublishOptions &Options, const EntryName &Name) {
  Change Result;
  Result.m_Record.m_Id = makeId<RecordId>();
  Result.m_Record.m_Entry = Name;
  Result.m_Record.m_BaseVersion =
      Options.m_Base.value_or(State.versionOf(Name));
  Result.m_Record.m_Author = Options.m_Author;
  return Result;
}

/// Creates the changes to publish. Models come before the adapters that need
/// them.
std::vector<Change> makeChanges(const fold::ClusterState &State,
                                const PublishOptions &Options) {
  std::vector<Change> Models;
  std::vector<Change> AdaptersAndServices;
  for (const auto &[Name, Spec] : Options.m_Entries) {
    if (!Options.m_Base && isUnchanged(State, Name, Spec))
      continue;
    Change Item = makeChange(State, Options, Name);
    Item.m_Record.m_Spec = Spec;
    (Spec.m_Kind == catalogue::EntryKind::Model ? Models : AdaptersAndServices)
        .push_back(std::move(Item));
  }
  Models.insert(Models.end(), AdaptersAndServices.begin(),
                AdaptersAndServices.end());
  for (const std::string &Name : Options.m_Removed)
    Models.push_back(makeChange(State, Options, EntryName(Name)));
  return Models;
}

/// Tries to append the record until it may be in the log or the deadline has
/// passed. Only a record that was provably not appended is sent again.
void appendChange(RelaySession &Relays, Change &Item, Instant Deadline) {
  do {
    const messages::AppendReply Reply = Relays.append(Item.m_Record);
    Item.m_MayBeAppended =
        Reply.m_Outcome != messages::AppendOutcome::NotAppended;
    if (Item.m_MayBeAppended)
      return;
    std::this_thread::sleep_for(PollInterval);
  } while (now() < Deadline);
}

/// Waits until a relay has applied the record. This also resolves an append
/// whose reply was lost.
void awaitVerdict(RelaySession &Relays, Change &Item, Instant Deadline) {
  while (Item.m_MayBeAppended) {
    const auto Reply =
        Relays.callAny(messages::FetchChangeResult{Item.m_Record.m_Id, 0},
                       [](const auto &Answer) { return Answer.m_Known; });
    if (Reply) {
      Item.m_Verdict = *Reply;
      return;
    }
    if (now() >= Deadline)
      return;
    std::this_thread::sleep_for(PollInterval);
  }
}

ExitCode printOutcome(const Change &Item, std::ostream &Out) {
  Out << Item.m_Record.m_Entry << " " << Item.m_Record.m_Id << " ";
  if (!Item.m_MayBeAppended) {
    Out << "not appended\n";
    return ExitCode::Failure;
  }
  if (!Item.m_Verdict.m_Known) {
    Out << "outcome unknown; check with: sffctl wait " << Item.m_Record.m_Id
        << "\n";
    return ExitCode::Failure;
  }
  Out << Item.m_Verdict.m_Offset << " "
      << (Item.m_Verdict.m_Accepted ? "accepted"
                                    : "rejected: " + Item.m_Verdict.m_Reason)
      << "\n";
  return Item.m_Verdict.m_Accepted ? ExitCode::Success : ExitCode::Rejected;
}

} // namespace

ExitCode publish(RelaySession &Relays, const PublishOptions &Options,
                 std::ostream &Out) {
  const Instant Deadline = now() + Options.m_Timeout;
  const auto State = Relays.fetchState();
  if (!State) {
    Out << "no relay is ready\n";
    return ExitCode::Failure;
  }
  std::vector<Change> Changes = makeChanges(*State, Options);
  for (Change &Item : Changes)
    appendChange(Relays, Item, Deadline);
  ExitCode Result = ExitCode::Success;
  Offset Last = 0;
  for (Change &Item : Changes) {
    awaitVerdict(Relays, Item, Deadline);
    Result = std::max(Result, printOutcome(Item, Out));
    Last = std::max(Last, Item.m_Verdict.m_Offset);
  }
  if (Changes.empty())
    Out << "no changes: all entries match the catalogue\n";
  if (!Options.m_Wait || Result != ExitCode::Success || Last == 0)
    return Result;
  return waitInForce(Relays, std::to_string(Last),
                     toMilliseconds(Deadline - now()), Out);
}

} // namespace sff::ctl
