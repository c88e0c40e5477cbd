#pragma once

#include "core/error.h"
#include "decision/allowance/allocationrecord.h"
#include "decision/allowance/authorityrow.h"

#include <cstdint>
#include <optional>

namespace papayaspindle {

class TableStore;

/** What becomes of a compare-and-set. */
enum class WriteOutcome : std::uint8_t
{
  Committed,
  Conflict,
};

/** Rows to write in one transaction, each over the version that it carries. */
struct AllowanceWrite
{
  std::optional<AllocationRecord> mRecord;
  /** Key of mAuthority. */
  InstanceId mInstance;
  std::optional<AuthorityRow> mAuthority;
};

/**
 * The tables "allowances" (key: group) and "authority" (key: instance).
 *
 * Calls block for at most 500 ms. Errors: StoreUnavailable; OutcomeUnknown for a write
 * that may have taken effect.
 */
class AllowanceStore
{
public:
  explicit AllowanceStore(TableStore& aTables);

  /** @return the record; version 0 when there is none */
  Result<AllocationRecord> ReadRecord(const GroupId& aGroup);
  /** @return the row; version 0 when there is none */
  Result<AuthorityRow> ReadAuthority(const InstanceId& aInstance);
  Result<WriteOutcome> Write(const AllowanceWrite& aWrite);

private:
  TableStore& mTables;
};

} // namespace papayaspindle
