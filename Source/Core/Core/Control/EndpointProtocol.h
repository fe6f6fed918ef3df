#pragma once

#include "Common/Codec/Fields.h"
#include "Common/Identity/Ids.h"

#include <cstdint>

#include <string>
#include <vector>

namespace sff::control {

using codec::field;

/// Body of one order to an engine's control interface. Orders are idempotent:
/// an engine executes an order id once and returns the first result when the id
/// is repeated.
struct OrderRequest {
  std::string m_OrderId;
  Offset m_FencingToken = 0;
  std::string m_Kind; ///< load, unload, role or fence.
  EntryName m_Model;
  std::string m_Version;
  std::int64_t m_Bytes = 0;
  std::int64_t m_BytesPerToken = 0;
  std::int64_t m_MaxTokens = 0;
  EntryName m_Base;

  static constexpr auto describe() {
    return std::make_tuple(
        field("order_id", &OrderRequest::m_OrderId),
        field("fencing_token", &OrderRequest::m_FencingToken),
        field("kind", &OrderRequest::m_Kind),
        field("model", &OrderRequest::m_Model),
        field("version", &OrderRequest::m_Version),
        field("bytes", &OrderRequest::m_Bytes),
        field("bytes_per_token", &OrderRequest::m_BytesPerToken),
        field("max_tokens", &OrderRequest::m_MaxTokens),
        field("base", &OrderRequest::m_Base));
  }
};

/// A model or adapter that the endpoint is loading or has loaded.
struct InventoryModel {
  EntryName m_Model;
  std::string m_State; ///< loading or ready.
  std::string m_Version;
  std::int64_t m_Bytes = 0;
  EntryName m_Base; ///< Base model of an adapter; empty for a model.

  static constexpr auto describe() {
    return std::make_tuple(field("model", &InventoryModel::m_Model),
                           field("base", &InventoryModel::m_Base),
                           field("state", &InventoryModel::m_State),
                           field("version", &InventoryModel::m_Version),
                           field("bytes", &InventoryModel::m_Bytes));
  }
};

/// A request that runs at the endpoint.
struct InventoryRequest {
  IncarnationId m_Router;
  std::int64_t m_Bytes = 0;

  static constexpr auto describe() {
    return std::make_tuple(field("router", &InventoryRequest::m_Router),
                           field("bytes", &InventoryRequest::m_Bytes));
  }
};

/// Weights that the endpoint caches outside accelerator memory.
struct CachedWeights {
  EntryName m_Model;
  std::string m_Version;
  std::string m_Location; ///< memory or disk.

  static constexpr auto describe() {
    return std::make_tuple(field("model", &CachedWeights::m_Model),
                           field("version", &CachedWeights::m_Version),
                           field("where", &CachedWeights::m_Location));
  }
};

/// Response to `GET /control/inventory`.
struct Inventory {
  std::string m_Incarnation;
  std::int64_t m_MemoryBytes = 0;
  Offset m_HighestToken = 0;
  std::vector<InventoryModel> m_Models;
  std::vector<InventoryRequest> m_Running;
  std::vector<CachedWeights> m_CachedWeights;

  static constexpr auto describe() {
    return std::make_tuple(field("incarnation", &Inventory::m_Incarnation),
                           field("memory_bytes", &Inventory::m_MemoryBytes),
                           field("highest_token", &Inventory::m_HighestToken),
                           field("models", &Inventory::m_Models),
                           field("running", &Inventory::m_Running),
                           field("cached", &Inventory::m_CachedWeights));
  }
};

} // namespace sff::control
