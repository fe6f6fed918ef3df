#include "Host/SwapService.h"

#include <algorithm>

namespace sff::host {

namespace {

constexpr auto LogCategory = log::Category::Loading;

/// Interval at which an order is repeated to find out whether it has been
/// executed. Repeating it is faster than reading the report, which lags by a
/// hundred milliseconds.
constexpr milliseconds OrderPollInterval{40};
/// Number of repeats after which the endpoint's report is read again.
constexpr int PollsPerReport = 4;
/// Delay of the first poll after the expected end of a load. Short because
/// endpoints keep closely to the expected time.
constexpr milliseconds LoadPollSlack{8};
/// Time without orders to an endpoint after a failed operation.
constexpr milliseconds FailureBackoff{500};
/// A load times out after this multiple of its expected time plus
/// LoadTimeoutSlack. The factor allows for loads from the weight store, which
/// take longer while others run.
constexpr int LoadTimeoutFactor = 4;
constexpr milliseconds LoadTimeoutSlack{4000};
constexpr milliseconds AdapterLoadTime{10};
/// Longest wait for an order to be accepted, for example while requests still
/// run on the evicted model.
constexpr milliseconds MaxEvictionTime{5000};

std::string_view toString(OrderStatus Status) {
  switch (Status) {
  case OrderStatus::Accepted:
    return "accepted";
  case OrderStatus::AlreadyApplied:
    return "already_holds";
  case OrderStatus::Conflict:
    return "conflict";
  case OrderStatus::Fenced:
    return "fenced";
  case OrderStatus::Rejected:
    return "rejected";
  case OrderStatus::OtherEndpoint:
    return "other_endpoint";
  case OrderStatus::Unknown:
    return "unknown";
  }
  return "";
}

bool isDone(OrderStatus Status) {
  return Status == OrderStatus::Accepted ||
         Status == OrderStatus::AlreadyApplied;
}

int adaptersOf(const EngineReport &Report) {
  std::size_t Count = Report.m_PendingAdapters.size();
  for (const serving::ResidentModel &Model : Report.m_Inventory.m_Models)
    Count += Model.m_Adapters.size();
  return static_cast<int>(Count);
}

double usedMb(const EngineReport &Report, const serving::EngineSpec &Engine) {
  double Sum = 0;
  for (const serving::ResidentModel &Model : Report.m_Inventory.m_Models)
    if (const serving::ModelSpec *Spec = Engine.find(Model.m_Name))
      Sum += serving::sizeMb(*Spec, Model);
  for (const serving::ModelName &Name : Report.m_PendingAdapters)
    if (const serving::ModelSpec *Spec = Engine.find(Name.m_Model))
      Sum += Spec->m_AdapterMb;
  return Sum;
}

} // namespace

Task<void> SwapService::runSwap(Target Destination, std::string Model,
                                serving::EngineSpec Engine, bool Remote) {
  const Instant Start = now();
  const serving::ModelSpec *Spec = Engine.find(Model);
  const Duration Expected = fromSeconds(Spec ? Spec->m_RemoteLoadSeconds : 0);
  const bool Done = co_await swap(Destination, Model, std::move(Engine));
  if (Remote)
    onRemoteLoad(now() - Start, Expected);
  m_State.m_Metrics.onSwap(now() - Start);
  log::entry(LogCategory, Done ? "swap.done" : "swap.failed", Model,
             {{"endpoint", Destination.m_Id},
              {"took_ms", toMilliseconds(now() - Start).count()}});
  finishOperation(Destination.m_Id, Done);
}

Task<bool> SwapService::swap(Target Destination, std::string Model,
                             serving::EngineSpec Engine) {
  const bool HasReport = co_await ensureReport(Destination);
  if (!HasReport)
    co_return false;
  const serving::ModelSpec *Spec = Engine.find(Model);
  // Plan again: the first plan used the registration and the report is newer.
  const Candidates Candidate{
      candidateOf(m_ManagedEndpoints[Destination.m_Id].m_Report->m_Inventory,
                  Destination.m_Id, Engine, *Spec)};
  const auto Plan = serving::planSwap(Spec->m_WeightMb, Candidate);
  if (!Plan)
    co_return false;
  for (const std::string &Victim : Plan->m_Evict) {
    const serving::ModelName Name{Victim, {}};
    publish(Destination.m_Id, Name, false);
    const OrderStatus Unloaded = co_await orderAndRetryConflicts(
        Destination, OrderKind::Unload, Name, MaxEvictionTime);
    if (!isDone(Unloaded))
      co_return false;
    updateReport(Destination.m_Id, Name, false);
  }
  // The endpoint accepts the load only after the eviction has finished, so that
  // its memory is never overcommitted.
  const serving::ModelName Name{Model, {}};
  const OrderStatus Loaded = co_await orderAndRetryConflicts(
      Destination, OrderKind::Load, Name, MaxEvictionTime);
  if (!isDone(Loaded))
    co_return false;
  const Duration Expected = fromSeconds(Plan->m_LoadSeconds);
  const bool Held = co_await waitUntilHeld(Destination, Name, Expected);
  if (Held) {
    m_LoadedAt[Model] = now();
    updateReport(Destination.m_Id, Name, true);
    publish(Destination.m_Id, Name, true);
  }
  co_return Held;
}

void SwapService::updateReport(const EndpointId &Id,
                               const serving::ModelName &Name, bool Held) {
  if (auto &Report = m_ManagedEndpoints[Id].m_Report)
    Report->m_Inventory.setLoaded(Name, Held);
}

Task<bool> SwapService::ensureReport(Target Destination) {
  if (m_ManagedEndpoints[Destination.m_Id].m_Report)
    co_return true;
  const Instant Settled =
      m_ManagedEndpoints[Destination.m_Id].m_LastOrderAt + ReportLag;
  if (now() < Settled)
    co_await sleepFor(Settled - now());
  auto Report = co_await fetchReport(Destination);
  if (!Report || Report->m_OrderRunning)
    co_return false;
  // The answer may have said that the endpoint leaves.
  if (!m_State.isInUse(Destination.m_Id))
    co_return false;
  m_ManagedEndpoints[Destination.m_Id].m_Report = std::move(Report);
  co_return true;
}

Task<std::optional<EngineReport>> SwapService::fetchReport(Target Destination) {
  const auto Asked = m_State.registrationOf(Destination.m_Id);
  ReportAnswer Answer = co_await m_State.m_Platform.m_Engines->report(
      Destination.m_Address, Destination.m_Id);
  m_State.onNotice(Destination.m_Id, Asked, Answer.m_Notice, "report");
  co_return std::move(Answer.m_Report);
}

Task<bool> SwapService::orderCountsMatch(Target Destination) {
  const auto Report = co_await fetchReport(Destination);
  const ManagedEndpoint &Known = m_ManagedEndpoints[Destination.m_Id];
  co_return Report &&Known.m_Report &&
      Report->m_AcceptedOrders <= Known.m_Report->m_AcceptedOrders &&
      Report->m_AcceptedOrders + 1 >= Known.m_Report->m_AcceptedOrders;
}

Task<OrderStatus> SwapService::sendCountedOrder(Target Destination,
                                                OrderKind Kind,
                                                serving::ModelName Name) {
  const OrderStatus Status = co_await send(Destination, Kind, Name);
  auto &Report = m_ManagedEndpoints[Destination.m_Id].m_Report;
  if (Status == OrderStatus::Accepted && Report)
    ++Report->m_AcceptedOrders;
  co_return Status;
}

Task<OrderStatus> SwapService::send(Target Destination, OrderKind Kind,
                                    serving::ModelName Name) {
  const auto Token = m_OrderLeases.tokenForOrder(Destination.m_Zone);
  ManagedEndpoint &Known = m_ManagedEndpoints[Destination.m_Id];
  if (!Token || !Known.m_Report)
    co_return OrderStatus::Rejected;
  const Order Request{Kind, Name, m_OrderLeases.member(), *Token,
                      Known.m_Report->m_AcceptedOrders};
  const auto Asked = m_State.registrationOf(Destination.m_Id);
  const OrderAnswer Answer = co_await m_State.m_Platform.m_Engines->send(
      Destination.m_Address, Destination.m_Id, Request);
  const OrderStatus Status = Answer.m_Status;
  m_State.onNotice(Destination.m_Id, Asked, Answer.m_Notice, "order");
  m_State.m_Metrics.onOrder(toString(Status));
  log::entry(LogCategory, "order.sent", Name.str(),
             {{"endpoint", Destination.m_Id},
              {"kind", Kind == OrderKind::Load ? "load" : "unload"},
              {"token", *Token},
              {"expected_orders", Request.m_ExpectedOrders},
              {"result", toString(Status)}});
  ManagedEndpoint &Current = m_ManagedEndpoints[Destination.m_Id];
  Current.m_LastOrderAt = now();
  if (Status == OrderStatus::Fenced)
    m_OrderLeases.onTokenRejected(Destination.m_Zone, *Token);
  if (Status != OrderStatus::Accepted &&
      Status != OrderStatus::AlreadyApplied && Status != OrderStatus::Conflict)
    Current.m_Report.reset();
  co_return Status;
}

Task<OrderStatus> SwapService::orderAndRetryConflicts(Target Destination,
                                                      OrderKind Kind,
                                                      serving::ModelName Name,
                                                      Duration Limit) {
  const Instant Deadline = now() + Limit;
  for (int Attempt = 1;; ++Attempt) {
    const OrderStatus Status =
        co_await sendCountedOrder(Destination, Kind, Name);
    if (Status != OrderStatus::Conflict || now() >= Deadline)
      co_return Status;
    co_await sleepFor(OrderPollInterval);
    // Either another order is being executed, or the endpoint has accepted
    // orders that this host does not know of.
    if (Attempt % PollsPerReport == 0) {
      const bool CountsMatch = co_await orderCountsMatch(Destination);
      if (!CountsMatch) {
        m_ManagedEndpoints[Destination.m_Id].m_Report.reset();
        co_return OrderStatus::Unknown;
      }
    }
  }
}

Task<bool> SwapService::waitUntilHeld(Target Destination,
                                      serving::ModelName Name,
                                      Duration Expected) {
  const Instant Deadline =
      now() + LoadTimeoutFactor * Expected + LoadTimeoutSlack;
  // Poll less often the longer the load takes.
  const Duration Pause = std::max<Duration>(OrderPollInterval, Expected / 20);
  co_await sleepFor(Expected + LoadPollSlack);
  while (now() < Deadline) {
    const OrderStatus Status =
        co_await send(Destination, OrderKind::Load, Name);
    if (Status == OrderStatus::AlreadyApplied)
      co_return true;
    // A repeat of the order that is being executed is accepted again or gets a
    // conflict. It does not count as another order.
    if (Status != OrderStatus::Accepted && Status != OrderStatus::Conflict)
      co_return false;
    co_await sleepFor(Pause);
  }
  co_return false;
}

Task<void> SwapService::runAdapter(Target Destination, serving::ModelName Name,
                                   serving::EngineSpec Engine) {
  const bool Done = co_await loadAdapter(Destination, Name, std::move(Engine));
  log::entry(LogCategory, Done ? "adapter.loaded" : "adapter.failed",
             Name.str(), {{"endpoint", Destination.m_Id}});
  if (Done)
    publish(Destination.m_Id, Name, true);
  finishOperation(Destination.m_Id, Done);
}

Task<bool> SwapService::loadAdapter(Target Destination, serving::ModelName Name,
                                    serving::EngineSpec Engine) {
  const bool HasReport = co_await ensureReport(Destination);
  if (!HasReport)
    co_return false;
  const EngineReport Report = *m_ManagedEndpoints[Destination.m_Id].m_Report;
  const serving::ModelSpec *Model = Engine.find(Name.m_Model);
  if (!Report.m_Inventory.find(Name.m_Model)) {
    publish(Destination.m_Id, {Name.m_Model, {}}, false);
    co_return false;
  }
  const bool Full =
      adaptersOf(Report) >= Engine.m_AdapterSlots ||
      usedMb(Report, Engine) + Model->m_AdapterMb > Engine.m_CapacityMb;
  if (Full) {
    const bool Evicted = co_await evictAdapter(Destination, Report);
    if (!Evicted)
      co_return false;
  }
  const OrderStatus Loaded =
      co_await sendCountedOrder(Destination, OrderKind::Load, Name);
  if (!isDone(Loaded))
    co_return false;
  const bool Held = co_await waitUntilHeld(Destination, Name, AdapterLoadTime);
  if (Held)
    updateReport(Destination.m_Id, Name, true);
  co_return Held;
}

Task<bool> SwapService::evictAdapter(Target Destination, EngineReport Report) {
  std::optional<serving::ModelName> Oldest;
  Instant OldestUse = Instant::max();
  for (const serving::ResidentModel &Model : Report.m_Inventory.m_Models)
    for (const std::string &Adapter : Model.m_Adapters) {
      const serving::ModelName Name{Model.m_Name, Adapter};
      const Instant Used = m_Demand.lastRequest(Name.str());
      if (Used < OldestUse) {
        OldestUse = Used;
        Oldest = Name;
      }
    }
  if (!Oldest)
    co_return false;
  const serving::ModelName Victim = *Oldest;
  publish(Destination.m_Id, Victim, false);
  const OrderStatus Unloaded =
      co_await sendCountedOrder(Destination, OrderKind::Unload, Victim);
  if (!isDone(Unloaded))
    co_return false;
  updateReport(Destination.m_Id, Victim, false);
  co_return true;
}

void SwapService::finishOperation(const EndpointId &Id, bool Done) {
  ManagedEndpoint &Known = m_ManagedEndpoints[Id];
  Known.m_Busy = false;
  Known.m_Loading.clear();
  if (!Done) {
    Known.m_Report.reset();
    Known.m_BackoffUntil = now() + FailureBackoff;
  }
  m_OperationFinished.notifyAll();
  m_State.m_Changed.notifyAll();
  schedulePending();
}

} // namespace sff::host
