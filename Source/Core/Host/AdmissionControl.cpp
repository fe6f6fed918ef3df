#include "Host/AdmissionControl.h"

#include <algorithm>
#include <random>

namespace sff::host {

using admission::Decision;
using admission::DispatchRequest;
using admission::Verdict;

namespace {

/// Several requests of a host that gets a few each second.
constexpr milliseconds StartRateTimeConstant{3000};
/// Assumed while nothing has been started lately.
constexpr double MinStartsPerSecond = 1;
/// Requests with less remaining time than this are rejected.
constexpr milliseconds MinUsefulTime{50};

} // namespace

AdmissionControl::AdmissionControl(const serving::EndpointDirectory &Endpoints,
                                   serving::EndpointChooser &Chooser,
                                   const serving::RejectionLimits &Limits,
                                   MayRetry Budget)
    : m_Endpoints(Endpoints), m_Chooser(Chooser), m_Limits(Limits),
      m_MayRetry(std::move(Budget)), m_Starts(StartRateTimeConstant) {}

AdmissionControl::Line *AdmissionControl::lineOf(const EndpointId &Id) {
  const serving::Endpoint *Asked = m_Endpoints.find(Id);
  return Asked ? &m_Lines[Asked->m_Registration.m_Service] : nullptr;
}

void AdmissionControl::onSent(const EndpointId &Id, Instant Now) {
  if (Line *Used = lineOf(Id))
    Used->m_Rooms.onSent(Id, Now);
}

void AdmissionControl::onReport(const EndpointId &Id, std::int64_t Load,
                                Instant Now) {
  if (Line *Used = lineOf(Id))
    Used->m_Rooms.onReport(Id, Load,
                           m_Endpoints.find(Id)->m_Registration.m_Slots, Now);
}

void AdmissionControl::onRejected(const EndpointId &Id,
                                  std::optional<std::int64_t> Load,
                                  Instant Now) {
  if (Line *Used = lineOf(Id))
    Used->m_Rooms.onRejected(Id, Load,
                             m_Endpoints.find(Id)->m_Registration.m_Slots, Now);
}

void AdmissionControl::forget(const EndpointId &Id) {
  for (auto &[Service, Used] : m_Lines)
    Used.m_Rooms.forget(Id);
}

void AdmissionControl::onAccepted(const EndpointId &Id, double Work,
                                  Duration FirstByte, Instant Now) {
  const serving::Endpoint *Accepting = m_Endpoints.find(Id);
  if (!Accepting)
    return;
  const std::string &Service = Accepting->m_Registration.m_Service;
  m_Starts.add(Service, 1, Now);
  Line &Used = m_Lines[Service];
  Used.m_Rooms.onAccepted(Id);
  Used.m_Queue.onFirstByte(Work, FirstByte);
  wake(Service, Now);
}

void AdmissionControl::onFinished(const EndpointId &Id, Instant Now) {
  if (const serving::Endpoint *Finished = m_Endpoints.find(Id))
    wake(Finished->m_Registration.m_Service, Now);
}

std::size_t AdmissionControl::waiting(const std::string &Service) const {
  const auto Found = m_Lines.find(Service);
  return Found == m_Lines.end() ? 0 : Found->second.m_Queue.size();
}

double AdmissionControl::startsPerSecond(const std::string &Service,
                                         Instant Now) const {
  return std::max(m_Starts.rate(Service, Now), MinStartsPerSecond);
}

admission::EndpointRoom AdmissionControl::roomOf(const EndpointId &Id,
                                                 Instant Now) const {
  const serving::Endpoint *Asked = m_Endpoints.find(Id);
  if (!Asked)
    return {};
  // The limit itself decides whether a request may be sent; requests ask for it
  // one after another, in the order of the queue.
  if (m_Limits.limitOf(*Asked, Now)) {
    admission::EndpointRoom OneAtATime;
    OneAtATime.m_Load = 0.5;
    return OneAtATime;
  }
  const auto Found = m_Lines.find(Asked->m_Registration.m_Service);
  if (Found == m_Lines.end())
    return {};
  return Found->second.m_Rooms.room(Id, m_Chooser.loads().estimate(Id, Now),
                                    Asked->m_Registration.m_Slots, Now);
}

admission::DispatchCapacity
AdmissionControl::capacity(const std::string &Service, Instant Now) const {
  return {startsPerSecond(Service, Now), m_MayRetry(Service),
          [this, Now](const EndpointId &Id) { return roomOf(Id, Now); }};
}

void AdmissionControl::wake(const std::string &Service, Instant Now) {
  const auto Found = m_Lines.find(Service);
  if (Found == m_Lines.end() || Found->second.m_Sleeping.empty())
    return;
  Line &Woken = Found->second;
  for (const auto Ticket : Woken.m_Queue.ready(capacity(Service, Now), Now)) {
    const auto Sleeper = Woken.m_Sleeping.find(Ticket);
    if (Sleeper != Woken.m_Sleeping.end())
      Sleeper->second->notifyAll();
  }
}

Decision QueuePlace::decide(const std::string &Service, DispatchRequest Request,
                            Instant Now) {
  admission::DispatchQueue &Queue = m_Control.m_Lines[Service].m_Queue;
  if (m_Ticket && m_Service == Service) {
    Queue.update(*m_Ticket, std::move(Request.m_Candidates), Request.m_IsRetry);
  } else {
    leave();
    m_Service = Service;
    m_Since = Now;
    m_Ticket = Queue.add(std::move(Request), Now);
  }
  Decision Made =
      Queue.decide(*m_Ticket, m_Control.capacity(Service, Now), Now);
  if (Made.m_Verdict == Verdict::Reject)
    m_Ticket.reset();
  // Others may have got room with time, which no event tells them.
  if (Made.m_Verdict == Verdict::Wait && Made.m_Position > 0)
    m_Control.wake(Service, Now);
  return Made;
}

Decision QueuePlace::offer(const std::string &Service, DispatchRequest Request,
                           Instant Now) {
  Decision Made = decide(Service, std::move(Request), Now);
  if (Made.m_Verdict == Verdict::Send) {
    m_Control.m_Lines[Service].m_Queue.onSent(*m_Ticket, Now);
    m_Ticket.reset();
  }
  return Made;
}

Decision QueuePlace::offerBlocked(const std::string &Service,
                                  DispatchRequest Request, Instant Now) {
  const Instant Deadline = Request.m_Deadline;
  Decision Made = decide(Service, std::move(Request), Now);
  if (Made.m_Verdict != Verdict::Send)
    return Made;
  Made.m_Endpoints.clear();
  Made.m_ExpectedStart = Now;
  Made.m_Reason = "rejection_limit";
  Made.m_Verdict = Verdict::Wait;
  if (Now + MinUsefulTime < Deadline)
    return Made;
  leave();
  Made.m_Verdict = Verdict::Reject;
  return Made;
}

boost::asio::awaitable<void> QueuePlace::wait(Duration Limit) {
  if (!m_Ticket)
    co_return;
  const auto Ticket = *m_Ticket;
  const std::string Service = m_Service;
  const auto Condition = m_Condition;
  m_Control.m_Lines[Service].m_Sleeping[Ticket] = Condition;
  co_await Condition->wait(Limit);
  m_Control.m_Lines[Service].m_Sleeping.erase(Ticket);
}

void QueuePlace::leave() {
  if (!m_Ticket)
    return;
  AdmissionControl::Line &Left = m_Control.m_Lines[m_Service];
  Left.m_Queue.remove(*m_Ticket);
  Left.m_Sleeping.erase(*m_Ticket);
  m_Ticket.reset();
}

} // namespace sff::host
