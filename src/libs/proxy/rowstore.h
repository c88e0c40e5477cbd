#pragma once

#include "core/timetypes.h"
#include "proxy/storefailure.h"
#include "proxy/storerevision.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace papayaspindle::proxy {

/** A row of a table in the shared store. */
struct StoredRow
{
  std::string mTable;
  std::string mKey;
  std::string mValue;
  /** Increases with each change of the store; 0 for a row that does not exist. */
  std::uint64_t mRevision = 0;
  /** Incarnation of the store in which the row was read. */
  std::uint64_t mIncarnation = 0;

  /** @return the revision with its incarnation */
  [[nodiscard]] StoreRevision Version() const { return { mIncarnation, mRevision }; }
};

/** All rows of a table at one point in time. */
struct TableSnapshot
{
  std::vector<StoredRow> mRows;
  /** Newest revision of the store. */
  std::uint64_t mRevision = 0;
  /** Time of the store's steady clock, in milliseconds. */
  std::uint64_t mStoreTimeMs = 0;
  /** Time since another instance has read the rows from the store; 0 if they were read
   * directly. */
  Duration mAge{};
  std::uint64_t mIncarnation = 0;

  /** @return the newest revision with its incarnation */
  [[nodiscard]] StoreRevision Version() const { return { mIncarnation, mRevision }; }
};

/** A write that takes effect only if the row still has the expected revision. */
struct ConditionalWrite
{
  /** New row; its mRevision is the revision that the stored row must have, and its
   * mIncarnation the one in which that revision was read. */
  StoredRow mRow;
};

/** Result of a conditional write that took effect. */
struct Written
{
  /** New revision of the row. */
  std::uint64_t mRevision = 0;
  std::uint64_t mStoreTimeMs = 0;
  std::uint64_t mIncarnation = 0;
};

/** Result of a conditional write that had no effect because the row had changed, or
 * because the expected revision is of another incarnation of the store. */
struct RowConflict
{};

using ReadResult = std::variant<TableSnapshot, StoreFailure>;
using WriteResult = std::variant<Written, RowConflict, StoreFailure>;

/** Result of a promotion call. */
enum class PromotionAnswer : std::uint8_t
{
  /** The member will become leader, or is the leader already. */
  Accepted,
  /** The platform has seen a newer fencing token, or the member is not running. */
  Refused,
  /** The call had no effect; it may be retried. */
  Unavailable,
  /** No answer arrived; the promotion may still take effect. */
  NoAnswer,
};

/** Parameters of a promotion call to the platform. */
struct PromotionCall
{
  std::string mGroup;
  std::string mMember;
  std::string mHolder;
  std::uint64_t mToken = 0;
};

/** Access to the shared store and to the platform's promotion call, for coordination
 * between instances. */
struct SharedStore
{
  /** Reads all rows of a table. */
  std::function<void(std::string_view aTable, std::function<void(const ReadResult&)>)>
    mRead;
  std::function<void(const ConditionalWrite&, std::function<void(const WriteResult&)>)>
    mWrite;
  std::function<void(const PromotionCall&, std::function<void(PromotionAnswer)>)>
    mPromote;
};

} // namespace papayaspindle::proxy
