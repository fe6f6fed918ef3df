#pragma once

#include "Core/Serving/AnswerEnd.h"
#include "Core/Serving/Catalogue.h"
#include "Core/Serving/EndpointDirectory.h"
#include "Core/Serving/OrderLease.h"
#include "Core/Serving/SoftwareVersions.h"
#include "Host/CrashMessage.h"
#include "Host/StreamMessages.h"
#include "Net/Http/Client.h"
#include "Net/Http/Message.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// Interfaces between the host and the platform that it runs on. The platform
/// adapter implements them and is the only component that knows the names in
/// the platform's protocols.
namespace sff::host {

template <typename T> using Task = boost::asio::awaitable<T>;

/// Metadata of a caller's request, apart from method, path and body.
struct RequestMetadata {
  RequestId m_Id;
  /// How long the caller waits, from the arrival of the request.
  std::optional<milliseconds> m_Deadline;
  serving::ModelName m_Model; ///< Empty for requests without a model.
  /// Identifies a prompt prefix that other requests share.
  std::string m_Session;
  std::int64_t m_SessionTokens = 0;
  /// Tokens of the prompt and the most tokens of the answer, if the caller
  /// names them.
  std::optional<std::int64_t> m_PromptTokens;
  std::optional<std::int64_t> m_OutputTokens;
  /// The key by which the caller identifies itself; empty if there is none, or
  /// if the request has several. Must not be logged.
  std::string m_ApiKey;
  /// The parts of the prompt that other requests may share, in their order.
  std::vector<PromptPartId> m_PromptParts;
  /// The last event that the caller has, if it takes a stream up.
  std::string m_LastEventId;
  /// The request that brought the stream's first event; empty if the caller
  /// does not name it.
  RequestId m_ResumedStream;
};

/// Metadata that the host adds to a request to an endpoint.
struct DispatchMetadata {
  EndpointId m_Endpoint;
  /// Remaining time of the caller's deadline.
  milliseconds m_Deadline{0};
  std::optional<std::int64_t> m_Priority; ///< 0 is the highest priority.
  /// Set to resume a stream after this event.
  std::optional<std::string> m_LastEventId;
  /// Set if callers are identified by keys, which endpoints must not see: the
  /// name of the caller's tenant, or empty for a caller without one.
  std::optional<std::string> m_Tenant;
};

/// Metadata that the host adds to a request that it passes on to another host.
struct RelayMetadata {
  /// Remaining time of the caller's deadline.
  milliseconds m_Deadline{0};
  /// Set to resume a stream after this event.
  std::optional<std::string> m_LastEventId;
  /// The request that brought the first event of that stream.
  RequestId m_ResumedStream;
};

/// Load that an endpoint reports in a response.
struct ReportedLoad {
  std::int64_t m_Running = 0;
  std::int64_t m_Waiting = 0;
  /// How long work takes now, 1 meaning as usual, if the endpoint says so.
  std::optional<double> m_WorkTime;
};

/// What an answer says of its endpoint, whatever the request was.
struct EndpointNotice {
  bool m_IsLeaving = false; ///< The endpoint exits soon.
  /// How long the endpoint wants no requests from this host, if the answer
  /// turns the request away and names a time.
  std::optional<Duration> m_RetryAfter;
  /// One of the headers is present, but cannot be read.
  bool m_IsUnreadable = false;

  bool isEmpty() const {
    return !m_IsLeaving && !m_RetryAfter && !m_IsUnreadable;
  }
};

/// Meaning of the head of an endpoint's response.
struct ResponseMetadata {
  bool m_NotRun = false; ///< The endpoint did not run the request.
  /// The address now belongs to another endpoint.
  bool m_AddressReused = false;
  bool m_ModelNotLoaded = false; ///< The model or adapter is not loaded.
  /// The response carries the endpoint's seal, without which it is not trusted.
  bool m_Sealed = false;
  std::optional<ReportedLoad> m_Load;
  /// Requests per second that the endpoint takes from all hosts together, for
  /// as long as its answers name it.
  std::optional<double> m_RateLimit;
  /// Rejections per second for want of room beyond which the endpoint fails,
  /// for as long as its answers name it.
  std::optional<double> m_MaxRejections;
  /// The response names such a limit, but not one that can be read.
  bool m_IsMaxRejectionsUnreadable = false;
  bool m_WasFull = false; ///< The endpoint had no room for the request.
  EndpointNotice m_Notice;

  /// Whether the endpoint that the request was sent to has made the response,
  /// as far as can be known.
  bool isFromEndpoint() const {
    return (m_Sealed || m_NotRun) && !m_AddressReused;
  }
};

/// Translates HTTP headers of callers and endpoints.
/// Thread safety: const, any thread.
class WireFormat {
public:
  virtual ~WireFormat() = default;
  virtual RequestMetadata decode(const http::Request &Incoming) const = 0;
  virtual http::Request encode(const http::Request &Incoming,
                               const DispatchMetadata &Facts) const = 0;
  /// Returns the request in the form in which another host takes it like a
  /// caller's.
  virtual http::Request encodeForHost(const http::Request &Incoming,
                                      const RelayMetadata &Facts) const = 0;
  virtual ResponseMetadata decode(const http::Response &Head) const = 0;
  /// Returns the check that a response belongs to the request \p Id.
  virtual http::ExpectedEcho makeEchoCheck(const RequestId &Id) const = 0;
  /// Returns the head of an endpoint's response in the form that is sent to the
  /// caller.
  virtual http::Response
  makeCallerResponse(const http::Response &Head) const = 0;
};

/// Position in one of the store's logs. Positions from before and after a
/// restore of the store differ, though it may use the same offsets again.
using Cursor = std::uint64_t;

enum class FollowStatus {
  Ok,
  /// Records after the cursor have been discarded, or the store has been
  /// restored from an older copy; a new listing is needed.
  HistoryCompacted,
  Unreachable,
};

struct CatalogueBatch {
  FollowStatus m_Status = FollowStatus::Unreachable;
  /// The newest catalogue in the batch, or null when there is none.
  std::shared_ptr<const serving::Catalogue> m_Newest;
  Cursor m_Next = 0;
  int m_MalformedRecords = 0; ///< Records that could not be decoded.
};

/// A registration, or its removal when m_Registration is empty.
struct EndpointChange {
  EndpointId m_Id;
  std::optional<serving::Registration> m_Registration;
};

struct EndpointBatch {
  FollowStatus m_Status = FollowStatus::Unreachable;
  std::vector<EndpointChange> m_Changes;
  Cursor m_Next = 0;
  int m_MalformedRecords = 0;
};

struct CrashBatch {
  FollowStatus m_Status = FollowStatus::Unreachable;
  std::vector<CrashNews> m_News;
  /// Where to read on, also after HistoryCompacted.
  Cursor m_Next = 0;
  int m_MalformedRecords = 0;
};

/// How far the records of software versions can be relied on.
enum class RecordsTrust {
  /// No host has confirmed them, or the store does not tell of restores.
  Unconfirmed,
  Confirmed, ///< A host has confirmed them since the store was last restored.
  /// The store has been restored from an older copy since a host confirmed
  /// them: what was recorded before may be gone.
  Outdated,
};

/// The records of software versions.
struct VersionRecords {
  std::vector<serving::ServiceVersion> m_Versions;
  RecordsTrust m_Trust = RecordsTrust::Unconfirmed;
};

struct GroupMembership {
  /// Rises with each change of the group, also when the store is restored from
  /// an older copy and gives out its own numbers once more.
  serving::FencingToken m_Generation = 0;
  bool m_IsHolder = false; ///< This member is the holder of the group.
};

/// The platform's store.
/// Thread safety: use from the host's io_context only.
class Store {
public:
  virtual ~Store() = default;
  /// Calls \p Listener each time an answer shows that the store has been
  /// restored from an older copy: what it had acknowledged lately may be gone.
  virtual void onRestored(std::function<void()> Listener) = 0;
  /// Cancels all calls that wait for a response, for example when another call
  /// has shown that the store is unreachable.
  virtual void cancelPendingCalls() = 0;
  /// Reads the newest catalogue and the cursor after it.
  virtual Task<CatalogueBatch> listCatalogue() = 0;
  /// Reads the catalogues published from \p From on and waits up to \p Wait for
  /// the first one.
  virtual Task<CatalogueBatch> followCatalogue(Cursor From,
                                               milliseconds Wait) = 0;
  virtual Task<EndpointBatch> listEndpoints() = 0;
  virtual Task<EndpointBatch> followEndpoints(Cursor From,
                                              milliseconds Wait) = 0;
  /// Appends a record to the log of crashes that all hosts follow. Returns
  /// false when the store has not confirmed it; it may have appended it
  /// nevertheless.
  virtual Task<bool> appendCrashes(CrashNews News) = 0;
  /// Reads the crashes from \p From on and waits up to \p Wait for the first
  /// one.
  virtual Task<CrashBatch> followCrashes(Cursor From, milliseconds Wait) = 0;
  /// Adds records of software versions, which all hosts share, and removes
  /// others, in one call. \p Confirms states that the records are complete
  /// then, by the knowledge of this host. Returns false when the store has not
  /// confirmed the call.
  virtual Task<bool>
  recordVersions(std::vector<serving::ServiceVersion> Added,
                 std::vector<serving::ServiceVersion> Removed,
                 bool Confirms) = 0;
  /// Reads the records of software versions. Returns nothing when the store
  /// does not respond.
  virtual Task<std::optional<VersionRecords>> listVersions() = 0;
  /// Joins the group of \p Zone or renews the membership. Returns nothing when
  /// the store does not respond.
  virtual Task<std::optional<GroupMembership>>
  join(ZoneId Zone, std::string Member, milliseconds Term,
       serving::FencingToken Last) = 0;
  virtual Task<void> leave(ZoneId Zone, std::string Member) = 0;
  /// The member that is the holder of \p Zone. Empty when there is none,
  /// nothing when the store does not respond.
  virtual Task<std::optional<std::string>> findHolder(ZoneId Zone) = 0;
};

enum class OrderKind { Load, Unload };

struct Order {
  OrderKind m_Kind = OrderKind::Load;
  serving::ModelName m_Name;
  std::string m_Holder;
  serving::FencingToken m_Token = 0;
  /// Number of orders that the endpoint has accepted, according to the sender.
  std::int64_t m_ExpectedOrders = 0;
};

enum class OrderStatus {
  Accepted, ///< The endpoint executes the order.
  AlreadyApplied,
  Conflict, ///< Another order is being executed, or the expected count differs.
  Fenced,   ///< The endpoint has seen a higher fencing token.
  /// Not accepted: the endpoint does not know the order or the sender's view of
  /// its state, or the order was not sent.
  Rejected,
  OtherEndpoint,
  Unknown, ///< No response: the order may be executed now, later or never.
};

struct OrderAnswer {
  OrderStatus m_Status = OrderStatus::Unknown;
  EndpointNotice m_Notice; ///< Empty unless the endpoint itself has answered.
};

/// State that an endpoint that runs models reports.
struct EngineReport {
  serving::Inventory m_Inventory;
  bool m_OrderRunning = false;
  std::int64_t m_AcceptedOrders = 0;
  std::vector<serving::ModelName> m_PendingAdapters;
};

struct ReportAnswer {
  std::optional<EngineReport> m_Report; ///< Empty if there is none.
  EndpointNotice m_Notice; ///< Empty unless the endpoint itself has answered.
};

/// Sends orders to endpoints that run models and reads their reports.
/// Thread safety: use from the host's io_context only.
class EngineControl {
public:
  virtual ~EngineControl() = default;
  virtual Task<OrderAnswer> send(http::Address Remote, EndpointId Id,
                                 Order Request) = 0;
  virtual Task<ReportAnswer> report(http::Address Remote, EndpointId Id) = 0;
};

/// What an endpoint says of itself in a health check.
enum class HealthStatus {
  Serving,    ///< The endpoint is healthy and does not leave.
  NotServing, ///< It leaves or fails, or its address has another owner.
  NoAnswer,   ///< Nothing came within the time limit.
  Broken,     ///< The connection was refused or lost, or the answer invalid.
};

struct HealthAnswer {
  HealthStatus m_Status = HealthStatus::NoAnswer;
  EndpointNotice m_Notice; ///< Empty unless the endpoint itself has answered.
};

/// Asks endpoints of any service for their health.
/// Thread safety: use from the host's io_context only.
class HealthChecker {
public:
  virtual ~HealthChecker() = default;
  /// Sends a health check to \p Path at \p Remote and waits for less than a
  /// second for the answer of \p Id.
  virtual Task<HealthAnswer> check(http::Address Remote, EndpointId Id,
                                   std::string Path) = 0;
};

/// How an endpoint is asked who it is.
enum class IdentityQuestion {
  /// For its report, which needs no room at the endpoint and may name its
  /// process. Only endpoints that run models have one.
  Report,
  /// For its health, which is checked when the endpoint has room.
  HealthCheck,
};

/// Who answers at an address.
struct IdentityAnswer {
  serving::AddressOwner m_Owner = serving::AddressOwner::Unknown;
  /// The process that answers, if it says when it was started.
  std::optional<serving::Incarnation> m_Process;
  EndpointNotice m_Notice; ///< Empty unless the endpoint itself has answered.
};

/// Asks endpoints who they are.
/// Thread safety: use from the host's io_context only.
class EndpointIdentifier {
public:
  virtual ~EndpointIdentifier() = default;
  /// Asks who is at \p Remote, where \p Id was found before, and waits up to
  /// \p Limit. Asks on a new connection of \p Http, which is left for later
  /// calls. \p HealthPath is the path of a health check there.
  virtual Task<IdentityAnswer> identify(http::Client &Http,
                                        http::Address Remote, EndpointId Id,
                                        IdentityQuestion Question,
                                        std::string HealthPath,
                                        milliseconds Limit) = 0;
};

/// The platform adapter's implementations of the interfaces.
struct Platform {
  std::shared_ptr<WireFormat> m_WireFormat;
  std::shared_ptr<Store> m_Store;
  std::shared_ptr<EngineControl> m_Engines;
  std::shared_ptr<HealthChecker> m_Health;
  std::shared_ptr<EndpointIdentifier> m_Identities;
};

} // namespace sff::host
