#include "Core/Relay/RecordCache.h"

#include <algorithm>

namespace sff::relay {

void RecordCache::restart(Offset Next) {
  m_Items.clear();
  m_Bytes = 0;
  m_First = Next;
  m_Next = Next;
}

RecordCache::Extension
RecordCache::extend(Offset From, Offset First,
                    std::vector<messages::StreamRecord> Records,
                    std::vector<messages::StreamRecord> &Added) {
  if (From > m_Next)
    return Extension::None;
  if (First > m_Next)
    return Extension::Gap;
  bool HasNew = false;
  for (messages::StreamRecord &Record : Records) {
    if (Record.m_Offset < m_Next)
      continue;
    Added.push_back(Record);
    add(std::move(Record));
    HasNew = true;
  }
  return HasNew ? Extension::Extended : Extension::None;
}

void RecordCache::add(messages::StreamRecord Record) {
  m_Next = Record.m_Offset + 1;
  const std::size_t Bytes = Record.m_Data.dump().size();
  m_Items.push_back({std::move(Record), Bytes});
  m_Bytes += Bytes;
  while (m_Items.size() > m_Limits.m_Records ||
         (m_Bytes > m_Limits.m_Bytes && m_Items.size() > 1)) {
    m_Bytes -= m_Items.front().m_Bytes;
    m_First = m_Items.front().m_Record.m_Offset + 1;
    m_Items.pop_front();
  }
}

std::vector<messages::StreamRecord>
RecordCache::read(Offset From, std::size_t MaxRecords,
                  std::size_t MaxBytes) const {
  auto It = std::ranges::lower_bound(m_Items, From, {}, [](const Item &Cached) {
    return Cached.m_Record.m_Offset;
  });
  std::vector<messages::StreamRecord> Result;
  std::size_t Bytes = 0;
  for (; It != m_Items.end() && Result.size() < MaxRecords; ++It) {
    Bytes += It->m_Bytes;
    if (!Result.empty() && Bytes > MaxBytes)
      break;
    Result.push_back(It->m_Record);
  }
  return Result;
}

} // namespace sff::relay
