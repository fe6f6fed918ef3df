#include "Relay/StateKeeper.h"

#include "Core/Membership/SnapshotRule.h"

#include <boost/leaf/handle_errors.hpp>

namespace sff::relay {

namespace {

constexpr milliseconds RecoveryPause{300};
constexpr std::size_t RelaysToAsk = 4;
/// More than half a day of changes at the largest planned rate.
constexpr std::size_t KeptVerdicts = 4096;
/// Share of the snapshot interval to wait after a failed attempt to store.
constexpr Offset StoreRetryShare = 8;

/// Record of the stream `snapshots`.
struct SnapshotRecord {
  RecordId m_Id;
  Offset m_Offset = 0;
  nlohmann::json m_State;

  static constexpr auto describe() {
    using codec::field;
    return std::make_tuple(field("id", &SnapshotRecord::m_Id),
                           field("offset", &SnapshotRecord::m_Offset),
                           field("state", &SnapshotRecord::m_State));
  }
};

std::optional<fold::ClusterState> decodeState(const nlohmann::json &Input) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<fold::ClusterState>> {
        BOOST_LEAF_AUTO(State, fold::ClusterState::fromSnapshot(Input));
        return std::optional(std::move(State));
      },
      [] { return std::optional<fold::ClusterState>(); });
}

/// The newest usable state among stored snapshot records.
std::optional<fold::ClusterState>
newestState(std::span<const nlohmann::json> Records) {
  std::optional<fold::ClusterState> Newest;
  for (const nlohmann::json &Data : Records) {
    const auto State = Data.is_object() && Data.contains("state")
                           ? decodeState(Data["state"])
                           : std::nullopt;
    if (State && (!Newest || State->appliedOffset() > Newest->appliedOffset()))
      Newest = State;
  }
  return Newest;
}

messages::ChangeVerdictReply makeVerdict(Offset Position,
                                         const fold::CatalogueChange &Change,
                                         const fold::ApplyResult &Result) {
  messages::ChangeVerdictReply Verdict;
  Verdict.m_Offset = Position;
  Verdict.m_Id = Change.m_Id;
  Verdict.m_Accepted = Result.m_Accepted;
  for (const fold::Rejection &Item : Result.m_Rejections)
    Verdict.m_Reason = Item.m_Reason;
  return Verdict;
}

} // namespace

StateKeeper::StateKeeper(timers::DutyLoop &Loop, PlatformSide &Platform,
                         PeerPool &Peers, PeerDirectory &Directory,
                         Offset SnapshotRecords, milliseconds PeerTimeout)
    : m_Platform(Platform), m_Peers(Peers), m_Directory(Directory),
      m_Timers(Loop.context().get_executor()),
      m_SnapshotRecords(SnapshotRecords), m_PeerTimeout(PeerTimeout),
      m_Verdicts(KeptVerdicts) {}

void StateKeeper::recover(Installed Done) {
  m_Done = std::move(Done);
  m_Platform.readSnapshots([this](auto Found) { onStored(std::move(Found)); });
}

void StateKeeper::onStored(std::optional<StoredSnapshots> Found) {
  if (Found && installFromLog(*Found))
    return;
  std::vector<std::string> Relays = m_Directory.sources();
  if (Relays.size() > RelaysToAsk)
    Relays.resize(RelaysToAsk);
  askPeer(std::move(Relays));
}

bool StateKeeper::installFromLog(const StoredSnapshots &Found) {
  m_ControlFirst = std::max(m_ControlFirst, Found.m_ControlFirst);
  auto State = newestState(Found.m_Snapshots);
  if (!State)
    State.emplace();
  else
    m_Directory.hosts().updateSelf(m_State.appliedOffset(), true,
                                   State->appliedOffset());
  const bool LeavesGap = State->appliedOffset() + 1 < Found.m_ControlFirst;
  if (LeavesGap ||
      (m_Ready && State->appliedOffset() <= m_State.appliedOffset()))
    return false;
  install(std::move(*State), "log");
  return true;
}

void StateKeeper::askPeer(std::vector<std::string> Addresses) {
  if (Addresses.empty()) {
    retryLater();
    return;
  }
  const std::string Address = std::move(Addresses.front());
  Addresses.erase(Addresses.begin());
  m_Peers.at(Address).call(
      messages::FetchSnapshot{}, m_PeerTimeout,
      [this, Addresses = std::move(Addresses)](
          std::optional<messages::FetchSnapshotReply> Reply) {
        if (!installFromPeer(Reply))
          askPeer(Addresses);
      });
}

bool StateKeeper::installFromPeer(
    const std::optional<messages::FetchSnapshotReply> &Reply) {
  if (!Reply || Reply->m_State.is_null())
    return false;
  auto State = decodeState(Reply->m_State);
  if (!State || State->appliedOffset() + 1 < m_ControlFirst ||
      (m_Ready && State->appliedOffset() <= m_State.appliedOffset()))
    return false;
  install(std::move(*State), "relay");
  return true;
}

void StateKeeper::install(fold::ClusterState State, const char *Source) {
  m_State = std::move(State);
  m_Ready = true;
  log::info(log::Category::Catalogue, "state.installed",
            {{"offset", m_State.appliedOffset()}, {"source", Source}});
  m_Done(m_State.appliedOffset() + 1);
}

void StateKeeper::retryLater() {
  log::warning(log::Category::Catalogue, "state.unavailable",
               {{"applied", m_State.appliedOffset()}, {"ready", m_Ready}});
  m_Retry = m_Timers.after(RecoveryPause, [this] { recover(m_Done); });
}

void StateKeeper::apply(std::span<const messages::RecordAt> Records) {
  for (const messages::RecordAt &Item : Records)
    applyOne(Item);
}

void StateKeeper::applyOne(const messages::RecordAt &Item) {
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(Value, fold::fromJson(Item.m_Data));
        const fold::ApplyResult Result = m_State.apply(Item.m_Offset, Value);
        if (const auto *Change = std::get_if<fold::CatalogueChange>(&Value))
          m_Verdicts.add(makeVerdict(Item.m_Offset, *Change, Result));
        return {};
      },
      [&](const codec::DecodeError &Error) {
        m_State.skip(Item.m_Offset);
        log::warning(log::Category::Catalogue, "record.undecodable",
                     {{"offset", Item.m_Offset}, {"detail", Error.m_Detail}});
      },
      [&] { m_State.skip(Item.m_Offset); });
}

void StateKeeper::storeIfDue(bool LogContact) {
  const Offset Applied = m_State.appliedOffset();
  if (!LogContact || !m_Ready || m_Storing || Applied < m_NextStore)
    return;
  const std::vector<HostId> Others = m_Directory.liveHosts();
  const membership::HostTable &Hosts = m_Directory.hosts();
  if (!membership::shouldWriteSnapshot(
          Hosts.self().m_Host, Others,
          {Applied, Hosts.newestSnapshot(), m_SnapshotRecords}))
    return;
  m_Storing = true;
  m_NextStore =
      Applied + std::max<Offset>(1, m_SnapshotRecords / StoreRetryShare);
  const SnapshotRecord Record{makeId<RecordId>(), Applied,
                              m_State.toSnapshot()};
  m_Platform.append("snapshots", Record, [this, Applied](auto Result) {
    m_Storing = false;
    const bool Stored = Result.m_Status == platform::AppendStatus::Appended;
    log::info(log::Category::Catalogue,
              Stored ? "snapshot.stored" : "snapshot.not_stored",
              {{"offset", Applied}});
    if (Stored)
      m_Directory.hosts().updateSelf(m_State.appliedOffset(), true, Applied);
  });
}

} // namespace sff::relay
