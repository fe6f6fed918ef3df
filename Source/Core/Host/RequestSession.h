#pragma once

#include "Core/Execution/Outcome.h"
#include "Core/Serving/AttemptHistory.h"
#include "Core/Streaming/CompleteEventBuffer.h"
#include "Core/Tenants/CallerIdentity.h"
#include "Host/Attempt.h"
#include "Host/DemandRouter.h"
#include "Host/PeerRelay.h"
#include "Host/QuotaService.h"
#include "Host/StreamTracker.h"
#include "Net/Http/Server.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>

namespace sff::host {

/// Maps each prompt session to the endpoint that served it last; bounded in
/// size. Keeps hashes, as callers may send sessions of any length; two with the
/// same hash share an entry, which costs a worse choice only.
/// Thread safety: none.
class SessionAffinity {
public:
  std::optional<EndpointId> find(std::string_view Session) const;
  void record(const std::string &Session, const EndpointId &Endpoint);

private:
  static constexpr std::size_t MaxSessions = 2000;
  std::map<std::size_t, EndpointId> m_Endpoints;
};

/// Who has sent a request to this host.
enum class RequestOrigin {
  Caller,
  Host, ///< A host that is cut off from the endpoints has passed it on.
};

/// Handles one caller request from its arrival to the end of the response.
/// Timer callbacks that are outstanding keep the object alive.
/// Thread safety: use from the host's io_context only.
class RequestSession : public std::enable_shared_from_this<RequestSession> {
public:
  /// Precondition: \p Caller outlives the call of run().
  RequestSession(HostState &State, DemandRouter &Demands,
                 StreamTracker &Streams, QuotaService &Quotas,
                 SessionAffinity &Sessions, PeerRelay &Relay,
                 RequestOrigin Origin, http::Request Incoming,
                 http::Exchange &Caller);

  Task<void> run();
  /// Called when the process begins to stop, at most once, while run() is in
  /// progress. The request ends before the process does.
  void onStop();

private:
  /// The next step after an attempt to serve the request.
  enum class Step { Finished, TryAgain };
  /// How the forwarding of a stream ended.
  enum class StreamResult { Complete, EndpointFailed, CallerGone };

  /// Maximum number of sends of one request, including those that endpoints
  /// refuse. Each send after the first is taken from the retry budget.
  static constexpr int MaxSends = 4;
  /// Largest body of an answer that is not a stream, which is held in memory
  /// until it is complete.
  static constexpr std::size_t MaxBodyBytes = 4 * 1024 * 1024;
  /// Largest event of a stream, of which an incomplete one is held in memory.
  static constexpr std::size_t MaxEventBytes = 256 * 1024;
  /// Retry-After for failures whose duration is not known.
  static constexpr milliseconds DefaultRetryAfter{1000};

  /// Reasons of refusals that concern this host only.
  static constexpr std::string_view NoCatalogueReason = "no_catalogue";
  static constexpr std::string_view NoRouteReason = "no_route";
  static constexpr std::string_view BodyUnreadReason = "body_unread";
  static constexpr std::string_view CutOffReason = "cut_off_from_endpoints";
  static constexpr std::string_view UnknownKeyReason = "unknown_key";
  static constexpr std::string_view UnprovenKeyReason = "unproven_key";
  static constexpr std::string_view QuotaReason = "quota";

  using OpenStream = std::shared_ptr<http::ResponseStream>;

  /// An attempt whose endpoint has begun to answer.
  struct OpenedAttempt {
    std::shared_ptr<Attempt> m_Attempt;
    OpenStream m_Answer;
  };

  bool findRoute();
  /// Identifies the caller by the newest catalogue that this host knows. A key
  /// may be revoked while its request waits, is sent again or is resumed.
  tenants::CallerIdentity identifyCaller() const;
  /// Identifies the caller anew. Returns false, after the request has been
  /// ended, if it may not be sent.
  Task<bool> checkCaller();
  /// Takes the cost of the request from its tenant's quota. Returns false,
  /// after the request has been rejected, if it does not fit.
  Task<bool> takeQuota();
  /// Gives the cost back if the request has not run.
  void returnQuota();
  /// Logs what the decision that no service takes the request is based on.
  void logNoRoute() const;
  void startTimers();
  /// Sets the timer that ends the request, and brings its end forward to the
  /// exit of the process.
  void startDeadlineTimer();
  /// Whether the end of the request is that of the process, not the deadline of
  /// its caller.
  bool endsWithProcess() const {
    return m_RespondBy == m_State.m_LastAnswersAt;
  }
  Task<void> serve();
  Task<Step> serveOnce();
  /// Whether the request or a part of its prompt has crashed too many endpoints
  /// to be sent.
  bool isQuarantined() const;
  /// Returns the reason to reject the request because of crashes, if any.
  std::optional<std::string_view> checkQuarantine();
  /// Learns the software version at which the stream that the caller takes up
  /// may go on. Returns false if it cannot be known.
  Task<bool> pinVersion();
  /// Records the version of a stream that is about to bring its first event.
  void onFirstEvent();
  StreamQuery streamQuery(const RequestId &Stream) const;
  /// Removes the endpoints of software versions at which the request may not be
  /// run.
  void filterByVersion(std::vector<const serving::Endpoint *> &List) const;
  /// Endpoints that serve the request's service, hold its model and have a
  /// software version that may run it.
  std::vector<const serving::Endpoint *> holders() const;
  /// The holders that have not asked this host for a time without requests.
  std::vector<const serving::Endpoint *> openHolders() const;
  /// The open holders whose limits allow a request now.
  std::vector<const serving::Endpoint *> candidates() const;
  Task<Step> waitForModel();
  /// Waits until one of the holders, all of which have turned this host away,
  /// wants requests again, or refuses the request if its caller will not wait
  /// that long.
  Task<Step> waitForBackoff();
  /// Waits until the request rate of an endpoint allows the request, or refuses
  /// it if the caller will not wait that long.
  Task<Step> waitForRate();
  /// Whether a holder is left out only because it might reject the request and
  /// must not reject many.
  bool mustAwaitRoom() const;
  /// Until when the caller waits for the beginning of an answer, or for the
  /// next event of a stream.
  Instant answerDeadline() const;
  admission::DispatchRequest
  dispatchRequest(std::span<const serving::Endpoint *const> List) const;
  /// Asks the queue whether the request may be sent to one of \p List, and
  /// removes the endpoints without room from it. Returns nothing if it may.
  Task<std::optional<Step>>
  awaitTurn(std::vector<const serving::Endpoint *> &List);
  /// Waits for a rejection limit of the holders to allow the request.
  Task<Step> waitForRoom();
  /// Waits as the queue has decided, or rejects the request.
  Task<Step> waitInQueue(admission::Decision Made, Duration MaxWait);
  serving::ChoiceContext choiceContext(const std::set<EndpointId> &Tried) const;
  Task<Step> attempt(EndpointId Id);
  Task<Step> onOpenFailed(EndpointId Id, http::TransportFailure Failure);
  /// Begins to count the request as running at the endpoint.
  std::shared_ptr<Attempt> startAttempt(const EndpointId &Id);
  /// Watches the current attempt for silence. The attempt ends with the
  /// returned guard.
  std::shared_ptr<void> watchCurrent();
  /// Whether the request, which waited for the connection of an attempt, is
  /// still wanted by its caller and by the endpoint.
  bool mayStillSend(const Attempt &Chosen);
  /// Whether the caller has left, also if this host has not been notified yet:
  /// under load, a request is read long after it came.
  bool isCallerGone();
  /// Sends the request and waits for the head of the answer. Records what that
  /// says of its endpoint, whatever becomes of the answer.
  Task<http::OpenResult> open(std::shared_ptr<Attempt> Sent,
                              http::Address Remote);
  Task<Step> onOpened(OpenStream Answer);
  Task<Step> onNotRun(ResponseMetadata Facts, int Status);
  /// Goes on without an answer that is not passed on.
  Step onUnusableAnswer(const EndpointId &Id, int Status);
  void recordRefusal(Attempt &Refused, const ResponseMetadata &Facts,
                     int Status);
  Task<Step> onHead(EndpointId Id, OpenStream Answer);
  /// Compares the time to the first byte of an answer with the expected one.
  void recordFirstByte(Attempt &Answered, int Status);
  Task<Step> forwardBuffered(EndpointId Id, OpenStream Answer);
  /// Whether \p Size bytes of an answer, of which at most \p Limit are allowed,
  /// may be held until more of it has arrived. The answers of all requests
  /// share a limit, too.
  bool mayHold(std::size_t Size, std::size_t Limit);
  /// Adds to a body that is held until it is complete. Returns false if it may
  /// not be held.
  bool appendToBody(std::string &Body, std::string_view Chunk);
  Task<Step> forwardStream(EndpointId Id, OpenStream Answer);
  Task<StreamResult> copyStream(EndpointId Id, OpenStream Answer);
  /// Returns whether the end of a stream's body may be passed on to the caller.
  /// Otherwise the endpoint has broken the stream off, as far as can be known.
  bool checkStreamEnd(const EndpointId &Id, const http::Response &Head);
  /// Returns whether an answer that ended may be passed on as its endpoint sent
  /// it. One without a mark of its end may only if the process that sent it is
  /// still there, because a crash closes the connection like a regular end.
  Task<bool> confirmEnd(bool EndsWithConnection);
  /// Finds out what has become of the process that has answered.
  /// Precondition: the address of \p Answered is known.
  Task<serving::AnswerEndEvidence>
  gatherEndEvidence(std::shared_ptr<Attempt> Answered, Instant EndedAt);
  /// How long the proof of an end may take.
  milliseconds proofTime() const;
  /// Waits for a later heartbeat of the process whose registration \p Before
  /// is. Returns false if none comes by \p Until, or another process is
  /// registered.
  Task<bool> awaitHeartbeat(EndpointId Id, serving::RegistrationVersion Before,
                            Instant Until);
  /// Asks who is at the address that the request was sent to. An endpoint that
  /// leaves may serve there after its registration is gone.
  Task<IdentityAnswer> identify(std::shared_ptr<Attempt> Answered);
  /// Records that the request has certainly completed with success.
  void recordCompletion();
  /// Counts the request for the endpoint's crash if that is noticed soon.
  void recordPossibleLoss(const EndpointId &Id);
  /// Records how the body of an endpoint's answer ended.
  void recordAnswerEnd(const EndpointId &Id, const http::Response &Head,
                       std::string_view End);
  /// Called when no connection to an endpoint is established. Returns false if
  /// this host has no links.
  Task<bool> onUnreachable(EndpointId Id);
  static Task<void> reportUnreachable(std::shared_ptr<RequestSession> Self,
                                      EndpointId Id);
  /// Whether the request goes to another host: this one reaches no endpoint, or
  /// another host has begun the stream.
  bool mustPassOn() const {
    return m_State.m_Links.isIsolated() || m_RelayHasBegun;
  }
  /// Whether there is a host that may take the request.
  bool canPassOn() {
    return m_Origin == RequestOrigin::Caller &&
           m_Relay.choose(m_RelaysTried).has_value();
  }
  /// Whether a silent attempt is given up for another host. It stands while
  /// other endpoints still send data on connections that are open.
  bool mustLeave();
  /// Passes the request on to another host, or refuses it if there is none.
  Task<Step> passOn();
  RelayMetadata relayFacts() const;
  /// Watches the host that the request has been passed on to for silence, until
  /// the returned guard is destroyed.
  std::shared_ptr<void> watchRelay(const HostId &Host);
  void startRelayTimer(HostId Host);
  /// Ends the attempt at \p Host if the host sends nothing and does not answer
  /// either, and the request may go elsewhere.
  static Task<void> checkRelay(std::shared_ptr<RequestSession> Self,
                               HostId Host);
  /// Whether the request may leave the host that it has been passed on to.
  bool mayLeaveRelay();
  Task<Step> onRelayFailed(HostId Host, http::TransportFailure Failure);
  /// Handles an answer that another host has made itself, or that is not an
  /// endpoint's as far as is known.
  Task<Step> onUnsealedRelay(HostId Host, OpenStream Answer);
  /// Handles a request that may have run at another host, whose answer is lost.
  Task<Step> onRelayedAnswerLost();
  /// Adds to an answer of this host what the host that has passed the request
  /// on must know.
  void markRelayOutcome(http::Response &Answer, std::string_view Reason) const;
  Task<Step> forwardRelayed(HostId Host, OpenStream Answer);
  Task<Step> forwardRelayedStream(HostId Host, OpenStream Answer);
  /// Returns the head of an endpoint's answer in the form that is sent to the
  /// caller, or to the host that has passed the request on.
  http::Response makeAnswerHead(const http::Response &Head) const;
  /// Records what an answer that came through another host says of its
  /// endpoint.
  void recordRelayedNotice(const http::Response &Head,
                           const ResponseMetadata &Facts);
  /// Sends the head of a stream to the caller.
  Task<bool> beginStream(http::Response Head);
  /// Connects to an endpoint, to tell a crash from a lost answer. Returns false
  /// if the endpoint cannot be connected to and keeps no other connection of
  /// this host open.
  Task<bool> probe(EndpointId Id);
  /// The same after the end of run().
  static Task<void> probeLater(std::shared_ptr<RequestSession> Self,
                               EndpointId Id);
  serving::CallResult resultOf(const http::TransportFailure &Failure) const;
  /// Records what an answer of an endpoint says of it.
  void recordReports(const Attempt &Answered, const ResponseMetadata &Facts);
  void recordRoom(const Attempt &Answered, const ResponseMetadata &Facts);
  void recordRateLimit(const Attempt &Answered, const ResponseMetadata &Facts);
  /// Records what an answer says of the room at its endpoint.
  void recordCapacity(const Attempt &Answered, const ResponseMetadata &Facts);
  /// Handles an attempt that ended without a complete response, though the
  /// endpoint may have run the request.
  Task<Step> onIncompleteResponse(EndpointId Id, serving::CallResult Result,
                                  std::string Detail);

  http::ClientOptions callOptions() const;
  DispatchMetadata dispatchFacts(const EndpointId &Id) const;
  /// How long an endpoint may send nothing before the request is offered to
  /// another one.
  milliseconds silenceTimeout() const;
  /// Calls onSilence() each time the current attempt has had no progress for
  /// silenceTimeout(), counted from \p From at first.
  void startSilenceTimer(Instant From);
  /// Offers the request to another endpoint, if there is one.
  void onSilence();
  /// The endpoint to offer the request to while the current one is silent, if
  /// the request may be sent to another one and the retry budget allows it.
  std::optional<EndpointId> chooseBackup();
  /// Offers the request to one endpoint after another until one answers, which
  /// ends the current attempt, or the current attempt goes on.
  static Task<void> runBackups(std::shared_ptr<RequestSession> Self);
  /// Returns whether the endpoint has begun to answer.
  Task<bool> tryBackup(EndpointId Id);
  bool onBackupFailed(Attempt &Failed, const http::TransportFailure &Failure);
  bool onBackupOpened(const std::shared_ptr<Attempt> &Opened,
                      OpenStream Answer);
  /// Called when a backup may have run the request and its answer is not used.
  void onBackupLost(const Attempt &Lost, serving::CallResult Result);
  Task<Step> goOnWithBackup();
  /// Waits for the backup when the attempt that it was made for has ended.
  /// Cancels it if it is silent, too, and the request can go elsewhere.
  Task<void> waitForBackup();
  /// Called when the endpoint of the current attempt has sent something.
  void onProgress();
  /// Whether the caller goes on with a stream that an earlier request began.
  bool isTakenUp() const;
  bool isResumableStream() const;
  Duration remainingTime() const { return m_RespondBy - now(); }
  /// Whether the request may be sent again. Takes each send after the first
  /// from the retry budget.
  bool tryAcquireRetry();
  bool isOver() const { return m_CallerGone || m_Expired; }

  Task<void> respondWithProblem(int Status, std::string_view Reason,
                                std::optional<milliseconds> RetryAfter);
  /// Ends the request with an error. The response says whether the request has
  /// not run or its outcome is unknown; a response that has begun is aborted.
  Task<void> endWithFailure(std::string_view Reason,
                            milliseconds RetryAfter = DefaultRetryAfter);
  Task<void> refuse(std::string_view Reason, milliseconds RetryAfter);
  /// Counts and logs the end of the request.
  void recordOutcome(std::string_view Outcome, int Status,
                     std::string_view Reason);
  /// Ends the work for a caller that has disconnected or whose time is over.
  void cancelAttempts();
  void logEvent(std::string_view Event, nlohmann::json Fields) const;

  HostState &m_State;
  DemandRouter &m_Demands;
  StreamTracker &m_Streams;
  QuotaService &m_Quotas;
  SessionAffinity &m_Sessions;
  PeerRelay &m_Relay;
  RequestOrigin m_Origin;
  http::Request m_Incoming;
  http::Exchange &m_Caller;
  RequestMetadata m_Facts;
  tenants::CallerIdentity m_Identity;
  /// What the request has taken from the quota of its tenant.
  std::optional<QuotaUse> m_QuotaUse;
  std::shared_ptr<const serving::Catalogue> m_Catalogue;
  const serving::Route *m_Route = nullptr;     ///< In m_Catalogue.
  const serving::Service *m_Service = nullptr; ///< In m_Catalogue.
  Instant m_ArrivedAt;
  Instant m_RespondBy;
  serving::ByteBudget::Share m_AnswerMemory; ///< For what is held of an answer.
  /// The attempt whose answer is waited for; null between attempts.
  std::shared_ptr<Attempt> m_Current;
  /// The attempt that was made because the current one is silent, until its
  /// endpoint answers.
  std::shared_ptr<Attempt> m_Backup;
  /// The backup that goes on in place of the silent attempt.
  std::optional<OpenedAttempt> m_Taken;
  AsyncCondition m_BackupSettled;
  std::shared_ptr<http::CallCanceller> m_RelayCanceller;
  std::set<HostId> m_RelaysTried;
  /// Time of the latest data from the host that the request was passed on to,
  /// or of its latest sign of life.
  Instant m_RelayProgressAt;
  /// Another host has begun the stream. Only hosts that are told its first
  /// request know at which software version it goes on.
  bool m_RelayHasBegun = false;
  boost::asio::steady_timer m_Timer;
  boost::asio::steady_timer m_SilenceTimer;
  bool m_CallerGone = false;
  bool m_Expired = false;
  bool m_Ended = false;
  /// Marked once an endpoint may have run the request.
  execution::DispatchGuard m_DispatchGuard;
  /// Initialized in run() with the limit of the route.
  serving::AttemptHistory m_History{1};
  /// The next send has already been taken from the retry budget.
  bool m_RetryGranted = false;
  bool m_HeadSent = false;
  /// The host waits for the caller to take data, not for the endpoint.
  bool m_IsDelivering = false;
  /// The body of the response that has begun ends with the connection.
  bool m_CallerReadsToEnd = false;
  QueuePlace m_Place;
  Instant m_LastEventAt;     ///< When the caller took the latest events.
  bool m_WaitLogged = false; ///< The wait for the model is logged only once.
  streaming::CompleteEventBuffer m_Events;
  /// The software version at which the stream began. Set once its first event
  /// is known to have come; the stream goes on at no other.
  std::optional<std::string> m_StreamVersion;
  std::string m_Fingerprint;
};

} // namespace sff::host
