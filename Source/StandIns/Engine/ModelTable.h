#pragma once

#include "Common/Codec/Fields.h"

#include <cstdint>
#include <map>
#include <string>

namespace sff::standin {

/// An order from the owner of the endpoint.
struct Order {
  std::string m_Id;
  std::uint64_t m_FencingToken = 0;
  std::string m_Kind;
  std::string m_Model;
  std::string m_Version;
  std::int64_t m_Bytes = 0;
  std::int64_t m_BytesPerToken = 0;
  std::int64_t m_MaxTokens = 0; ///< Per request; 0 for no limit.
  std::string m_BaseModel;      ///< Base model of an adapter.
  std::string m_Role;

  std::string weightKey() const { return m_Model + "/" + m_Version; }

  static constexpr auto describe() {
    return std::make_tuple(
        codec::field("order_id", &Order::m_Id),
        codec::field("fencing_token", &Order::m_FencingToken),
        codec::field("kind", &Order::m_Kind),
        codec::field("model", &Order::m_Model),
        codec::field("version", &Order::m_Version),
        codec::field("bytes", &Order::m_Bytes),
        codec::field("bytes_per_token", &Order::m_BytesPerToken),
        codec::field("max_tokens", &Order::m_MaxTokens),
        codec::field("base", &Order::m_BaseModel),
        codec::field("role", &Order::m_Role));
  }
};

/// Accelerator memory. Never rejects an allocation but counts each
/// overcommitment, so that tests can verify the owner's accounting.
/// Thread safety: use from one thread.
class AcceleratorMemory {
public:
  explicit AcceleratorMemory(std::int64_t Capacity)
      : m_CapacityBytes(Capacity) {}

  void add(std::int64_t Bytes);
  void remove(std::int64_t Bytes) { m_UsedBytes -= Bytes; }

  std::int64_t m_CapacityBytes;
  std::int64_t m_UsedBytes = 0;
  std::int64_t m_HighWaterBytes = 0;
  /// Number of allocations that exceeded the capacity.
  std::int64_t m_OvercommitCount = 0;
};

/// Models that are loaded or loading. Thread safety: use from one thread.
class ModelTable {
public:
  struct Entry {
    Order m_Order; ///< The order that loaded the model.
    bool m_Ready = false;
    std::int64_t m_ActiveRequests = 0;
  };

  /// Returns null if the model is neither loaded nor loading.
  Entry *find(const std::string &Model);
  /// Returns null if the model is not ready to serve.
  Entry *findReady(const std::string &Model);
  bool hasAdapterOf(const std::string &Base) const;

  void add(const Order &Load) { m_Entries[Load.m_Model] = {Load}; }
  void remove(const std::string &Model) { m_Entries.erase(Model); }

  nlohmann::json describe() const;

private:
  std::map<std::string, Entry> m_Entries;
};

} // namespace sff::standin
