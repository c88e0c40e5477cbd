#pragma once

#include "core/error.h"
#include "decision/configuration/commitrun.h"
#include "decision/configuration/configurationchange.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace papayaspindle {

class ObjectStorage;
class TableStore;

/** Part of the change log. */
struct ChangeLogPage
{
  std::vector<ConfigurationChange> mChanges;
  /** Whether the log goes on after them. */
  bool mMore = false;
};

/** What became of a transaction. */
enum class TransactOutcome : std::uint8_t
{
  Committed,
  Conflict,
  /** It certainly did nothing. */
  NotRun,
  /** It may take effect, now or later. */
  Unknown,
};

/**
 * The configuration's rows and objects at the platform.
 *
 * Rows of table "configuration": "head" holds the last revision as decimal text,
 * "change/<revision>" and "request/<id>" hold a ConfigurationChange, "group/<name>" holds
 * GroupSettings. Snapshots are objects "configuration/<revision>". Revisions in names
 * have 20 digits, so that their order is that of the text.
 */
class ConfigurationStore
{
public:
  ConfigurationStore(TableStore& aTable, ObjectStorage& aObjects);

  /** Reads head, group and request rows, in this order. Errors: StoreUnavailable. */
  Result<CommitRows> ReadRows(const ChangeRequest& aRequest,
                              std::chrono::milliseconds aCallTimeout);
  TransactOutcome Transact(const TransactChange& aTransact,
                           std::chrono::milliseconds aCallTimeout);
  /** Reads changes above the revision, in order. Errors: StoreUnavailable. */
  Result<ChangeLogPage> ReadLog(std::uint64_t aAfterRevision,
                                std::chrono::milliseconds aCallTimeout);
  /**
   * Reads the latest snapshot.
   *
   * @return the snapshot; of revision 0 when there is none. Errors: StoreUnavailable.
   */
  Result<ConfigurationSnapshot> ReadSnapshot(std::chrono::milliseconds aCallTimeout);
  Status WriteSnapshot(const ConfigurationSnapshot& aSnapshot,
                       std::chrono::milliseconds aCallTimeout);

private:
  TableStore& mTable;
  ObjectStorage& mObjects;
};

} // namespace papayaspindle
