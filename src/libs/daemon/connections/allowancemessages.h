#pragma once

#include "allowance.pb.h"
#include "decision/allowance/allocationrecord.h"
#include "decision/allowance/authorityrow.h"

#include <cstdint>

namespace papayaspindle {

/** @return the record as a message; group and version belong to the row */
v1::AllocationRecord ToMessage(const AllocationRecord& aRecord);
/** @return the message as the record of that row */
AllocationRecord FromMessage(const v1::AllocationRecord& aMessage,
                             const GroupId& aGroup,
                             std::uint64_t aVersion);

/** @return the row as a message; the version belongs to the table service's row */
v1::AuthorityRow ToMessage(const AuthorityRow& aRow);
/** @return the message as a row of that version */
AuthorityRow FromMessage(const v1::AuthorityRow& aMessage, std::uint64_t aVersion);

} // namespace papayaspindle
