#pragma once

#include "proxy/rowstore.h"

#include <cstdint>
#include <string>

namespace papayaspindle::proxy {

/** @return a row whose value names its key and revision */
inline StoredRow
Row(const std::string& aKey, std::uint64_t aRevision)
{
  StoredRow row;
  row.mKey = aKey;
  row.mValue = aKey + std::to_string(aRevision);
  row.mRevision = aRevision;
  return row;
}

} // namespace papayaspindle::proxy
