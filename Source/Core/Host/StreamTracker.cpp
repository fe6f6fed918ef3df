#include "Host/StreamTracker.h"

#include "Host/PeerCall.h"

#include <algorithm>

namespace sff::host {

namespace {

constexpr auto LogCategory = log::Category::Routing;

/// Shortest delay in which versions of streams are collected into one message.
/// Streams whose host ends before are not known elsewhere.
constexpr milliseconds MinNoticeDelay{20};
/// Limits the messages that all hosts send per second to each of their keepers.
/// With more hosts, streams are collected for longer.
constexpr std::int64_t MaxNoticesPerSecond = 1500;
constexpr milliseconds NoticeTimeout{1000};
constexpr milliseconds QueryTimeout{250};
/// Delay before the holders are asked again, for messages on their way.
constexpr milliseconds RepeatDelay{60};
constexpr int MaxQueries = 2;
/// Delay before a call about the record of the versions is repeated.
constexpr milliseconds RecordRetryDelay{500};
/// Limits how long a missed notification can delay the writing of a record.
constexpr milliseconds MaxRecordWait{5000};
/// Number of availability zones whose holders keep the version of a stream.
constexpr std::size_t KeeperZones = 2;
/// Longest id and version that are remembered. Callers choose the ids.
constexpr std::size_t MaxTextBytes = 128;
/// Most streams that are announced when a service gets a second version.
constexpr std::size_t MaxAnnounced = 500;
/// Age of the oldest streams that are announced then.
constexpr std::chrono::seconds AnnouncedAge{10};
/// A host that has followed the registrations for so long knows of all versions
/// whose streams may still be taken up.
constexpr std::chrono::minutes HistoryTime{5};

} // namespace

void StreamTracker::start() {
  m_State.m_Platform.m_Store->onRestored([this] { onStoreRestored(); });
  m_State.spawn("keep_records", keepRecords());
}

void StreamTracker::onStoreRestored() {
  ++m_StoreRestores;
  m_Versions.onStoreRestored();
  m_NeedsConfirmation = true;
  m_RecordsChanged.notifyAll();
}

bool StreamTracker::mayConfirm() const {
  return m_NeedsConfirmation && m_KnowsAllFrom && *m_KnowsAllFrom <= bootTime();
}

Task<void> StreamTracker::keepRecords() {
  serving::CallBackoff Backoff(RecordRetryDelay);
  while (true) {
    if (!m_NeedsHistory && !hasUnwrittenRecords()) {
      co_await m_RecordsChanged.wait(MaxRecordWait);
      continue;
    }
    const bool Answered =
        m_NeedsHistory ? co_await readHistory() : co_await writeRecords();
    if (Answered)
      Backoff.onAnswer();
    else
      co_await m_State.m_StoreStatus.waitToRepeat(Backoff);
  }
}

Task<bool> StreamTracker::readHistory() {
  m_NeedsHistory = false;
  const auto Records = co_await m_State.m_Platform.m_Store->listVersions();
  m_State.m_Metrics.onStoreCall("versions", Records.has_value());
  // After an interruption during the call the records may be too old.
  if (!Records || m_NeedsHistory) {
    m_NeedsHistory = true;
    co_return Records.has_value();
  }
  // A host that has lived through a restore needs no records to know what was
  // before it.
  const bool KnowsAll = m_KnowsAllFrom && *m_KnowsAllFrom <= bootTime();
  const bool AreComplete =
      KnowsAll || Records->m_Trust != RecordsTrust::Outdated;
  m_Versions.applyRecords(Records->m_Versions, AreComplete, bootTime());
  m_NeedsConfirmation = Records->m_Trust != RecordsTrust::Confirmed;
  m_KnowsAllFrom = AreComplete ? bootTime() : bootTime() + HistoryTime;
  log::info(
      LogCategory, "streams.history",
      {{"versions", Records->m_Versions.size()}, {"complete", AreComplete}});
  co_return true;
}

bool StreamTracker::hasUnwrittenRecords() const {
  return !m_Versions.unrecorded().empty() ||
         !m_Versions.obsoleteRecords().empty() || mayConfirm();
}

Task<bool> StreamTracker::writeRecords() {
  const auto Added = m_Versions.unrecorded();
  const auto Removed = m_Versions.obsoleteRecords();
  const bool Confirms = mayConfirm();
  const auto Restores = m_StoreRestores;
  const bool Written = co_await m_State.m_Platform.m_Store->recordVersions(
      Added, Removed, Confirms);
  m_State.m_Metrics.onStoreCall("versions", Written);
  log::info(LogCategory, "streams.versions_changed",
            {{"added", Added},
             {"removed", Removed},
             {"confirmed", Confirms},
             {"written", Written}});
  if (!Written)
    co_return false;
  // What was written before a restore may be gone.
  if (Restores != m_StoreRestores)
    co_return true;
  m_NeedsConfirmation = m_NeedsConfirmation && !Confirms;
  for (const serving::ServiceVersion &Version : Added)
    m_Versions.onRecorded(Version);
  for (const serving::ServiceVersion &Version : Removed)
    m_Versions.onRecordRemoved(Version);
  co_return true;
}

void StreamTracker::noticeInterruption() {
  const auto Before =
      std::exchange(m_LastConfirmedAt, m_State.m_EndpointsConfirmedAt);
  if (Before && m_LastConfirmedAt &&
      *m_LastConfirmedAt - *Before <= serving::SoftwareVersions::MaxBeliefAge)
    return;
  m_Versions.onInterruption(bootTime());
  m_NeedsHistory = true;
  log::info(LogCategory, "streams.history_outdated",
            {{"is_first", !Before.has_value()}});
}

void StreamTracker::onDirectoryChanged() {
  if (!m_State.m_EndpointsKnown)
    return;
  noticeInterruption();
  const auto Changed = m_Versions.update(m_State.m_Endpoints, bootTime());
  if (m_NeedsHistory || hasUnwrittenRecords())
    m_RecordsChanged.notifyAll();
  if (Changed.empty())
    return;
  // Other hosts took these streams for streams of the sole version until now.
  for (const serving::StreamVersion &Begun :
       m_Streams.recordedSince(bootTime() - AnnouncedAge, MaxAnnounced))
    announce(Begun);
}

bool StreamTracker::mayBegin(const std::string &Service,
                             const std::string &Version) const {
  return m_Versions.isSettled(Service, Version, bootTime());
}

void StreamTracker::onBegun(const StreamQuery &Stream,
                            const std::string &Version) {
  if (Stream.m_Stream.str().size() > MaxTextBytes ||
      Version.size() > MaxTextBytes)
    return;
  const serving::StreamVersion Begun{Stream.m_Stream, Version};
  m_Streams.record(Begun, bootTime());
  if (m_Versions.isMixed(Stream.m_Service, milliseconds(Stream.m_LifetimeMs),
                         bootTime()))
    announce(Begun);
}

void StreamTracker::announce(const serving::StreamVersion &Begun) {
  const bool IsFirst = m_Pending.m_Streams.empty();
  m_Pending.m_Streams.push_back(Begun);
  if (IsFirst)
    m_State.spawn("send_streams", sendBatch());
}

std::vector<std::string> StreamTracker::recordKeepers() const {
  const auto Zones = m_State.m_Settings.get(ZonesSetting);
  const auto Own = std::ranges::find(Zones, m_State.m_Zone.str());
  const auto First =
      Own == Zones.end() ? 0U : static_cast<std::size_t>(Own - Zones.begin());
  std::vector<std::string> Result;
  for (std::size_t Step = 0; Step < Zones.size() && Result.size() < KeeperZones;
       ++Step) {
    const ZoneId Zone(Zones[(First + Step) % Zones.size()]);
    const auto Holder = m_OrderLeases.knownHolder(Zone);
    if (Holder && *Holder != m_OrderLeases.member())
      Result.push_back(*Holder);
  }
  return Result;
}

Task<void> StreamTracker::sendBatch() {
  const auto Hosts = static_cast<std::int64_t>(m_State.hosts());
  co_await sleepFor(std::max(MinNoticeDelay,
                             milliseconds(1000 * Hosts / MaxNoticesPerSecond)));
  const StreamNotice Notice = std::exchange(m_Pending, {});
  for (const std::string &Holder : recordKeepers())
    m_State.spawn("send_streams", sendNotice(Holder, Notice));
}

Task<void> StreamTracker::sendNotice(std::string Holder, StreamNotice Notice) {
  const auto Answer = co_await callPeer<Acknowledgement>(
      m_Peers, Holder, StreamNoticePath, std::move(Notice), NoticeTimeout);
  m_State.m_Metrics.onStreamNotice(Answer.has_value());
}

void StreamTracker::onNotice(const StreamNotice &Notice) {
  for (const serving::StreamVersion &Begun : Notice.m_Streams)
    m_Streams.record(Begun, bootTime());
}

StreamAnswer StreamTracker::onQuery(const StreamQuery &Query) {
  const auto Finding = m_Streams.find(Query.m_Stream);
  if (Finding.m_IsAmbiguous)
    return {StreamKnowledge::Ambiguous, {}};
  if (Finding.m_Version)
    return {StreamKnowledge::Recorded, *Finding.m_Version};
  onDirectoryChanged();
  const milliseconds Lifetime(Query.m_LifetimeMs);
  if (m_Versions.isMixed(Query.m_Service, Lifetime, bootTime()))
    return {StreamKnowledge::Mixed, {}};
  const auto Sole =
      m_Versions.soleVersion(Query.m_Service, Lifetime, bootTime());
  return Sole ? StreamAnswer{StreamKnowledge::Sole, *Sole,
                             hasFreshRegistrations()}
              : StreamAnswer{};
}

bool StreamTracker::hasFreshRegistrations() const {
  return m_State.m_EndpointsConfirmedAt &&
         m_State.endpointsAge() <= serving::SoftwareVersions::MaxBeliefAge;
}

std::optional<std::string>
StreamTracker::findLocally(const StreamQuery &Stream) {
  const StreamAnswer Own = onQuery(Stream);
  if (Own.m_Knowledge == StreamKnowledge::Recorded)
    return Own.m_Version;
  if (Own.m_Knowledge == StreamKnowledge::Sole && Own.m_IsFresh)
    return Own.m_Version;
  return std::nullopt;
}

std::optional<std::string>
StreamTracker::decide(const StreamQuery &Stream,
                      std::span<const StreamAnswer> Answers) const {
  const auto Has = [Answers](StreamKnowledge Knowledge) {
    return std::ranges::find(Answers, Knowledge, &StreamAnswer::m_Knowledge);
  };
  if (Has(StreamKnowledge::Ambiguous) != Answers.end())
    return std::nullopt;
  if (const auto Recorded = Has(StreamKnowledge::Recorded);
      Recorded != Answers.end()) {
    const bool Agree =
        std::ranges::all_of(Answers, [&Recorded](const StreamAnswer &Answer) {
          return Answer.m_Knowledge != StreamKnowledge::Recorded ||
                 Answer.m_Version == Recorded->m_Version;
        });
    return Agree ? std::optional(Recorded->m_Version) : std::nullopt;
  }
  const auto Sole = Has(StreamKnowledge::Sole);
  if (Has(StreamKnowledge::Mixed) != Answers.end() || Sole == Answers.end())
    return std::nullopt;
  // Another host has followed the registrations for long enough, and this host
  // knows of no other version. Records don't tell when a version left; a host
  // in touch with the store knows that it was before the stream began.
  const auto Only = Sole->m_IsFresh
                        ? m_Versions.onlySeenVersion(Stream.m_Service)
                        : m_Versions.onlyKnownVersion(Stream.m_Service);
  return Only == Sole->m_Version ? Only : std::nullopt;
}

Task<void> StreamTracker::askHolder(std::string Holder, StreamQuery Stream,
                                    std::shared_ptr<PeerAnswers> Answers) {
  const auto Answer = co_await callPeer<StreamAnswer>(
      m_Peers, std::move(Holder), StreamQueryPath, std::move(Stream),
      QueryTimeout);
  if (Answer)
    Answers->m_Answers.push_back(*Answer);
  --Answers->m_Pending;
  Answers->m_Changed.notifyAll();
}

Task<std::vector<StreamAnswer>> StreamTracker::askHolders(StreamQuery Stream) {
  std::set<std::string> Holders;
  for (const std::string &Zone : m_State.m_Settings.get(ZonesSetting))
    if (const auto Holder = m_OrderLeases.knownHolder(ZoneId(Zone)))
      Holders.insert(*Holder);
  Holders.erase(m_OrderLeases.member());
  const auto Answers = std::make_shared<PeerAnswers>();
  Answers->m_Pending = Holders.size();
  for (const std::string &Holder : Holders)
    m_State.spawn("ask_stream", askHolder(Holder, Stream, Answers));
  const Instant Deadline = now() + QueryTimeout;
  while (Answers->m_Pending > 0 && now() < Deadline)
    co_await Answers->m_Changed.wait(Deadline - now());
  co_return Answers->m_Answers;
}

Task<std::optional<std::string>>
StreamTracker::findVersion(StreamQuery Stream) {
  for (int Queries = 0; Queries < MaxQueries; ++Queries) {
    if (Queries > 0)
      co_await sleepFor(RepeatDelay);
    if (m_Streams.find(Stream.m_Stream).m_IsAmbiguous)
      co_return std::nullopt;
    if (auto Own = findLocally(Stream))
      co_return Own;
    const auto Answers = co_await askHolders(Stream);
    if (auto Found = decide(Stream, Answers))
      co_return Found;
  }
  co_return std::nullopt;
}

} // namespace sff::host
