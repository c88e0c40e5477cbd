#include "daemon/statements/transactiontable.h"

#include <fmt/format.h>

#include <array>
#include <string_view>
#include <utility>

namespace papayaspindle {

namespace {

constexpr char kSeparator = '~';
constexpr std::size_t kParts = 4;

} // namespace

std::optional<TransactionAddress>
ParseTransactionId(const TransactionId& aId)
{
  std::array<std::string, kParts> parts;
  std::string_view rest = aId.Text();
  for (std::size_t i = 0; i < kParts; ++i) {
    const auto end = rest.find(kSeparator);
    const bool isLast = i + 1 == kParts;
    if (isLast != (end == std::string_view::npos)) {
      return std::nullopt;
    }
    parts[i] = rest.substr(0, end);
    if (parts[i].empty()) {
      return std::nullopt;
    }
    rest.remove_prefix(isLast ? rest.size() : end + 1);
  }
  return TransactionAddress{ InstanceId(parts[0]), GroupId(parts[1]) };
}

TransactionTable::TransactionTable(InstanceId aHome,
                                   Duration aIdleTimeout,
                                   NowHook aNow,
                                   RandomHook aRandom)
  : mHome(std::move(aHome))
  , mIdleTimeout(aIdleTimeout)
  , mNow(std::move(aNow))
  , mRandom(std::move(aRandom))
{
}

TransactionId
TransactionTable::Add(const OpenTransaction& aTransaction)
{
  const auto now = mNow();
  const std::lock_guard lock(mMutex);
  const TransactionId id(fmt::format("{}{}{}{}{}{}{:016x}{:016x}",
                                     mHome.Text(),
                                     kSeparator,
                                     aTransaction.mGroup.Text(),
                                     kSeparator,
                                     ++mCounter,
                                     kSeparator,
                                     mRandom(),
                                     mRandom()));
  mEntries[id] = { aTransaction, now, false };
  return id;
}

Result<OpenTransaction>
TransactionTable::Borrow(const TransactionId& aId)
{
  const std::lock_guard lock(mMutex);
  const auto found = mEntries.find(aId);
  if (found == mEntries.end()) {
    return Error{ ErrorKind::UnknownTransaction, "" };
  }
  if (found->second.mIsLent) {
    return Error{ ErrorKind::MalformedRequest,
                  "another statement of the transaction is running" };
  }
  found->second.mIsLent = true;
  return found->second.mTransaction;
}

void
TransactionTable::Return(const TransactionId& aId, const OpenTransaction& aTransaction)
{
  const auto now = mNow();
  const std::lock_guard lock(mMutex);
  const auto found = mEntries.find(aId);
  if (found != mEntries.end()) {
    found->second = { aTransaction, now, false };
  }
}

void
TransactionTable::Remove(const TransactionId& aId)
{
  const std::lock_guard lock(mMutex);
  mEntries.erase(aId);
}

std::vector<OpenTransaction>
TransactionTable::RemoveIdle()
{
  const auto now = mNow();
  const std::lock_guard lock(mMutex);
  std::vector<OpenTransaction> idle;
  for (auto entry = mEntries.begin(); entry != mEntries.end();) {
    const bool isIdle =
      !entry->second.mIsLent && now - entry->second.mLastUsed > mIdleTimeout;
    if (isIdle) {
      idle.push_back(entry->second.mTransaction);
    }
    entry = isIdle ? mEntries.erase(entry) : std::next(entry);
  }
  return idle;
}

std::size_t
TransactionTable::Count() const
{
  const std::lock_guard lock(mMutex);
  return mEntries.size();
}

} // namespace papayaspindle
