#include "Relay/StateManager.h"

#include "Core/Membership/SnapshotRule.h"

#include <boost/leaf/handle_errors.hpp>

namespace sff::relay {

namespace {

constexpr milliseconds RecoveryRetryDelay{300};
constexpr std::size_t MaxRelaysToAsk = 4;
/// Covers more than half a day of changes at the highest planned rate.
constexpr std::size_t ChangeResultCapacity = 4096;
/// After an attempt to store a snapshot, the next one is made no sooner than
/// the snapshot interval divided by this number, in case the attempt has
/// failed.
constexpr Offset StoreRetryDivisor = 8;

/// A record of the `snapshots` stream.
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

/// Returns the newest state among the snapshot records that can be decoded.
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

messages::FetchChangeResultReply
makeChangeResult(Offset Position, const fold::CatalogueChange &Change,
                 const fold::ApplyResult &Result) {
  messages::FetchChangeResultReply Verdict;
  Verdict.m_Offset = Position;
  Verdict.m_Id = Change.m_Id;
  Verdict.m_Accepted = Result.m_Accepted;
  for (const fold::Rejection &Item : Result.m_Rejections)
    Verdict.m_Reason = Item.m_Reason;
  return Verdict;
}

} // namespace

StateManager::StateManager(timers::EventLoop &Loop, AsyncLogClient &Log,
                           PeerPool &Peers, PeerDirectory &Directory,
                           Offset SnapshotRecords, milliseconds PeerTimeout)
    : m_Log(Log), m_Peers(Peers), m_Directory(Directory),
      m_Timers(Loop.context().get_executor()),
      m_SnapshotRecords(SnapshotRecords), m_PeerTimeout(PeerTimeout),
      m_ChangeResults(ChangeResultCapacity) {}

void StateManager::recover(InstalledCallback OnInstalled) {
  m_OnInstalled = std::move(OnInstalled);
  m_Log.readSnapshots(
      [this](auto Found) { onSnapshotsRead(std::move(Found)); });
}

void StateManager::onSnapshotsRead(std::optional<StoredSnapshots> Found) {
  if (Found && installFromLog(*Found))
    return;
  std::vector<std::string> Relays = m_Directory.sources();
  if (Relays.size() > MaxRelaysToAsk)
    Relays.resize(MaxRelaysToAsk);
  installFromPeers(std::move(Relays));
}

bool StateManager::installFromLog(const StoredSnapshots &Found) {
  m_OldestControlOffset =
      std::max(m_OldestControlOffset, Found.m_OldestControlOffset);
  auto State = newestState(Found.m_Snapshots);
  if (!State)
    State.emplace();
  else
    m_Directory.hosts().updateSelf(m_State.appliedOffset(), true,
                                   State->appliedOffset());
  const bool LeavesGap =
      State->appliedOffset() + 1 < Found.m_OldestControlOffset;
  if (LeavesGap ||
      (m_Ready && State->appliedOffset() <= m_State.appliedOffset()))
    return false;
  install(std::move(*State), "log");
  return true;
}

void StateManager::installFromPeers(std::vector<std::string> Addresses) {
  if (Addresses.empty()) {
    scheduleRetry();
    return;
  }
  const std::string Address = std::move(Addresses.front());
  Addresses.erase(Addresses.begin());
  m_Peers.at(Address).call(
      messages::FetchSnapshot{}, m_PeerTimeout,
      [this, Addresses = std::move(Addresses)](
          std::optional<messages::FetchSnapshotReply> Reply) {
        if (!installFromPeer(Reply))
          installFromPeers(Addresses);
      });
}

bool StateManager::installFromPeer(
    const std::optional<messages::FetchSnapshotReply> &Reply) {
  if (!Reply || Reply->m_State.is_null())
    return false;
  auto State = decodeState(Reply->m_State);
  if (!State || State->appliedOffset() + 1 < m_OldestControlOffset ||
      (m_Ready && State->appliedOffset() <= m_State.appliedOffset()))
    return false;
  install(std::move(*State), "relay");
  return true;
}

void StateManager::install(fold::ClusterState State, const char *Source) {
  m_State = std::move(State);
  m_Ready = true;
  log::info(log::Category::Catalogue, "state.installed",
            {{"offset", m_State.appliedOffset()}, {"source", Source}});
  m_OnInstalled(m_State.appliedOffset() + 1);
}

void StateManager::scheduleRetry() {
  log::warning(log::Category::Catalogue, "state.unavailable",
               {{"applied", m_State.appliedOffset()}, {"ready", m_Ready}});
  m_Retry =
      m_Timers.after(RecoveryRetryDelay, [this] { recover(m_OnInstalled); });
}

void StateManager::apply(std::span<const messages::StreamRecord> Records) {
  for (const messages::StreamRecord &Item : Records)
    applyOne(Item);
}

void StateManager::applyOne(const messages::StreamRecord &Item) {
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(Value, fold::fromJson(Item.m_Data));
        const fold::ApplyResult Result = m_State.apply(Item.m_Offset, Value);
        if (const auto *Change = std::get_if<fold::CatalogueChange>(&Value))
          m_ChangeResults.add(makeChangeResult(Item.m_Offset, *Change, Result));
        return {};
      },
      [&](const codec::DecodeError &Error) {
        m_State.skip(Item.m_Offset);
        log::warning(log::Category::Catalogue, "record.undecodable",
                     {{"offset", Item.m_Offset}, {"detail", Error.m_Detail}});
      },
      [&] { m_State.skip(Item.m_Offset); });
}

void StateManager::storeSnapshotIfDue(bool DirectLogAccess) {
  const Offset Applied = m_State.appliedOffset();
  if (!DirectLogAccess || !m_Ready || m_StoreInFlight ||
      Applied < m_NextStoreOffset)
    return;
  const std::vector<HostId> Others = m_Directory.liveHosts();
  const membership::HostTable &Hosts = m_Directory.hosts();
  if (!membership::shouldWriteSnapshot(
          Hosts.self().m_Host, Others,
          {Applied, Hosts.newestSnapshot(), m_SnapshotRecords}))
    return;
  m_StoreInFlight = true;
  m_NextStoreOffset =
      Applied + std::max<Offset>(1, m_SnapshotRecords / StoreRetryDivisor);
  const SnapshotRecord Record{makeId<RecordId>(), Applied,
                              m_State.toSnapshot()};
  m_Log.append("snapshots", Record, [this, Applied](auto Result) {
    m_StoreInFlight = false;
    const bool Stored = Result.m_Status == platform::AppendStatus::Appended;
    log::info(log::Category::Catalogue,
              Stored ? "snapshot.stored" : "snapshot.not_stored",
              {{"offset", Applied}});
    if (Stored)
      m_Directory.hosts().updateSelf(m_State.appliedOffset(), true, Applied);
  });
}

} // namespace sff::relay
