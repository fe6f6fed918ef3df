#pragma once

#include "Host/LogQueries.h"
#include "Host/StreamTracker.h"

namespace sff::host {

/// Follows the store's logs to keep the catalogue and the endpoint directory up
/// to date.
/// Thread safety: use from the host's io_context only.
class StoreFollower {
public:
  /// Precondition: all arguments outlive the run of the io_context.
  StoreFollower(HostState &State, StreamTracker &Streams, LogQueries &Queries)
      : m_State(State), m_Streams(Streams), m_Queries(Queries) {}

  void start();

private:
  Task<void> followCatalogue();
  /// Longest wait of a read of the catalogue for a newer one.
  milliseconds maxCatalogueWait() const;
  /// Reads the catalogues from \p Position on, or the newest one.
  Task<CatalogueBatch> readCatalogue(std::optional<Cursor> Position);
  Task<void> followEndpoints();
  void applyCatalogue(const std::shared_ptr<const serving::Catalogue> &Newest);
  void apply(const EndpointBatch &Batch, bool WholeListing);
  void applyRegistration(const serving::Registration &Item);
  void applyRemoval(const EndpointId &Id);
  /// Asks each endpoint whose removal is delayed whether it still serves.
  void verifyRemovals();
  /// Removes the endpoint unless it answers that it still serves.
  Task<void> verifyRemoval(EndpointId Id);
  /// Removes the endpoints whose removal was delayed, at the end of the delay.
  Task<void> expireEndpoints();
  /// Called after the directory has changed.
  void onDirectoryChanged();
  /// Called when an endpoint is no longer in the directory.
  void onGone(const serving::Endpoint &Gone);
  /// Connects to an endpoint that vanished while requests were running there.
  /// Some endpoints leave without notice and complete their requests.
  Task<void> probeGone(EndpointId Id, http::Address Remote);
  bool isAddressReused(const std::string &Address) const;
  void setReachable(bool Reachable);
  /// Called when the store has been restored from an older copy, which may lack
  /// endpoints that serve.
  void onStoreRestored();

  HostState &m_State;
  StreamTracker &m_Streams;
  LogQueries &m_Queries;
  /// The newest record of the catalogue could not be decoded.
  bool m_NewestIsUnreadable = false;
};

} // namespace sff::host
