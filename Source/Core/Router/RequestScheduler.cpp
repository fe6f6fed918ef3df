#include "Router/RequestScheduler.h"

#include "Common/Time/Clock.h"

#include <algorithm>

namespace sff::router {

using admission::Refusal;
using execution::Reason;

namespace {

constexpr milliseconds TickPeriod{20};

milliseconds timeUntil(Instant Point, Instant Now) {
  return std::chrono::ceil<milliseconds>(
      std::max(Point - Now, Duration::zero()));
}

} // namespace

RequestScheduler::RequestScheduler(timers::EventLoop &Loop, ClusterView &View,
                                   CreditBorrower &Credits,
                                   EndpointRegistry &Registry,
                                   retry::CrashQuarantine &Quarantine,
                                   Options Chosen)
    : m_View(View), m_Credits(Credits), m_Registry(Registry),
      m_Quarantine(Quarantine), m_Options(Chosen),
      m_Timers(Loop.context().get_executor()) {}

void RequestScheduler::start() {
  m_TickTimer = m_Timers.every(TickPeriod, [this] { tick(); });
}

RequestScheduler::EntryState &
RequestScheduler::getOrCreateEntry(const PlacementRequest &Item) {
  const auto MaxQueue = static_cast<std::size_t>(Item.m_Spec.m_MaxQueue);
  EntryState &State =
      m_Entries.try_emplace(Item.m_Entry, MaxQueue).first->second;
  State.m_Spec = Item.m_Spec;
  State.m_Queue.setMaxWaiting(MaxQueue);
  return State;
}

void RequestScheduler::submit(PlacementRequest Item, Callback Done) {
  const auto Verdict = m_Quarantine.verdict(Item.m_Fingerprint, now());
  if (Verdict == retry::QuarantineVerdict::Reject) {
    Done(Refusal{Reason::Quarantined, m_Options.m_QuarantinePeriod});
    return;
  }
  const EntryName Entry = Item.m_Entry;
  const RequestId Id = Item.m_Id;
  EntryState &State = getOrCreateEntry(Item);
  const bool Isolated = Verdict == retry::QuarantineVerdict::Isolate;
  if (Isolated || !Item.m_Avoid.empty())
    State.m_Constrained.push_back(Id);
  else if (!tryQueue(Item, State, Done))
    return;
  m_WaitingRequests.emplace(
      Id, WaitingRequest{std::move(Item), std::move(Done), Isolated, {}});
  log::request(log::Category::Admission, "request.queued", Id.str(),
               Entry.str(),
               {{"waiting", State.m_Queue.size()}, {"isolated", Isolated}});
  for (const auto &Displaced : State.m_Queue.takeDisplaced())
    refuse(Displaced.m_Request, Reason::QueueFull,
           State.m_Queue.reserveRetryCapacity(Displaced.m_Class,
                                              capacityOf(Entry, State), now()));
  schedule(Entry);
}

bool RequestScheduler::tryQueue(const PlacementRequest &Item, EntryState &State,
                                const Callback &Done) {
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
    if (const auto *Borrowing = m_Credits.find(Entry, Id))
      ReadyAt = ReadyAt ? std::min(*ReadyAt, Borrowing->m_ReadyAt)
                        : Borrowing->m_ReadyAt;
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
  if (It == m_Entries.end() || !m_WaitingRequests.contains(Request))
    return;
  It->second.m_Queue.remove(Request);
  refuse(Request, Reason::DeadlineExpired, milliseconds(0));
}

void RequestScheduler::refuse(const RequestId &Request, Reason Cause,
                              milliseconds RetryAfter) {
  auto Node = m_WaitingRequests.extract(Request);
  if (Node.empty())
    return;
  WaitingRequest &Item = Node.mapped();
  if (!Item.m_Reserved.empty())
    m_Registry.unreserve(Item.m_Reserved);
  std::erase(m_Entries.at(Item.m_Placement.m_Entry).m_Constrained, Request);
  Item.m_Done(Refusal{Cause, RetryAfter});
}

void RequestScheduler::finish(const Placement &Assigned,
                              const AttemptReport &Report) {
  const Instant Now = now();
  m_Registry.onFinished(Assigned.m_Endpoint, Now);
  --m_Running;
  if (Assigned.m_Isolated)
    m_Registry.unreserve(Assigned.m_Endpoint);
  if (Assigned.m_Credit)
    m_Credits.releaseCredit(*Assigned.m_Credit, Now);
  if (Report.m_EndpointDown)
    m_Registry.onDown(Assigned.m_Endpoint, Now + m_Options.m_EndpointDown);
  if (const auto It = m_Entries.find(Assigned.m_Entry); It != m_Entries.end()) {
    --It->second.m_Running;
    if (Report.m_Answered)
      It->second.m_Queue.onServed(Report.m_Class, Report.m_ServiceTime);
  }
  if (Report.m_Answered)
    m_Quarantine.onSuccess(Report.m_Fingerprint, Now);
  schedule(Assigned.m_Entry);
}

void RequestScheduler::schedule(const EntryName &Entry) {
  const auto It = m_Entries.find(Entry);
  if (It == m_Entries.end())
    return;
  refuseExpired(Entry, It->second);
  placeConstrained(Entry, It->second);
  placeQueued(Entry, It->second);
  if (It->second.m_Spec.isLoadable())
    borrowFor(Entry, It->second);
  refuseUnservable(Entry, It->second);
}

RequestScheduler::Candidates
RequestScheduler::candidatesFor(const WaitingRequest &Item,
                                const EntryState &State) const {
  const Instant Now = now();
  const PlacementRequest &Req = Item.m_Placement;
  Candidates Result;
  Candidates Avoided;
  for (const EndpointId &Id : m_View.endpointsOf(Req.m_Entry, State.m_Spec)) {
    if (m_Registry.isDown(Id, Now) ||
        m_Registry.isReservedFromOthers(Id, Req.m_Id))
      continue;
    const bool Credit = !State.m_Spec.isLoadable() ||
                        m_Credits.available(Req.m_Entry, Id, Now) > 0;
    auto &List = Req.m_Avoid.contains(Id) ? Avoided : Result;
    List.push_back({Id, m_Registry.load(Id, Now),
                    m_Registry.prefixTokens(Id, Req.m_Prompt), Credit});
  }
  return Result.empty() ? Avoided : Result;
}

RequestScheduler::Candidates
RequestScheduler::startableCandidates(const WaitingRequest &Item,
                                      const EntryState &State) const {
  Candidates Result = candidatesFor(Item, State);
  std::erase_if(Result,
                [](const auto &Candidate) { return !Candidate.m_HasCredit; });
  return Result;
}

bool RequestScheduler::hasStartableCandidate(const EntryName &Entry,
                                             const EntryState &State) const {
  WaitingRequest Unconstrained;
  Unconstrained.m_Placement.m_Entry = Entry;
  return !startableCandidates(Unconstrained, State).empty();
}

void RequestScheduler::placeQueued(const EntryName &Entry, EntryState &State) {
  while (!State.m_Queue.empty() &&
         State.m_Running < State.m_Spec.m_MaxConcurrent &&
         hasStartableCandidate(Entry, State)) {
    const auto Next = State.m_Queue.takeNext(now());
    if (!Next)
      return;
    auto Node = m_WaitingRequests.extract(Next->m_Request);
    if (Node.empty())
      continue;
    const Candidates List = startableCandidates(Node.mapped(), State);
    const auto Chosen = routing::pickEndpoint(List, {}, m_Random);
    place(std::move(Node.mapped()), State, List[Chosen.value_or(0)]);
  }
}

void RequestScheduler::placeConstrained(const EntryName &, EntryState &State) {
  const std::vector<RequestId> Waiting = State.m_Constrained;
  for (const RequestId &Id : Waiting) {
    const auto It = m_WaitingRequests.find(Id);
    if (It == m_WaitingRequests.end() ||
        State.m_Running >= State.m_Spec.m_MaxConcurrent)
      continue;
    if (It->second.m_Isolated)
      reserveFor(It->second, State);
    if (tryPlace(It->second, State)) {
      m_WaitingRequests.erase(Id);
      std::erase(State.m_Constrained, Id);
    }
  }
}

void RequestScheduler::reserveFor(WaitingRequest &Item,
                                  const EntryState &State) {
  const Candidates List = candidatesFor(Item, State);
  const auto Holds = [&](const auto &Candidate) {
    return Candidate.m_Endpoint == Item.m_Reserved;
  };
  if (std::any_of(List.begin(), List.end(), Holds))
    return;
  if (!Item.m_Reserved.empty())
    m_Registry.unreserve(Item.m_Reserved);
  Item.m_Reserved = EndpointId();
  if (List.empty())
    return;
  const auto LeastBusy = std::min_element(
      List.begin(), List.end(), [&](const auto &Left, const auto &Right) {
        return m_Registry.running(Left.m_Endpoint) <
               m_Registry.running(Right.m_Endpoint);
      });
  Item.m_Reserved = LeastBusy->m_Endpoint;
  m_Registry.reserve(Item.m_Reserved, Item.m_Placement.m_Id);
}

bool RequestScheduler::tryPlace(WaitingRequest &Item, EntryState &State) {
  Candidates List = startableCandidates(Item, State);
  if (Item.m_Isolated)
    std::erase_if(List, [&](const auto &Candidate) {
      return Candidate.m_Endpoint != Item.m_Reserved ||
             m_Registry.running(Candidate.m_Endpoint) > 0;
    });
  const auto Chosen = routing::pickEndpoint(List, {}, m_Random);
  if (!Chosen)
    return false;
  place(std::move(Item), State, List[*Chosen]);
  return true;
}

void RequestScheduler::place(WaitingRequest Item, EntryState &State,
                             const routing::PickCandidate &Candidate) {
  const PlacementRequest &Req = Item.m_Placement;
  const Instant Now = now();
  Placement Result;
  Result.m_Request = Req.m_Id;
  Result.m_Entry = Req.m_Entry;
  Result.m_Endpoint = Candidate.m_Endpoint;
  Result.m_Address = m_View.addressOf(Candidate.m_Endpoint);
  Result.m_Attempt = makeId<AttemptId>();
  Result.m_Isolated = Item.m_Isolated;
  if (State.m_Spec.isLoadable()) {
    Result.m_Credit = m_Credits.take(Req.m_Entry, Candidate.m_Endpoint, Now);
    if (Result.m_Credit && !Result.m_Credit->m_Address.empty())
      Result.m_Address = Result.m_Credit->m_Address;
  }
  Result.m_ChoiceReason = "load " + std::to_string(Candidate.m_Load) +
                          ", cached tokens " +
                          std::to_string(Candidate.m_PrefixTokens) +
                          (Item.m_Isolated ? ", isolated" : "");
  ++State.m_Running;
  ++m_Running;
  m_Registry.onDispatched(Candidate.m_Endpoint, Req.m_Prompt, Now);
  Item.m_Done(std::move(Result));
}

void RequestScheduler::borrowFor(const EntryName &Entry, EntryState &State) {
  borrowForConstrained(Entry, State);
  std::int64_t Wanted =
      std::min<std::int64_t>(static_cast<std::int64_t>(State.m_Queue.size()),
                             State.m_Spec.m_MaxConcurrent - State.m_Running);
  for (const EndpointId &Id : m_View.endpointsOf(Entry, State.m_Spec))
    if (const auto *Borrowing = m_Credits.find(Entry, Id))
      Wanted -= Borrowing->m_RequestedCredits;
  if (Wanted <= 0)
    return;
  if (const auto Lender = pickLender(Entry, State))
    requestCredits(Entry, State, *Lender,
                   std::min(Wanted, m_Options.m_MaxBorrow));
}

void RequestScheduler::borrowForConstrained(const EntryName &Entry,
                                            const EntryState &State) {
  for (const RequestId &Id : State.m_Constrained) {
    const auto It = m_WaitingRequests.find(Id);
    if (It == m_WaitingRequests.end())
      continue;
    const WaitingRequest &Item = It->second;
    for (const auto &Candidate : candidatesFor(Item, State)) {
      if (Item.m_Isolated && Candidate.m_Endpoint != Item.m_Reserved)
        continue;
      if (!Candidate.m_HasCredit &&
          m_Credits.canBorrow(Entry, Candidate.m_Endpoint, now())) {
        requestCredits(Entry, State, Candidate.m_Endpoint, 1);
        break;
      }
    }
  }
}

std::optional<EndpointId>
RequestScheduler::pickLender(const EntryName &Entry,
                             const EntryState &State) const {
  const Instant Now = now();
  WaitingRequest Unconstrained;
  Unconstrained.m_Placement.m_Entry = Entry;
  Candidates Warm;
  std::optional<EndpointId> FirstCold;
  bool Pending = false;
  for (auto &Candidate : candidatesFor(Unconstrained, State)) {
    const auto *Borrowing = m_Credits.find(Entry, Candidate.m_Endpoint);
    const bool Refused =
        Borrowing && Borrowing->m_Refused && Borrowing->m_NotBefore > Now;
    Pending =
        Pending || (Borrowing && !Refused &&
                    (Borrowing->m_InFlight || Borrowing->m_NotBefore > Now));
    if (!m_Credits.canBorrow(Entry, Candidate.m_Endpoint, Now))
      continue;
    if (Borrowing && Borrowing->m_WarmUntil > Now)
      Warm.push_back(Candidate);
    else if (!FirstCold)
      FirstCold = Candidate.m_Endpoint;
  }
  if (const auto Chosen = routing::pickEndpoint(Warm, {}, m_Random))
    return Warm[*Chosen].m_Endpoint;
  // All routers ask for the first cold slot, so that a burst of requests causes
  // a single load.
  return Pending ? std::nullopt : FirstCold;
}

void RequestScheduler::requestCredits(const EntryName &Entry,
                                      const EntryState &State,
                                      const EndpointId &Endpoint,
                                      std::int64_t Count) {
  Instant Earliest = State.m_Queue.earliestDeadline().value_or(Instant::max());
  BorrowDemand Demand;
  Demand.m_Class = State.m_Spec.m_Class;
  for (const RequestId &Id : State.m_Constrained)
    if (const auto It = m_WaitingRequests.find(Id);
        It != m_WaitingRequests.end())
      Earliest = std::min(Earliest, It->second.m_Placement.m_Deadline);
  Demand.m_Entry = Entry;
  Demand.m_Endpoint = Endpoint;
  Demand.m_Count = Count;
  Demand.m_Waiting = static_cast<std::int64_t>(State.m_Queue.size() +
                                               State.m_Constrained.size());
  Demand.m_Deadline = timeUntil(Earliest, now());
  m_Credits.borrow(Demand);
}

Instant RequestScheduler::earliestStartAt(const EntryName &Entry,
                                          const EntryState &State,
                                          const EndpointId &Endpoint,
                                          Instant Now) const {
  if (m_Registry.isDown(Endpoint, Now))
    return m_Registry.downUntil(Endpoint);
  if (!State.m_Spec.isLoadable() ||
      m_Credits.available(Entry, Endpoint, Now) > 0)
    return Now;
  const auto *Borrowing = m_Credits.find(Entry, Endpoint);
  if (m_View.ownerAddressOf(Endpoint).empty())
    return Now + m_Options.m_OwnerRetry;
  // Wait through a short period of refusals, such as right after a change of
  // owner, but not through a long one.
  if (!Borrowing || !Borrowing->m_Refused ||
      Now - Borrowing->m_RefusedSince < m_Options.m_NoCreditTimeout)
    return Now;
  return std::max(Borrowing->m_NotBefore, Now + m_Options.m_OwnerRetry);
}

std::optional<milliseconds>
RequestScheduler::unservableRetryAfter(const EntryName &Entry,
                                       const EntryState &State) const {
  const Instant Now = now();
  std::optional<Instant> Soonest;
  for (const EndpointId &Id : m_View.endpointsOf(Entry, State.m_Spec)) {
    const Instant Next = earliestStartAt(Entry, State, Id, Now);
    if (Next <= Now)
      return std::nullopt;
    Soonest = Soonest ? std::min(*Soonest, Next) : Next;
  }
  return Soonest ? timeUntil(*Soonest, Now) : m_Options.m_OwnerRetry;
}

void RequestScheduler::refuseUnservable(const EntryName &Entry,
                                        EntryState &State) {
  if (State.m_Running > 0 ||
      (State.m_Queue.empty() && State.m_Constrained.empty()))
    return;
  const auto RetryAfter = unservableRetryAfter(Entry, State);
  if (!RetryAfter)
    return;
  std::vector<RequestId> All = State.m_Constrained;
  for (const auto &[Id, Item] : m_WaitingRequests)
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
           State.m_Queue.reserveRetryCapacity(Item.m_Class, Capacity, Now));
  const std::vector<RequestId> Waiting = State.m_Constrained;
  for (const RequestId &Id : Waiting) {
    const auto It = m_WaitingRequests.find(Id);
    if (It != m_WaitingRequests.end() &&
        It->second.m_Placement.m_Deadline <= Now)
      refuse(Id, Reason::DeadlineExpired, m_Options.m_OwnerRetry);
  }
}

void RequestScheduler::tick() {
  std::vector<EntryName> Waiting;
  for (const auto &[Name, State] : m_Entries)
    if (!State.m_Queue.empty() || !State.m_Constrained.empty())
      Waiting.push_back(Name);
  for (const EntryName &Name : Waiting)
    schedule(Name);
}

} // namespace sff::router
