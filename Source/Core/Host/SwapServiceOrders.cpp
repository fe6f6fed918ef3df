#include "Host/SwapService.h"

#include <algorithm>

namespace sff::host {

namespace {

constexpr auto Part = log::Category::Loading;

/// Pause between two questions whether an order has been carried out. The
/// order itself is the question, because reports lag by a hundred milliseconds.
constexpr milliseconds AskPeriod{40};
/// Questions after which the endpoint's report is read again.
constexpr int AsksPerReport = 4;
/// After the expected end of a load, which endpoints keep to closely.
constexpr milliseconds AskSlack{8};
/// An endpoint that did not answer is left alone for this long.
constexpr milliseconds RestPeriod{500};
/// A load is given up after this multiple of its expected time and the slack.
/// Loads from the weight store take longer while others run.
constexpr int LoadPatience = 4;
constexpr milliseconds OrderSlack{4000};
constexpr milliseconds AdapterLoadTime{10};
/// Longest wait for the requests that run on an evicted model.
constexpr milliseconds EvictLimit{5000};

std::string_view toString(OrderStatus Status) {
  switch (Status) {
  case OrderStatus::Accepted:
    return "accepted";
  case OrderStatus::AlreadyHolds:
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
  return Status == OrderStatus::Accepted || Status == OrderStatus::AlreadyHolds;
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

Task<void> SwapService::runSwap(Target Where, std::string Model,
                                serving::EngineSpec Engine, bool Remote) {
  const Instant Start = now();
  const serving::ModelSpec *Spec = Engine.find(Model);
  const Duration Expected = fromSeconds(Spec ? Spec->m_RemoteLoadSeconds : 0);
  const bool Done = co_await swap(Where, Model, std::move(Engine));
  if (Remote)
    onRemoteLoad(now() - Start, Expected);
  m_State.m_Metrics.onSwap(now() - Start);
  log::entry(Part, Done ? "swap.done" : "swap.failed", Model,
             {{"endpoint", Where.m_Id},
              {"took_ms", toMilliseconds(now() - Start).count()}});
  finish(Where.m_Id, Done);
}

Task<bool> SwapService::swap(Target Where, std::string Model,
                             serving::EngineSpec Engine) {
  const bool Fresh = co_await ensureReport(Where);
  if (!Fresh)
    co_return false;
  const serving::ModelSpec *Spec = Engine.find(Model);
  // The plan came from the registration; the report is newer.
  const Candidates Only{candidateOf(m_Work[Where.m_Id].m_Report->m_Inventory,
                                    Where.m_Id, Engine, *Spec)};
  const auto Plan = serving::planSwap(Spec->m_WeightMb, Only);
  if (!Plan)
    co_return false;
  for (const std::string &Victim : Plan->m_Evict) {
    const serving::ModelName Name{Victim, {}};
    publish(Where.m_Id, Name, false);
    const OrderStatus Unloaded =
        co_await orderWhenFree(Where, OrderKind::Unload, Name, EvictLimit);
    if (!isDone(Unloaded))
      co_return false;
    noteInReport(Where.m_Id, Name, false);
  }
  // The endpoint takes the load only after the eviction has ended, so that
  // its memory is never overcommitted.
  const serving::ModelName Name{Model, {}};
  const OrderStatus Loaded =
      co_await orderWhenFree(Where, OrderKind::Load, Name, EvictLimit);
  if (!isDone(Loaded))
    co_return false;
  const Duration Expected = fromSeconds(Plan->m_LoadSeconds);
  const bool Held = co_await awaitHeld(Where, Name, Expected);
  if (Held) {
    m_LoadedAt[Model] = now();
    noteInReport(Where.m_Id, Name, true);
    publish(Where.m_Id, Name, true);
  }
  co_return Held;
}

void SwapService::noteInReport(const EndpointId &Id,
                               const serving::ModelName &Name, bool Held) {
  if (auto &Report = m_Work[Id].m_Report)
    Report->m_Inventory.note(Name, Held);
}

Task<bool> SwapService::ensureReport(Target Where) {
  if (m_Work[Where.m_Id].m_Report)
    co_return true;
  const Instant Settled = m_Work[Where.m_Id].m_LastOrderAt + ReportLag;
  if (now() < Settled)
    co_await sleepFor(Settled - now());
  auto Report = co_await m_State.m_Platform.m_Engines->report(Where.m_Address,
                                                              Where.m_Id);
  if (!Report || Report->m_OrderRunning)
    co_return false;
  m_Work[Where.m_Id].m_Report = std::move(Report);
  co_return true;
}

Task<bool> SwapService::countsAgree(Target Where) {
  const auto Report = co_await m_State.m_Platform.m_Engines->report(
      Where.m_Address, Where.m_Id);
  const Work &Known = m_Work[Where.m_Id];
  co_return Report &&Known.m_Report &&
      Report->m_AcceptedOrders <= Known.m_Report->m_AcceptedOrders &&
      Report->m_AcceptedOrders + 1 >= Known.m_Report->m_AcceptedOrders;
}

Task<OrderStatus> SwapService::order(Target Where, OrderKind Kind,
                                     serving::ModelName Name) {
  const OrderStatus Status = co_await send(Where, Kind, Name);
  auto &Report = m_Work[Where.m_Id].m_Report;
  if (Status == OrderStatus::Accepted && Report)
    ++Report->m_AcceptedOrders;
  co_return Status;
}

Task<OrderStatus> SwapService::send(Target Where, OrderKind Kind,
                                    serving::ModelName Name) {
  const auto Token = m_Rights.mayOrder(Where.m_Zone);
  Work &Known = m_Work[Where.m_Id];
  if (!Token || !Known.m_Report)
    co_return OrderStatus::Rejected;
  const Order Request{Kind, Name, m_Rights.member(), *Token,
                      Known.m_Report->m_AcceptedOrders};
  const OrderStatus Status = co_await m_State.m_Platform.m_Engines->send(
      Where.m_Address, Where.m_Id, Request);
  m_State.m_Metrics.onOrder(toString(Status));
  log::entry(Part, "order.sent", Name.str(),
             {{"endpoint", Where.m_Id},
              {"kind", Kind == OrderKind::Load ? "load" : "unload"},
              {"token", *Token},
              {"expected_orders", Request.m_ExpectedOrders},
              {"result", toString(Status)}});
  Work &Current = m_Work[Where.m_Id];
  Current.m_LastOrderAt = now();
  if (Status == OrderStatus::Fenced)
    m_Rights.onFenced(Where.m_Zone, *Token);
  if (Status != OrderStatus::Accepted && Status != OrderStatus::AlreadyHolds &&
      Status != OrderStatus::Conflict)
    Current.m_Report.reset();
  co_return Status;
}

Task<OrderStatus> SwapService::orderWhenFree(Target Where, OrderKind Kind,
                                             serving::ModelName Name,
                                             Duration Limit) {
  const Instant GiveUp = now() + Limit;
  for (int Asked = 1;; ++Asked) {
    const OrderStatus Status = co_await order(Where, Kind, Name);
    if (Status != OrderStatus::Conflict || now() >= GiveUp)
      co_return Status;
    co_await sleepFor(AskPeriod);
    // Another order may run, or the endpoint has had orders that this host
    // does not know of.
    if (Asked % AsksPerReport == 0) {
      const bool Agree = co_await countsAgree(Where);
      if (!Agree) {
        m_Work[Where.m_Id].m_Report.reset();
        co_return OrderStatus::Unknown;
      }
    }
  }
}

Task<bool> SwapService::awaitHeld(Target Where, serving::ModelName Name,
                                  Duration Expected) {
  const Instant GiveUp = now() + LoadPatience * Expected + OrderSlack;
  // Asks less often the longer the load takes.
  const Duration Pause = std::max<Duration>(AskPeriod, Expected / 20);
  co_await sleepFor(Expected + AskSlack);
  while (now() < GiveUp) {
    const OrderStatus Status = co_await send(Where, OrderKind::Load, Name);
    if (Status == OrderStatus::AlreadyHolds)
      co_return true;
    // A repeat of the order that is being carried out is accepted again or
    // meets a conflict, and does not count as another order.
    if (Status != OrderStatus::Accepted && Status != OrderStatus::Conflict)
      co_return false;
    co_await sleepFor(Pause);
  }
  co_return false;
}

Task<void> SwapService::runAdapter(Target Where, serving::ModelName Name,
                                   serving::EngineSpec Engine) {
  const bool Done = co_await loadAdapter(Where, Name, std::move(Engine));
  log::entry(Part, Done ? "adapter.loaded" : "adapter.failed", Name.str(),
             {{"endpoint", Where.m_Id}});
  if (Done)
    publish(Where.m_Id, Name, true);
  finish(Where.m_Id, Done);
}

Task<bool> SwapService::loadAdapter(Target Where, serving::ModelName Name,
                                    serving::EngineSpec Engine) {
  const bool Fresh = co_await ensureReport(Where);
  if (!Fresh)
    co_return false;
  const EngineReport Report = *m_Work[Where.m_Id].m_Report;
  const serving::ModelSpec *Model = Engine.find(Name.m_Model);
  if (!Report.m_Inventory.find(Name.m_Model)) {
    publish(Where.m_Id, {Name.m_Model, {}}, false);
    co_return false;
  }
  const bool Full =
      adaptersOf(Report) >= Engine.m_AdapterSlots ||
      usedMb(Report, Engine) + Model->m_AdapterMb > Engine.m_CapacityMb;
  if (Full) {
    const bool Evicted = co_await evictAdapter(Where, Report);
    if (!Evicted)
      co_return false;
  }
  const OrderStatus Loaded = co_await order(Where, OrderKind::Load, Name);
  if (!isDone(Loaded))
    co_return false;
  const bool Held = co_await awaitHeld(Where, Name, AdapterLoadTime);
  if (Held)
    noteInReport(Where.m_Id, Name, true);
  co_return Held;
}

Task<bool> SwapService::evictAdapter(Target Where, EngineReport Report) {
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
  publish(Where.m_Id, Victim, false);
  const OrderStatus Unloaded = co_await order(Where, OrderKind::Unload, Victim);
  if (!isDone(Unloaded))
    co_return false;
  noteInReport(Where.m_Id, Victim, false);
  co_return true;
}

void SwapService::finish(const EndpointId &Id, bool Done) {
  Work &Known = m_Work[Id];
  Known.m_Busy = false;
  Known.m_Loading.clear();
  if (!Done) {
    Known.m_Report.reset();
    Known.m_RestUntil = now() + RestPeriod;
  }
  m_Progress.notifyAll();
  m_State.m_Changed.notifyAll();
  schedulePending();
}

} // namespace sff::host
