#pragma once

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
  /** Rises with each change of the store; 0 for a row that doesn't exist. */
  std::uint64_t mRevision = 0;
};

/** All rows of a table as of one moment. */
struct TableSnapshot
{
  std::vector<StoredRow> mRows;
  /** Newest revision of the store. */
  std::uint64_t mRevision = 0;
  /** Steady clock of the store. */
  std::uint64_t mStoreTimeMs = 0;
};

/** Why a call to the store has no result. */
enum class StoreFailure : std::uint8_t
{
  /** The store refused it, or it was not sent: nothing was done. */
  Refused,
  /** It may have been done, or may be done later. */
  NoAnswer,
};

/** A write that happens only if the row still has a revision. */
struct ConditionalWrite
{
  /** mRevision is the revision that the row must have. */
  StoredRow mRow;
};

/** A conditional write was done. */
struct Written
{
  /** New revision of the row. */
  std::uint64_t mRevision = 0;
  std::uint64_t mStoreTimeMs = 0;
};

/** The row has changed meanwhile; nothing was done. */
struct RowConflict
{};

using ReadResult = std::variant<TableSnapshot, StoreFailure>;
using WriteResult = std::variant<Written, RowConflict, StoreFailure>;

/** How a promotion call ended. */
enum class PromotionAnswer : std::uint8_t
{
  /** The member will lead, or leads already. */
  Accepted,
  /** A newer token was seen, or the member doesn't run. */
  Refused,
  /** Nothing was done; worth another try. */
  Unavailable,
  /** It may be done later. */
  NoAnswer,
};

/** A promotion as the platform needs it. */
struct PromotionCall
{
  std::string mGroup;
  std::string mMember;
  std::string mHolder;
  std::uint64_t mToken = 0;
};

/** Shared state and the promotion call, as the coordination of instances uses them. */
struct SharedStore
{
  /** Reads a table. */
  std::function<void(std::string_view aTable, std::function<void(const ReadResult&)>)>
    mRead;
  std::function<void(const ConditionalWrite&, std::function<void(const WriteResult&)>)>
    mWrite;
  std::function<void(const PromotionCall&, std::function<void(PromotionAnswer)>)>
    mPromote;
};

} // namespace papayaspindle::proxy
