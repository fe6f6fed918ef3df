#pragma once

#include "Host/Ports.h"
#include "Net/Timers/AsyncCondition.h"

namespace sff::host {

/// A store that holds one endpoint and answers reads of the registrations after
/// a delay, or refuses all reads. Nothing else is ever read from it.
/// Thread safety: none.
class FakeStore final : public Store {
public:
  milliseconds m_ReadDelay{0}; ///< Time from a read to its answer.
  bool m_IsDown = false;       ///< Reads are refused at once.
  int m_AnsweredReads = 0;
  int m_CatalogueReads = 0;

  void onRestored(std::function<void()>) override {}
  void cancelPendingCalls() override {}
  Task<CatalogueBatch> listCatalogue() override { return noCatalogue(); }
  Task<CatalogueBatch> followCatalogue(Cursor, milliseconds) override {
    return noCatalogue();
  }
  Task<EndpointBatch> listEndpoints() override { return answer(); }
  Task<EndpointBatch> followEndpoints(Cursor, milliseconds) override {
    return answer();
  }
  Task<bool> appendCrashes(CrashNews) override { co_return false; }
  Task<CrashBatch> followCrashes(Cursor, milliseconds) override {
    co_return CrashBatch{};
  }
  Task<bool> recordVersions(std::vector<serving::ServiceVersion>,
                            std::vector<serving::ServiceVersion>) override {
    co_return false;
  }
  Task<std::optional<std::vector<serving::ServiceVersion>>>
  listVersions() override {
    co_return std::nullopt;
  }
  Task<std::optional<GroupMembership>> join(ZoneId, std::string, milliseconds,
                                            serving::FencingToken) override {
    co_return std::nullopt;
  }
  Task<void> leave(ZoneId, std::string) override { co_return; }
  Task<std::optional<std::string>> findHolder(ZoneId) override {
    co_return std::nullopt;
  }

private:
  Task<CatalogueBatch> noCatalogue() {
    ++m_CatalogueReads;
    if (!m_IsDown)
      co_await timers::sleepFor(std::chrono::hours(1));
    co_return CatalogueBatch{};
  }

  Task<EndpointBatch> answer() {
    if (m_IsDown)
      co_return EndpointBatch{};
    co_await timers::sleepFor(m_ReadDelay);
    ++m_AnsweredReads;
    EndpointBatch Batch;
    Batch.m_Status = FollowStatus::Ok;
    serving::Registration Entry;
    Entry.m_Id = EndpointId("e1");
    Entry.m_Heartbeat = m_AnsweredReads;
    Batch.m_Changes.push_back({Entry.m_Id, Entry});
    co_return Batch;
  }
};

/// An endpoint that never answers a health check. Thread safety: none.
class FakeHealthChecker final : public HealthChecker {
public:
  Task<HealthAnswer> check(http::Address, EndpointId, std::string) override {
    co_return HealthAnswer();
  }
};

} // namespace sff::host
