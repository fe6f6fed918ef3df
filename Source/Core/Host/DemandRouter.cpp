#include "Host/DemandRouter.h"

#include "Host/PeerCall.h"

#include <algorithm>
#include <limits>

namespace sff::host {

namespace {

constexpr auto Part = log::Category::Loading;

/// Beyond the time that the holder was told to answer in.
constexpr milliseconds AnswerSlack{300};
/// Longest wait of one call to a holder; the holder may be lost meanwhile.
constexpr milliseconds LongestAsk{3000};
/// Period of usage reports, and what each host of the fleet adds to it, so
/// that a holder gets a bounded number of reports.
constexpr milliseconds UsagePeriod{1000};
constexpr milliseconds UsagePeriodPerHost{50};
constexpr milliseconds ReplicaPeriod{2000};
/// A holder looks at its queue some milliseconds after a demand arrives, so a
/// wish must stay in it for longer than that.
constexpr milliseconds WishWait{100};
constexpr milliseconds UsageTimeout{1000};
/// The same where endpoints of another zone have the weights at hand too.
constexpr milliseconds FirstAsk{1200};
/// A load may end this much later than expected before another zone is asked.
constexpr milliseconds LoadSlack{1500};
/// Pause before the zones are asked again.
constexpr milliseconds AskPause{150};
/// A model that this host is asked for this often deserves a replica in the
/// host's own zone.
constexpr double ReplicaRate = 1.0;

} // namespace

void DemandRouter::start() {
  m_State.spawn("report_usage", reportUsage());
  m_State.spawn("wish_replicas", wishReplicas());
}

void DemandRouter::onRequest(const serving::ModelName &Name) {
  m_State.m_OwnDemand.add(Name.m_Model, 1, now());
  ++m_Usage[Name.m_Model];
  if (!Name.m_Adapter.empty())
    ++m_Usage[Name.str()];
}

void DemandRouter::onWaiting(const serving::ModelName &Name, int Change) {
  const auto Place = m_Waiting.try_emplace(Name, 0).first;
  Place->second += Change;
  if (Place->second <= 0)
    m_Waiting.erase(Place);
}

void DemandRouter::onLacked(const serving::ModelName &Name,
                            const EndpointId &Endpoint) {
  m_State.m_Endpoints.noteMissing(Endpoint, Name, now());
  m_Lacked[Name].insert(Endpoint);
}

void DemandRouter::ensure(const std::string &Service,
                          const serving::ModelName &Name, std::int64_t Rank,
                          Instant Until) {
  if (m_Asked.insert(Name).second)
    m_State.spawn("obtain_model", obtain(Service, Name, Rank, Until));
}

double DemandRouter::secondsAt(const serving::Endpoint &Item,
                               const serving::ModelName &Name,
                               const serving::ModelSpec &Model) const {
  if (Item.inventory().find(Name.m_Model))
    return 0;
  return serving::loadSeconds(
      Model, serving::locationOf(Item.inventory(), Name.m_Model));
}

std::vector<DemandRouter::ZoneChoice>
DemandRouter::zonesFor(const std::string &Service,
                       const serving::ModelName &Name) const {
  const serving::ModelSpec *Model =
      m_State.m_Catalogue->findModel(Service, Name.m_Model);
  std::map<ZoneId, double> Seconds;
  if (Model)
    for (const serving::Endpoint *Item : m_State.m_Endpoints.serving(Service)) {
      const double There = secondsAt(*Item, Name, *Model);
      const auto [Place, Fresh] =
          Seconds.try_emplace(Item->m_Registered.m_Zone, There);
      Place->second = std::min(Place->second, There);
    }
  std::vector<ZoneChoice> Result;
  // Where weights are at hand somewhere, a load from the weight store is not
  // asked for elsewhere.
  if (Model) {
    const auto Nearest = std::ranges::min_element(
        Seconds, {}, [](const auto &Item) { return Item.second; });
    if (Nearest != Seconds.end() &&
        Nearest->second < Model->m_RemoteLoadSeconds)
      std::erase_if(Seconds, [Model](const auto &Item) {
        return Item.second >= Model->m_RemoteLoadSeconds;
      });
  }
  Result.reserve(Seconds.size());
  // All hosts come to the same order, so that they do not load the model in
  // several zones at once.
  for (const auto &[Zone, There] : Seconds)
    Result.push_back(
        {Zone, There, std::hash<std::string>()(Zone.str() + Name.str())});
  std::ranges::sort(Result,
                    [](const ZoneChoice &Left, const ZoneChoice &Right) {
                      return std::tie(Left.m_Seconds, Left.m_Hash) <
                             std::tie(Right.m_Seconds, Right.m_Hash);
                    });
  return Result;
}

Task<DemandAnswer> DemandRouter::ask(ModelDemand Demand) {
  const auto Holder = co_await m_Rights.holderOf(Demand.m_Zone);
  if (!Holder)
    co_return DemandAnswer{DemandStatus::NotHolder, {}, 0};
  if (*Holder == m_Rights.member())
    co_return co_await m_Swaps.handle(Demand);
  const auto Answer = co_await callPeer<DemandAnswer>(
      m_Peers, *Holder, DemandPath, Demand,
      milliseconds(Demand.m_WaitMs) + AnswerSlack);
  if (!Answer || Answer->m_Status == DemandStatus::NotHolder)
    m_Rights.forgetHolder(Demand.m_Zone);
  co_return Answer.value_or(DemandAnswer{DemandStatus::NotHolder, {}, 0});
}

std::optional<Instant> DemandRouter::readyAt(const std::string &Model) const {
  const auto Found = m_ReadyAt.find(Model);
  if (Found == m_ReadyAt.end())
    return std::nullopt;
  return Found->second;
}

void DemandRouter::expect(const std::string &Model, Instant ReadyAt) {
  m_ReadyAt[Model] = ReadyAt;
  m_State.m_Changed.notifyAll();
}

Task<DemandAnswer> DemandRouter::askZone(ModelDemand Demand, Duration Limit,
                                         Instant Until) {
  Demand.m_WantsEstimate = true;
  Demand.m_WaitMs = toMilliseconds(std::min(Until - now(), Limit)).count();
  const DemandAnswer Answer = co_await ask(Demand);
  if (Answer.m_Status != DemandStatus::Loading)
    co_return Answer;
  const Instant ReadyAt = now() + milliseconds(Answer.m_ReadyInMs);
  expect(Demand.m_Model, ReadyAt);
  // Another zone would load it from the same store a second time.
  co_return co_await stayWith(std::move(Demand),
                              std::min(Until, ReadyAt + LoadSlack));
}

Task<DemandAnswer> DemandRouter::stayWith(ModelDemand Demand, Instant Until) {
  Demand.m_WantsEstimate = false;
  DemandAnswer Answer;
  while (now() < Until && Answer.m_Status == DemandStatus::Busy) {
    Demand.m_WaitMs =
        toMilliseconds(std::min<Duration>(Until - now(), LongestAsk)).count();
    Answer = co_await ask(Demand);
  }
  co_return Answer;
}

Task<DemandAnswer> DemandRouter::askZones(ModelDemand Demand,
                                          std::span<const ZoneChoice> Zones,
                                          Instant Until) {
  DemandAnswer Answer;
  ZoneId Soonest;
  std::int64_t ReadyInMs = std::numeric_limits<std::int64_t>::max();
  for (const ZoneChoice &Choice : Zones) {
    if (now() >= Until)
      break;
    Demand.m_Zone = Choice.m_Zone;
    const Duration Limit = &Choice == &Zones.back() ? LongestAsk : FirstAsk;
    const Instant AskedAt = now();
    Answer = co_await askZone(Demand, Limit, Until);
    log::entry(Part, "demand.answered", Demand.m_Model,
               {{"zone", Choice.m_Zone},
                {"adapter", Demand.m_Adapter},
                {"status", Answer.m_Status},
                {"ready_in_ms", Answer.m_ReadyInMs},
                {"endpoint", Answer.m_Endpoint},
                {"took_ms", toMilliseconds(now() - AskedAt).count()}});
    if (Answer.m_Status == DemandStatus::Ready)
      co_return Answer;
    if (Answer.m_ReadyInMs > 0 && Answer.m_ReadyInMs < ReadyInMs) {
      Soonest = Choice.m_Zone;
      ReadyInMs = Answer.m_ReadyInMs;
    }
  }
  if (Soonest.str().empty() || now() >= Until)
    co_return Answer;
  // All zones have loads of other models to end first.
  expect(Demand.m_Model, now() + milliseconds(ReadyInMs));
  Demand.m_Zone = Soonest;
  co_return co_await stayWith(std::move(Demand), Until);
}

Task<void> DemandRouter::obtain(std::string Service, serving::ModelName Name,
                                std::int64_t Rank, Instant Until) {
  const auto Zones = zonesFor(Service, Name);
  const auto *Model = m_State.m_Catalogue->findModel(Service, Name.m_Model);
  ModelDemand Demand;
  Demand.m_Service = Service;
  Demand.m_Model = Name.m_Model;
  Demand.m_Adapter = Name.m_Adapter;
  Demand.m_Rank = Rank;
  if (const auto Lacked = m_Lacked.extract(Name))
    Demand.m_LackedBy.assign(Lacked.mapped().begin(), Lacked.mapped().end());
  if (const auto Found = m_Waiting.find(Name); Found != m_Waiting.end())
    Demand.m_Waiting = Found->second;
  Demand.m_MayLoadRemote =
      Model && !Zones.empty() &&
      Zones.front().m_Seconds >= Model->m_RemoteLoadSeconds;
  const DemandAnswer Answer =
      co_await askZones(std::move(Demand), Zones, Until);
  if (Answer.m_Status == DemandStatus::Ready) {
    m_State.m_Endpoints.noteHeld(Answer.m_Endpoint, {Name.m_Model, {}}, now());
    if (!Name.m_Adapter.empty())
      m_State.m_Endpoints.noteHeld(Answer.m_Endpoint, Name, now());
  } else {
    co_await sleepFor(AskPause);
  }
  m_ReadyAt.erase(Name.m_Model);
  m_Asked.erase(Name);
  m_State.m_Changed.notifyAll();
}

Task<void> DemandRouter::reportUsage() {
  while (true) {
    co_await sleepFor(std::max<milliseconds>(
        UsagePeriod,
        UsagePeriodPerHost * static_cast<std::int64_t>(m_State.hosts())));
    UsageReport Report{HostId(m_Rights.member()), std::exchange(m_Usage, {}),
                       m_State.m_Quarantine.recentSuspects(now())};
    std::set<ZoneId> Zones;
    for (const auto &[Id, Known] : m_State.m_Endpoints.all())
      if (!Known.inventory().m_Models.empty())
        Zones.insert(Known.m_Registered.m_Zone);
    for (const ZoneId &Zone : Zones)
      m_State.spawn("send_usage", sendUsage(Zone, Report));
  }
}

Task<void> DemandRouter::sendUsage(ZoneId Zone, UsageReport Report) {
  const auto Holder = co_await m_Rights.holderOf(Zone);
  if (!Holder)
    co_return;
  std::optional<UsageAnswer> Answer;
  if (*Holder == m_Rights.member())
    Answer = m_Swaps.onUsage(Report);
  else
    Answer = co_await callPeer<UsageAnswer>(m_Peers, *Holder, UsagePath, Report,
                                            UsageTimeout);
  if (!Answer) {
    m_Rights.forgetHolder(Zone);
    co_return;
  }
  m_State.mergeCrashes(Answer->m_Crashes);
  // A holder that has just begun knows few hosts, so the largest count holds.
  m_HostsByZone[Zone] = Answer->m_Hosts;
  std::int64_t Hosts = 1;
  for (const auto &[Known, Count] : m_HostsByZone)
    Hosts = std::max(Hosts, Count);
  m_State.setHosts(static_cast<std::size_t>(Hosts));
}

std::vector<ModelDemand> DemandRouter::missingReplicas() const {
  std::vector<ModelDemand> Result;
  const auto Catalogue = m_State.m_Catalogue;
  if (!Catalogue)
    return Result;
  for (const auto &[ServiceName, Service] : Catalogue->m_Services) {
    if (!Service.m_Engine)
      continue;
    const auto Serving = m_State.m_Endpoints.serving(ServiceName);
    for (const auto &[Name, Model] : Service.m_Engine->m_Models) {
      if (m_State.m_OwnDemand.rate(Name, now()) < ReplicaRate)
        continue;
      const bool InZone = std::ranges::any_of(
          Serving, [this, &Name = Name](const serving::Endpoint *Item) {
            return Item->m_Registered.m_Zone == m_State.m_Zone &&
                   Item->inventory().find(Name);
          });
      if (InZone)
        continue;
      ModelDemand Wish;
      Wish.m_Zone = m_State.m_Zone;
      Wish.m_Service = ServiceName;
      Wish.m_Model = Name;
      Wish.m_Replica = true;
      Wish.m_WaitMs = WishWait.count();
      Result.push_back(std::move(Wish));
    }
  }
  return Result;
}

Task<void> DemandRouter::wishReplicas() {
  while (true) {
    co_await sleepFor(ReplicaPeriod);
    // The list is complete before the first call: catalogue and endpoints may
    // change while a call waits.
    for (const ModelDemand &Wish : missingReplicas()) {
      // The holder only has to start; the directory shows what came of it.
      const DemandAnswer Answer = co_await ask(Wish);
      log::entry(Part, "replica.wished", Wish.m_Model,
                 {{"status", Answer.m_Status}});
    }
  }
}

} // namespace sff::host
