#include "Router/RequestScheduler.h"

#include <algorithm>

namespace sff::router {

using admission::Refusal;
using execution::Reason;

namespace {

constexpr milliseconds TickPeriod{20};

Instant now() { return std::chrono::steady_clock::now(); }

milliseconds untilOf(Instant Point, Instant Now) {
  return std::chrono::ceil<milliseconds>(
      std::max(Point - Now, Duration::zero()));
}

} // namespace

RequestScheduler::RequestScheduler(timers::DutyLoop &Loop, ClusterView &View,
                                   CreditBorrower &Credits,
                                   EndpointRegistry &Book,
                                   retry::CrashQuarantine &Quarantine,
                                   Options Chosen)
    : m_View(View), m_Credits(Credits), m_Registry(Book),
      m_Quarantine(Quarantine), m_Options(Chosen),
      m_Timers(Loop.context().get_executor()) {}

void RequestScheduler::start() {
  m_TickTimer = m_Timers.every(TickPeriod, [this] { tick(); });
}

RequestScheduler::EntryState &
RequestScheduler::entryOf(const PlacementRequest &Item) {
  const auto MaxQueue = static_cast<std::size_t>(Item.m_Spec.m_MaxQueue);
  EntryState &State =
      m_Entries.try_emplace(Item.m_Entry, MaxQueue).first->second;
  State.m_Spec = Item.m_Spec;
  State.m_Queue.setMaxWaiting(MaxQueue);
  return State;
}

void RequestScheduler::submit(PlacementRequest Item, Answer Done) {
  const auto Verdict = m_Quarantine.verdict(Item.m_Fingerprint, now());
  if (Verdict == retry::QuarantineVerdict::Refuse) {
    Done(Refusal{Reason::Quarantined, m_Options.m_QuarantinePeriod});
    return;
  }
  const EntryName Entry = Item.m_Entry;
  const RequestId Id = Item.m_Id;
  EntryState &State = entryOf(Item);
  const bool Isolated = Verdict == retry::QuarantineVerdict::Isolate;
  if (Isolated || !Item.m_Avoid.empty())
    State.m_Special.push_back(Id);
  else if (!tryQueue(Item, State, Done))
    return;
  m_Jobs.emplace(Id, Job{std::move(Item), std::move(Done), Isolated, {}});
  log::request(log::Category::Admission, "request.queued", Id.str(),
               Entry.str(),
               {{"waiting", State.m_Queue.size()}, {"isolated", Isolated}});
  for (const auto &Displaced : State.m_Queue.takeDisplaced())
    refuse(Displaced.m_Request, Reason::QueueFull,
           State.m_Queue.promiseRetry(Displaced.m_Class,
                                      capacityOf(Entry, State), now()));
  pump(Entry);
}

bool RequestScheduler::tryQueue(const PlacementRequest &Item, EntryState &State,
                                const Answer &Done) {
  const auto Refused =
      State.m_Queue.offer({Item.m_Id, Item.m_Class, Item.m_Deadline,
                           Item.m_Arrival, Item.m_KeptRetryTime},
                          capacityOf(Item.m_Entry, State), now());
  if (Refused)
    Done(*Refused);
  return !Refused;
}

admission::CapacityEstimate
RequestScheduler::capacityOf(const EntryName &Entry,
                             const EntryState &State) const {
  const Instant Now = now();
  admission::CapacityEstimate Result;
  std::int64_t Free = 0;
  std::optional<Instant> ReadyAt;
  for (const EndpointId &Id : m_View.endpointsOf(Entry, State.m_Spec)) {
    Free += m_Credits.available(Entry, Id, Now);
    if (const auto *Known = m_Credits.find(Entry, Id))
      ReadyAt =
          ReadyAt ? std::min(*ReadyAt, Known->m_ReadyAt) : Known->m_ReadyAt;
  }
  if (Free == 0 && State.m_Running == 0 && ReadyAt && *ReadyAt > Now)
    Result.m_ReadyIn = *ReadyAt - Now;
  Result.m_Parallel = std::max<std::int64_t>(1, State.m_Running + Free);
  if (!State.m_Spec.isLoadable())
    Result.m_Parallel = State.m_Spec.m_MaxConcurrent;
  return Result;
}

void RequestScheduler::withdraw(const EntryName &Entry,
                                const RequestId &Request) {
  const auto It = m_Entries.find(Entry);
  if (It == m_Entries.end() || !m_Jobs.contains(Request))
    return;
  It->second.m_Queue.remove(Request);
  refuse(Request, Reason::DeadlineExpired, milliseconds(0));
}

void RequestScheduler::refuse(const RequestId &Request, Reason Why,
                              milliseconds RetryAfter) {
  auto Taken = m_Jobs.extract(Request);
  if (Taken.empty())
    return;
  Job &Item = Taken.mapped();
  if (!Item.m_Reserved.empty())
    m_Registry.unreserve(Item.m_Reserved);
  std::erase(m_Entries.at(Item.m_Placement.m_Entry).m_Special, Request);
  Item.m_Done(Refusal{Why, RetryAfter});
}

void RequestScheduler::finish(const Placement &Used,
                              const AttemptReport &Report) {
  const Instant Now = now();
  m_Registry.onFinished(Used.m_Endpoint, Now);
  --m_Running;
  if (Used.m_Isolated)
    m_Registry.unreserve(Used.m_Endpoint);
  if (Used.m_Credit)
    m_Credits.giveBack(*Used.m_Credit, Now);
  if (Report.m_EndpointDown)
    m_Registry.onDown(Used.m_Endpoint, Now + m_Options.m_EndpointDown);
  if (const auto It = m_Entries.find(Used.m_Entry); It != m_Entries.end()) {
    --It->second.m_Running;
    if (Report.m_Answered)
      It->second.m_Queue.onServed(Report.m_Class, Report.m_ServiceTime);
  }
  if (Report.m_Answered)
    m_Quarantine.onSuccess(Report.m_Fingerprint);
  pump(Used.m_Entry);
}

void RequestScheduler::pump(const EntryName &Entry) {
  const auto It = m_Entries.find(Entry);
  if (It == m_Entries.end())
    return;
  refuseExpired(Entry, It->second);
  placeSpecial(Entry, It->second);
  placeQueued(Entry, It->second);
  if (It->second.m_Spec.isLoadable())
    borrowFor(Entry, It->second);
  refuseHopeless(Entry, It->second);
}

RequestScheduler::Candidates
RequestScheduler::candidatesFor(const Job &Item,
                                const EntryState &State) const {
  const Instant Now = now();
  const PlacementRequest &Asked = Item.m_Placement;
  Candidates Result;
  Candidates Avoided;
  for (const EndpointId &Id : m_View.endpointsOf(Asked.m_Entry, State.m_Spec)) {
    if (m_Registry.isDown(Id, Now) ||
        m_Registry.isReservedFromOthers(Id, Asked.m_Id))
      continue;
    const bool Credit = !State.m_Spec.isLoadable() ||
                        m_Credits.available(Asked.m_Entry, Id, Now) > 0;
    auto &List = Asked.m_Avoid.contains(Id) ? Avoided : Result;
    List.push_back({Id, m_Registry.load(Id, Now),
                    m_Registry.prefixTokens(Id, Asked.m_Prompt), Credit});
  }
  return Result.empty() ? Avoided : Result;
}

RequestScheduler::Candidates
RequestScheduler::startable(const Job &Item, const EntryState &State) const {
  Candidates Result = candidatesFor(Item, State);
  std::erase_if(Result, [](const auto &One) { return !One.m_HasCredit; });
  return Result;
}

bool RequestScheduler::hasStartable(const EntryName &Entry,
                                    const EntryState &State) const {
  Job Any;
  Any.m_Placement.m_Entry = Entry;
  return !startable(Any, State).empty();
}

void RequestScheduler::placeQueued(const EntryName &Entry, EntryState &State) {
  while (!State.m_Queue.empty() &&
         State.m_Running < State.m_Spec.m_MaxConcurrent &&
         hasStartable(Entry, State)) {
    const auto Next = State.m_Queue.takeNext(now());
    if (!Next)
      return;
    auto Taken = m_Jobs.extract(Next->m_Request);
    if (Taken.empty())
      continue;
    const Candidates List = startable(Taken.mapped(), State);
    const auto Chosen = routing::pickEndpoint(List, {}, m_Random);
    place(std::move(Taken.mapped()), State, List[Chosen.value_or(0)]);
  }
}

void RequestScheduler::placeSpecial(const EntryName &, EntryState &State) {
  const std::vector<RequestId> Waiting = State.m_Special;
  for (const RequestId &Id : Waiting) {
    const auto It = m_Jobs.find(Id);
    if (It == m_Jobs.end() || State.m_Running >= State.m_Spec.m_MaxConcurrent)
      continue;
    if (It->second.m_Isolated)
      reserveFor(It->second, State);
    if (placeOne(It->second, State)) {
      m_Jobs.erase(Id);
      std::erase(State.m_Special, Id);
    }
  }
}

void RequestScheduler::reserveFor(Job &Item, const EntryState &State) {
  const Candidates List = candidatesFor(Item, State);
  const auto Holds = [&](const auto &One) {
    return One.m_Endpoint == Item.m_Reserved;
  };
  if (std::any_of(List.begin(), List.end(), Holds))
    return;
  if (!Item.m_Reserved.empty())
    m_Registry.unreserve(Item.m_Reserved);
  Item.m_Reserved = EndpointId();
  if (List.empty())
    return;
  const auto Idlest = std::min_element(
      List.begin(), List.end(), [&](const auto &Left, const auto &Right) {
        return m_Registry.running(Left.m_Endpoint) <
               m_Registry.running(Right.m_Endpoint);
      });
  Item.m_Reserved = Idlest->m_Endpoint;
  m_Registry.reserve(Item.m_Reserved, Item.m_Placement.m_Id);
}

bool RequestScheduler::placeOne(Job &Item, EntryState &State) {
  Candidates List = startable(Item, State);
  if (Item.m_Isolated)
    std::erase_if(List, [&](const auto &One) {
      return One.m_Endpoint != Item.m_Reserved ||
             m_Registry.running(One.m_Endpoint) > 0;
    });
  const auto Chosen = routing::pickEndpoint(List, {}, m_Random);
  if (!Chosen)
    return false;
  place(std::move(Item), State, List[*Chosen]);
  return true;
}

void RequestScheduler::place(Job Item, EntryState &State,
                             const routing::PickCandidate &Where) {
  const PlacementRequest &Asked = Item.m_Placement;
  const Instant Now = now();
  Placement Result;
  Result.m_Request = Asked.m_Id;
  Result.m_Entry = Asked.m_Entry;
  Result.m_Endpoint = Where.m_Endpoint;
  Result.m_Address = m_View.addressOf(Where.m_Endpoint);
  Result.m_Attempt = makeId<AttemptId>();
  Result.m_Isolated = Item.m_Isolated;
  if (State.m_Spec.isLoadable()) {
    Result.m_Credit = m_Credits.take(Asked.m_Entry, Where.m_Endpoint, Now);
    if (Result.m_Credit && !Result.m_Credit->m_Address.empty())
      Result.m_Address = Result.m_Credit->m_Address;
  }
  Result.m_Why = "load " + std::to_string(Where.m_Load) + ", cached tokens " +
                 std::to_string(Where.m_PrefixTokens) +
                 (Item.m_Isolated ? ", isolated" : "");
  ++State.m_Running;
  ++m_Running;
  m_Registry.onDispatched(Where.m_Endpoint, Asked.m_Prompt, Now);
  Item.m_Done(std::move(Result));
}

void RequestScheduler::borrowFor(const EntryName &Entry, EntryState &State) {
  borrowForSpecial(Entry, State);
  std::int64_t Wanted =
      std::min<std::int64_t>(static_cast<std::int64_t>(State.m_Queue.size()),
                             State.m_Spec.m_MaxConcurrent - State.m_Running);
  for (const EndpointId &Id : m_View.endpointsOf(Entry, State.m_Spec))
    if (const auto *Known = m_Credits.find(Entry, Id))
      Wanted -= Known->m_Asked;
  if (Wanted <= 0)
    return;
  if (const auto Lender = pickLender(Entry, State))
    requestCredits(Entry, State, *Lender,
                   std::min(Wanted, m_Options.m_MaxBorrow));
}

void RequestScheduler::borrowForSpecial(const EntryName &Entry,
                                        const EntryState &State) {
  for (const RequestId &Id : State.m_Special) {
    const auto It = m_Jobs.find(Id);
    if (It == m_Jobs.end())
      continue;
    const Job &Item = It->second;
    for (const auto &One : candidatesFor(Item, State)) {
      if (Item.m_Isolated && One.m_Endpoint != Item.m_Reserved)
        continue;
      if (!One.m_HasCredit && m_Credits.canAsk(Entry, One.m_Endpoint, now())) {
        requestCredits(Entry, State, One.m_Endpoint, 1);
        break;
      }
    }
  }
}

std::optional<EndpointId>
RequestScheduler::pickLender(const EntryName &Entry,
                             const EntryState &State) const {
  const Instant Now = now();
  Job Any;
  Any.m_Placement.m_Entry = Entry;
  Candidates Warm;
  std::optional<EndpointId> FirstCold;
  bool Pending = false;
  for (auto &One : candidatesFor(Any, State)) {
    const auto *Known = m_Credits.find(Entry, One.m_Endpoint);
    const bool Refused = Known && Known->m_Refused && Known->m_NotBefore > Now;
    Pending = Pending || (Known && !Refused &&
                          (Known->m_InFlight || Known->m_NotBefore > Now));
    if (!m_Credits.canAsk(Entry, One.m_Endpoint, Now))
      continue;
    if (Known && Known->m_WarmUntil > Now)
      Warm.push_back(One);
    else if (!FirstCold)
      FirstCold = One.m_Endpoint;
  }
  if (const auto Chosen = routing::pickEndpoint(Warm, {}, m_Random))
    return Warm[*Chosen].m_Endpoint;
  // All routers ask for the first cold slot, so that a burst causes one load.
  return Pending ? std::nullopt : FirstCold;
}

void RequestScheduler::requestCredits(const EntryName &Entry,
                                      const EntryState &State,
                                      const EndpointId &Endpoint,
                                      std::int64_t Count) {
  Instant Earliest = State.m_Queue.earliestDeadline().value_or(Instant::max());
  BorrowDemand Demand;
  Demand.m_Class = State.m_Spec.m_Class;
  for (const RequestId &Id : State.m_Special)
    if (const auto It = m_Jobs.find(Id); It != m_Jobs.end())
      Earliest = std::min(Earliest, It->second.m_Placement.m_Deadline);
  Demand.m_Entry = Entry;
  Demand.m_Endpoint = Endpoint;
  Demand.m_Count = Count;
  Demand.m_Waiting =
      static_cast<std::int64_t>(State.m_Queue.size() + State.m_Special.size());
  Demand.m_Deadline = untilOf(Earliest, now());
  m_Credits.borrow(Demand);
}

Instant RequestScheduler::nextChanceAt(const EntryName &Entry,
                                       const EntryState &State,
                                       const EndpointId &Endpoint,
                                       Instant Now) const {
  if (m_Registry.isDown(Endpoint, Now))
    return m_Registry.downUntil(Endpoint);
  if (!State.m_Spec.isLoadable() ||
      m_Credits.available(Entry, Endpoint, Now) > 0)
    return Now;
  const auto *Known = m_Credits.find(Entry, Endpoint);
  if (m_View.ownerAddressOf(Endpoint).empty())
    return Now + m_Options.m_OwnerRetry;
  // A short refusal is waited out, for example that of an owner that has just
  // taken over; a series of them is not.
  if (!Known || !Known->m_Refused ||
      Now - Known->m_RefusedSince < m_Options.m_Patience)
    return Now;
  return std::max(Known->m_NotBefore, Now + m_Options.m_OwnerRetry);
}

std::optional<milliseconds>
RequestScheduler::hopelessFor(const EntryName &Entry,
                              const EntryState &State) const {
  const Instant Now = now();
  std::optional<Instant> Soonest;
  for (const EndpointId &Id : m_View.endpointsOf(Entry, State.m_Spec)) {
    const Instant Next = nextChanceAt(Entry, State, Id, Now);
    if (Next <= Now)
      return std::nullopt;
    Soonest = Soonest ? std::min(*Soonest, Next) : Next;
  }
  return Soonest ? untilOf(*Soonest, Now) : m_Options.m_OwnerRetry;
}

void RequestScheduler::refuseHopeless(const EntryName &Entry,
                                      EntryState &State) {
  if (State.m_Running > 0 || (State.m_Queue.empty() && State.m_Special.empty()))
    return;
  const auto RetryAfter = hopelessFor(Entry, State);
  if (!RetryAfter)
    return;
  std::vector<RequestId> All = State.m_Special;
  for (const auto &[Id, Item] : m_Jobs)
    if (Item.m_Placement.m_Entry == Entry)
      All.push_back(Id);
  for (const RequestId &Id : All) {
    State.m_Queue.remove(Id);
    refuse(Id, Reason::NoReplica, *RetryAfter);
  }
}

void RequestScheduler::refuseExpired(const EntryName &Entry,
                                     EntryState &State) {
  const Instant Now = now();
  const auto Capacity = capacityOf(Entry, State);
  for (const auto &Item : State.m_Queue.takeExpired(Capacity, Now))
    refuse(Item.m_Request,
           Item.m_Deadline <= Now ? Reason::DeadlineExpired
                                  : Reason::DeadlineUnreachable,
           State.m_Queue.promiseRetry(Item.m_Class, Capacity, Now));
  const std::vector<RequestId> Waiting = State.m_Special;
  for (const RequestId &Id : Waiting) {
    const auto It = m_Jobs.find(Id);
    if (It != m_Jobs.end() && It->second.m_Placement.m_Deadline <= Now)
      refuse(Id, Reason::DeadlineExpired, m_Options.m_OwnerRetry);
  }
}

void RequestScheduler::tick() {
  std::vector<EntryName> Waiting;
  for (const auto &[Name, State] : m_Entries)
    if (!State.m_Queue.empty() || !State.m_Special.empty())
      Waiting.push_back(Name);
  for (const EntryName &Name : Waiting)
    pump(Name);
}

} // namespace sff::router
