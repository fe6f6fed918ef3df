#pragma once

#include "Core/Admission/DispatchQueue.h"
#include "Core/Serving/DemandRates.h"
#include "Core/Serving/EndpointChooser.h"
#include "Core/Serving/RejectionLimits.h"
#include "Net/Timers/AsyncCondition.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace sff::host {

/// The queues of requests that wait at this host, one for each service, and
/// what the host has learned of the room at endpoints. Wakes waiting requests
/// in the order of their queue.
/// Thread safety: use from the host's io_context only.
class AdmissionControl {
public:
  using MayRetry = std::function<bool(const std::string &Service)>;

  /// Precondition: the arguments outlive the object.
  AdmissionControl(const serving::EndpointDirectory &Endpoints,
                   serving::EndpointChooser &Chooser,
                   const serving::RejectionLimits &Limits, MayRetry Budget);

  void onSent(const EndpointId &Id, Instant Now);
  /// Records that an answer of the endpoint named its load.
  void onReport(const EndpointId &Id, std::int64_t Load, Instant Now);
  /// Records that the endpoint had no room for a request, and the load that the
  /// rejection named.
  void onRejected(const EndpointId &Id, std::optional<std::int64_t> Load,
                  Instant Now);
  /// Records that the endpoint began to answer a request of \p Work.
  void onAccepted(const EndpointId &Id, double Work, Duration FirstByte,
                  Instant Now);
  /// Records that a request of this host at the endpoint has ended.
  void onFinished(const EndpointId &Id, Instant Now);
  void forget(const EndpointId &Id);

  std::size_t waiting(const std::string &Service) const;
  double startsPerSecond(const std::string &Service, Instant Now) const;

private:
  friend class QueuePlace;

  struct Line {
    admission::EndpointRoomTracker m_Rooms{std::random_device{}()};
    admission::DispatchQueue m_Queue;
    std::map<admission::DispatchQueue::Ticket,
             std::shared_ptr<timers::AsyncCondition>>
        m_Sleeping;
  };

  /// The line of the endpoint's service; null if the endpoint is not known.
  Line *lineOf(const EndpointId &Id);
  admission::DispatchCapacity capacity(const std::string &Service,
                                       Instant Now) const;
  admission::EndpointRoom roomOf(const EndpointId &Id, Instant Now) const;
  /// Wakes the requests that may be sent.
  void wake(const std::string &Service, Instant Now);

  const serving::EndpointDirectory &m_Endpoints;
  serving::EndpointChooser &m_Chooser;
  const serving::RejectionLimits &m_Limits;
  MayRetry m_MayRetry;
  /// Requests that endpoints have begun to answer, by service.
  serving::DemandRates m_Starts;
  std::map<std::string, Line> m_Lines; ///< By service.
};

/// The place of one request in a queue, which it leaves when the object is
/// destroyed.
/// Thread safety: use from the host's io_context only.
class QueuePlace {
public:
  /// Precondition: \p Control outlives the object.
  explicit QueuePlace(AdmissionControl &Control) : m_Control(Control) {}
  ~QueuePlace() { leave(); }
  QueuePlace(const QueuePlace &) = delete;
  QueuePlace &operator=(const QueuePlace &) = delete;

  /// Adds the request, or updates its endpoints if it is in the queue, and
  /// decides. A request that is sent or rejected has left the queue.
  admission::Decision offer(const std::string &Service,
                            admission::DispatchRequest Request, Instant Now);
  /// The same for a request that cannot be sent now for a reason that the queue
  /// does not know: it is let wait or rejected.
  admission::Decision offerBlocked(const std::string &Service,
                                   admission::DispatchRequest Request,
                                   Instant Now);
  bool isWaiting() const { return m_Ticket.has_value(); }
  Instant since() const { return m_Since; }
  /// Suspends until the request may be sent or \p Limit has passed.
  boost::asio::awaitable<void> wait(Duration Limit);
  /// Ends a wait at once.
  void wake() { m_Condition->notifyAll(); }
  void leave();

private:
  admission::Decision decide(const std::string &Service,
                             admission::DispatchRequest Request, Instant Now);

  AdmissionControl &m_Control;
  std::string m_Service;
  std::optional<admission::DispatchQueue::Ticket> m_Ticket;
  Instant m_Since;
  std::shared_ptr<timers::AsyncCondition> m_Condition =
      std::make_shared<timers::AsyncCondition>();
};

} // namespace sff::host
