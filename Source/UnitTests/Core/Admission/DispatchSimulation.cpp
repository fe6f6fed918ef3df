#include "Admission/DispatchSimulation.h"

#include <algorithm>
#include <numeric>

namespace sff::admission {

namespace {

constexpr Instant Start{std::chrono::hours(1)};
constexpr milliseconds Step{10};
/// Fraction of the work after which an answer begins.
constexpr double FirstByteShare = 0.3;
/// Cost of a lost request by its priority.
constexpr std::array<double, 3> RankWeights = {4, 2, 1};
/// Cost of an answer just after the target, as a part of a lost one, and what
/// is added until the deadline.
constexpr double LateCost = 0.3;
constexpr double LatenessCost = 0.5;

class Simulation {
public:
  Simulation(const SimulatedService &Service,
             std::vector<SimulatedCaller> Callers, SimulatedQueue Kind)
      : m_Service(Service), m_Callers(std::move(Callers)), m_Kind(Kind),
        m_Results(m_Callers.size()), m_Tickets(m_Callers.size()) {
    std::ranges::stable_sort(m_Callers, std::less(),
                             &SimulatedCaller::m_Arrival);
    for (int Number = 0; Number < Service.m_Endpoints; ++Number)
      m_Ends[endpointName(Number)];
    for (SimulatedCaller &Caller : m_Callers)
      if (Caller.m_Candidates.empty())
        for (const auto &[Id, Ends] : m_Ends)
          Caller.m_Candidates.push_back(Id);
  }

  std::vector<CallerResult> run() {
    std::size_t Next = 0;
    while (Next < m_Callers.size() || !m_Waiting.empty() ||
           !m_Returns.empty()) {
      for (auto &[Id, Ends] : m_Ends)
        std::erase_if(Ends, [this](Instant End) { return End <= m_Now; });
      if (m_Now >= Start + m_Service.m_HalvedAt)
        halve();
      leave();
      serveWaiting();
      const auto Due = m_Returns.upper_bound(m_Now);
      for (auto Return = m_Returns.begin(); Return != Due; ++Return)
        arrive(Return->second, true);
      m_Returns.erase(m_Returns.begin(), Due);
      while (Next < m_Callers.size() &&
             Start + m_Callers[Next].m_Arrival <= m_Now)
        arrive(Next++, false);
      m_Now += Step;
    }
    for (std::size_t Number = 0; Number < m_Callers.size(); ++Number)
      if (!m_Results[Number].m_IsServed)
        m_Results[Number].m_Cost = weight(Number);
    return m_Results;
  }

private:
  double weight(std::size_t Number) const {
    return RankWeights.at(static_cast<std::size_t>(m_Callers[Number].m_Rank));
  }

  Instant deadline(std::size_t Number) const {
    return Start + m_Callers[Number].m_Arrival + m_Callers[Number].m_Patience;
  }

  void halve() {
    while (std::ssize(m_Ends) > std::max(1, m_Service.m_Endpoints / 2))
      m_Ends.erase(std::prev(m_Ends.end()));
  }

  DispatchCapacity capacity() {
    return {startsPerSecond(), true, [this](const EndpointId &Id) {
              EndpointRoom Room;
              Room.m_Slots = m_Service.m_Slots;
              const auto Found = m_Ends.find(Id);
              Room.m_Load = Found == m_Ends.end()
                                ? Room.m_Slots
                                : static_cast<double>(Found->second.size());
              return Room;
            }};
  }

  double startsPerSecond() const {
    const double MeanWork =
        m_Started == 0 ? 200 : m_WorkStarted / static_cast<double>(m_Started);
    return 1000 / MeanWork *
           static_cast<double>(m_Ends.size() *
                               static_cast<std::size_t>(m_Service.m_Slots));
  }

  void arrive(std::size_t Number, bool IsReturn) {
    m_Results[Number].m_HasReturned |= IsReturn;
    m_Results[Number].m_IsRejected = false;
    m_Waiting.push_back(Number);
    if (m_Kind == SimulatedQueue::FirstCome) {
      serveWaiting();
      return;
    }
    const SimulatedCaller &Caller = m_Callers[Number];
    const Instant Until =
        std::min(deadline(Number), m_Now + Caller.m_AnswerPatience);
    m_Tickets[Number] =
        m_Queue.add({RequestId("r" + std::to_string(Number)), Caller.m_Rank,
                     m_Now, Caller.m_Target, Until, deadline(Number),
                     Caller.m_Work, Caller.m_Candidates, false},
                    m_Now);
    apply(Number);
  }

  void apply(std::size_t Number) {
    const Decision Made = m_Queue.decide(m_Tickets[Number], capacity(), m_Now);
    if (Made.m_Verdict == Verdict::Wait)
      return;
    std::erase(m_Waiting, Number);
    if (Made.m_Verdict == Verdict::Send) {
      m_Queue.onSent(m_Tickets[Number], m_Now);
      begin(Number, Made.m_Endpoints.front());
      return;
    }
    m_Results[Number].m_IsRejected = true;
    if (Made.m_RetryAfter <= (deadline(Number) - m_Now) / 3)
      m_Returns.emplace(m_Now + Made.m_RetryAfter, Number);
  }

  void serveWaiting() {
    if (m_Kind == SimulatedQueue::Dispatch) {
      for (const DispatchQueue::Ticket Place : m_Queue.ready(capacity(), m_Now))
        apply(static_cast<std::size_t>(std::ranges::find(m_Tickets, Place) -
                                       m_Tickets.begin()));
      return;
    }
    for (const std::size_t Number : std::vector(m_Waiting)) {
      for (const EndpointId &Id : m_Callers[Number].m_Candidates) {
        const auto Found = m_Ends.find(Id);
        if (Found == m_Ends.end() ||
            std::ssize(Found->second) >= m_Service.m_Slots)
          continue;
        std::erase(m_Waiting, Number);
        begin(Number, Id);
        break;
      }
    }
  }

  void begin(std::size_t Number, const EndpointId &Id) {
    const SimulatedCaller &Caller = m_Callers[Number];
    const auto Work = fromSeconds(Caller.m_Work / 1000);
    const Duration FirstByte = fromSeconds(FirstByteShare * toSeconds(Work));
    m_Ends.at(Id).push_back(m_Now + Work);
    m_Queue.onFirstByte(Caller.m_Work, FirstByte);
    ++m_Started;
    m_WorkStarted += Caller.m_Work;
    CallerResult &Result = m_Results[Number];
    const Duration Wait = m_Now - (Start + Caller.m_Arrival);
    Result.m_Wait = toMilliseconds(Wait);
    if (Wait + FirstByte > Caller.m_Patience)
      return;
    Result.m_IsServed = true;
    Result.m_IsOnTime = Wait + FirstByte <= Caller.m_Target;
    if (!Result.m_IsOnTime)
      Result.m_Cost =
          weight(Number) *
          (LateCost + LatenessCost *
                          toSeconds(Wait + FirstByte - Caller.m_Target) /
                          toSeconds(Caller.m_Patience - Caller.m_Target));
  }

  void leave() {
    std::erase_if(m_Waiting, [this](std::size_t Number) {
      const bool HasLeft =
          m_Now >= Start + m_Callers[Number].m_Arrival +
                       std::min(m_Callers[Number].m_LeavesAfter,
                                m_Callers[Number].m_Patience);
      if (HasLeft && m_Kind == SimulatedQueue::Dispatch)
        m_Queue.remove(m_Tickets[Number]);
      return HasLeft;
    });
  }

  SimulatedService m_Service;
  std::vector<SimulatedCaller> m_Callers;
  SimulatedQueue m_Kind;
  std::vector<CallerResult> m_Results;
  std::vector<DispatchQueue::Ticket> m_Tickets;
  DispatchQueue m_Queue{{.m_MaxWaiting = 512, .m_EarlyShare = 0}};
  Instant m_Now = Start;
  std::map<EndpointId, std::vector<Instant>> m_Ends;
  std::vector<std::size_t> m_Waiting;
  std::multimap<Instant, std::size_t> m_Returns;
  std::int64_t m_Started = 0;
  double m_WorkStarted = 0;
};

} // namespace

EndpointId endpointName(int Number) {
  return EndpointId("e" + std::to_string(Number));
}

std::vector<CallerResult> simulate(const SimulatedService &Service,
                                   std::vector<SimulatedCaller> Callers,
                                   SimulatedQueue Kind) {
  return Simulation(Service, std::move(Callers), Kind).run();
}

double totalCost(const std::vector<CallerResult> &Results) {
  return std::accumulate(Results.begin(), Results.end(), 0.0,
                         [](double Sum, const CallerResult &Result) {
                           return Sum + Result.m_Cost;
                         });
}

} // namespace sff::admission
