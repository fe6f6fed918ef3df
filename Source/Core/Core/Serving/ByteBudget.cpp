#include "Core/Serving/ByteBudget.h"

namespace sff::serving {

bool ByteBudget::Share::resize(std::size_t Size) {
  const std::size_t Wanted = Size > SmallBytes ? Size : 0;
  const std::size_t Others = m_Budget.m_Used - m_Taken;
  if (Wanted > m_Taken && Others + Wanted > m_Budget.m_Capacity)
    return false;
  m_Budget.m_Used = Others + Wanted;
  m_Taken = Wanted;
  return true;
}

} // namespace sff::serving
