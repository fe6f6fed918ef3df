#pragma once

#include "Core/Serving/Catalogue.h"
#include "Core/Serving/EndpointDirectory.h"
#include "Core/Serving/OrderLease.h"
#include "Net/Http/Client.h"
#include "Net/Http/Message.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

/// What the host needs of the platform it runs on. An adapter implements these
/// interfaces and is the only part that knows the platform's names.
namespace sff::host {

template <typename T> using Task = boost::asio::awaitable<T>;

/// What a caller's request says of itself, apart from method, path and body.
struct RequestFacts {
  RequestId m_Id;
  std::optional<milliseconds> m_Deadline; ///< How long the caller waits.
  serving::ModelName m_Model; ///< Empty for requests without a model.
  std::string m_Session;      ///< Prompt parts that other requests share.
  std::int64_t m_SessionTokens = 0;
};

/// What the system adds to a request that it sends to an endpoint.
struct DispatchFacts {
  EndpointId m_Endpoint;
  milliseconds m_Deadline{0};         ///< What is left of the caller's.
  std::optional<std::int64_t> m_Rank; ///< 0 is the most urgent.
  /// Set to resume a stream after this event.
  std::optional<std::string> m_LastEventId;
};

/// Load that an endpoint states in an answer.
struct StatedLoad {
  std::int64_t m_Running = 0;
  std::int64_t m_Waiting = 0;
};

/// What the head of an endpoint's answer means.
struct AnswerFacts {
  bool m_NotRun = false;        ///< The endpoint did not run the request.
  bool m_OtherEndpoint = false; ///< Another endpoint has the address.
  bool m_LacksModel = false;    ///< The model or adapter is not loaded.
  bool m_Sealed = false;        ///< The endpoint vouches for the answer.
  std::optional<StatedLoad> m_Load;
};

/// HTTP headers of callers and endpoints.
/// Thread safety: const, any thread.
class WireFormat {
public:
  virtual ~WireFormat() = default;
  virtual RequestFacts decode(const http::Request &Incoming) const = 0;
  virtual http::Request encode(const http::Request &Incoming,
                               const DispatchFacts &Facts) const = 0;
  virtual AnswerFacts decode(const http::Response &Head) const = 0;
  /// The check that an answer belongs to \p Id.
  virtual http::EchoCheck echoOf(const RequestId &Id) const = 0;
  /// The answer's head as the caller gets it.
  virtual http::Response forCaller(const http::Response &Head) const = 0;
};

/// Position in one of the store's logs.
using Cursor = std::uint64_t;

enum class FollowStatus {
  Ok,
  HistoryLost, ///< Records after the cursor are gone; list anew.
  Unreachable,
};

struct CatalogueBatch {
  FollowStatus m_Status = FollowStatus::Unreachable;
  /// The newest catalogue of the batch, or null when it has none.
  std::shared_ptr<const serving::Catalogue> m_Newest;
  Cursor m_Next = 0;
  int m_Unreadable = 0; ///< Records that could not be decoded.
};

/// A registration, or the end of one.
struct EndpointChange {
  EndpointId m_Id;
  std::optional<serving::Registration> m_Registration;
};

struct EndpointBatch {
  FollowStatus m_Status = FollowStatus::Unreachable;
  std::vector<EndpointChange> m_Changes;
  Cursor m_Next = 0;
  int m_Unreadable = 0;
};

struct Membership {
  serving::FencingToken m_Generation = 0;
  bool m_Holds = false; ///< This member has the right of the group.
};

/// The platform's store.
/// Thread safety: use from the host's io_context only.
class Store {
public:
  virtual ~Store() = default;
  /// Ends all calls that wait for an answer, for example when another call
  /// shows that the store is away.
  virtual void abandonCalls() = 0;
  /// The newest catalogue and the position after it.
  virtual Task<CatalogueBatch> listCatalogue() = 0;
  /// What was published from \p From on, waiting up to \p Wait for it.
  virtual Task<CatalogueBatch> followCatalogue(Cursor From,
                                               milliseconds Wait) = 0;
  virtual Task<EndpointBatch> listEndpoints() = 0;
  virtual Task<EndpointBatch> followEndpoints(Cursor From,
                                              milliseconds Wait) = 0;
  /// Joins or stays in the group of \p Zone. Nothing when there is no answer.
  virtual Task<std::optional<Membership>> join(ZoneId Zone, std::string Member,
                                               milliseconds Term,
                                               serving::FencingToken Last) = 0;
  virtual Task<void> leave(ZoneId Zone, std::string Member) = 0;
  /// The member that has the right of \p Zone; empty when there is none,
  /// nothing when the store does not answer.
  virtual Task<std::optional<std::string>> holderOf(ZoneId Zone) = 0;
};

enum class OrderKind { Load, Unload };

struct Order {
  OrderKind m_Kind = OrderKind::Load;
  serving::ModelName m_Name;
  std::string m_Holder;
  serving::FencingToken m_Token = 0;
  /// Orders that the endpoint has accepted, as the sender knows it.
  std::int64_t m_ExpectedOrders = 0;
};

enum class OrderStatus {
  Accepted, ///< Is being carried out.
  AlreadyHolds,
  Conflict, ///< Another order runs, or the expected count differs.
  Fenced,   ///< The endpoint has seen a newer token.
  Rejected, ///< The endpoint does not know the order or the sender's view.
  OtherEndpoint,
  Unknown, ///< No answer; may be carried out now or later.
};

/// What an endpoint that runs models reports of itself.
struct EngineReport {
  serving::Inventory m_Inventory;
  bool m_OrderRunning = false;
  std::int64_t m_AcceptedOrders = 0;
  std::vector<serving::ModelName> m_PendingAdapters;
};

/// Orders to and reports from one endpoint that runs models.
/// Thread safety: use from the host's io_context only.
class EngineControl {
public:
  virtual ~EngineControl() = default;
  virtual Task<OrderStatus> send(http::Address Remote, EndpointId Id,
                                 Order Request) = 0;
  virtual Task<std::optional<EngineReport>> report(http::Address Remote,
                                                   EndpointId Id) = 0;
};

/// All that a host needs of its platform.
struct Platform {
  std::shared_ptr<WireFormat> m_Wire;
  std::shared_ptr<Store> m_Store;
  std::shared_ptr<EngineControl> m_Engines;
};

} // namespace sff::host
