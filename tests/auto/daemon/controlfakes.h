#pragma once

#include "interfaces/instancelisting.h"
#include "interfaces/instances.h"
#include "interfaces/objectstorage.h"
#include "interfaces/peercalls.h"
#include "interfaces/peerhandlers.h"
#include "interfaces/tablestore.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace papayaspindle {

/** Handlers of one node. */
class FakeHandlers : public PeerHandlers
{
public:
  void Register(std::string_view aMethod, PeerHandler aHandler) override
  {
    mHandlers[std::string(aMethod)] = std::move(aHandler);
  }
  std::map<std::string, PeerHandler> mHandlers;
};

/** Calls the handlers of the addressed node at once; nodes that are down do not answer.
 */
class FakePeers : public PeerCalls
{
public:
  Result<std::string> Call(const PeerCall& aCall) override
  {
    ++mCalls[aCall.mMethod];
    if (mDown.contains(aCall.mAddress) || !mNodes.contains(aCall.mAddress)) {
      return Error{ ErrorKind::PeerUnreachable, "down" };
    }
    return mNodes[aCall.mAddress]->mHandlers[aCall.mMethod](
      { aCall.mMethod, aCall.mBody, aCall.mTraceparent });
  }
  std::map<std::string, FakeHandlers*> mNodes;
  std::set<std::string> mDown;
  std::map<std::string, int> mCalls;
};

/** The platform's list as set by the test. */
class FakeListing : public InstanceListing
{
public:
  Result<v1::ListInstancesReply> List(std::chrono::milliseconds /*aTimeout*/) override
  {
    if (mIsDown) {
      return Error{ ErrorKind::StoreUnavailable, "down" };
    }
    return mReply;
  }
  v1::ListInstancesReply mReply;
  bool mIsDown = false;
};

/** The table service in memory. */
class FakeTables : public TableStore
{
public:
  enum class Fault : std::uint8_t
  {
    None,
    Down,
    /** The next transaction takes effect and its answer is lost. */
    LoseAnswer,
  };

  Result<v1::TableReadReply> Read(const v1::TableReadRequest& aRequest,
                                  std::chrono::milliseconds /*aTimeout*/) override
  {
    if (mFault == Fault::Down) {
      return Error{ ErrorKind::StoreUnavailable, "down" };
    }
    v1::TableReadReply reply;
    *reply.mutable_row() = mRows[aRequest.key()];
    return reply;
  }

  Result<v1::TableScanReply> Scan(const v1::TableScanRequest& aRequest,
                                  std::chrono::milliseconds /*aTimeout*/) override
  {
    if (mFault == Fault::Down) {
      return Error{ ErrorKind::StoreUnavailable, "down" };
    }
    v1::TableScanReply reply;
    for (const auto& [key, row] : mRows) {
      const bool inside = key >= aRequest.from_key() && key < aRequest.to_key();
      if (!inside || row.version() == 0) {
        continue;
      }
      if (reply.rows_size() == static_cast<int>(aRequest.limit())) {
        reply.set_more(true);
        break;
      }
      *reply.add_rows() = row;
    }
    return reply;
  }

  Result<v1::TransactReply> Transact(const v1::TransactRequest& aRequest,
                                     std::chrono::milliseconds /*aTimeout*/) override
  {
    if (mFault == Fault::Down) {
      return Error{ ErrorKind::StoreUnavailable, "down" };
    }
    v1::TransactReply reply;
    reply.set_committed(true);
    for (const v1::RowCondition& condition : aRequest.conditions()) {
      if (mRows[condition.key()].version() != condition.version()) {
        reply.set_committed(false);
      }
    }
    for (const v1::RowChange& change : aRequest.changes()) {
      if (reply.committed()) {
        v1::TableRow& row = mRows[change.key()];
        row.set_key(change.key());
        row.set_value(change.value());
        row.set_version(row.version() + 1);
      }
    }
    if (std::exchange(mFault, Fault::None) == Fault::LoseAnswer) {
      return Error{ ErrorKind::OutcomeUnknown, "lost" };
    }
    return reply;
  }

  std::map<std::string, v1::TableRow> mRows;
  Fault mFault = Fault::None;
};

/** The object store in memory. */
class FakeObjects : public ObjectStorage
{
public:
  Result<v1::PutObjectReply> Put(const v1::PutObjectRequest& aRequest,
                                 std::chrono::milliseconds /*aTimeout*/) override
  {
    if (mIsDown) {
      return Error{ ErrorKind::StoreUnavailable, "down" };
    }
    mObjects[aRequest.name()] = aRequest.content();
    return v1::PutObjectReply();
  }
  Result<v1::FetchObjectReply> Fetch(const v1::FetchObjectRequest& aRequest,
                                     std::chrono::milliseconds /*aTimeout*/) override
  {
    v1::FetchObjectReply reply;
    reply.set_found(mObjects.contains(aRequest.name()));
    reply.set_content(mObjects[aRequest.name()]);
    return reply;
  }
  Result<v1::ListObjectsReply> List(const v1::ListObjectsRequest& /*aRequest*/,
                                    std::chrono::milliseconds /*aTimeout*/) override
  {
    if (mIsDown) {
      return Error{ ErrorKind::StoreUnavailable, "down" };
    }
    v1::ListObjectsReply reply;
    for (const auto& [name, content] : mObjects) {
      reply.add_names(name);
    }
    return reply;
  }
  std::map<std::string, std::string> mObjects;
  bool mIsDown = false;
};

/** Membership as set by the test. */
class FakeInstances : public Instances
{
public:
  [[nodiscard]] InstanceInfo Self() const override { return mSelf; }
  [[nodiscard]] std::vector<InstanceInfo> Live() const override { return mLive; }
  [[nodiscard]] std::vector<InstanceInfo> All() const override { return mLive; }
  [[nodiscard]] std::optional<InstanceInfo> Find(
    const InstanceId& /*aInstance*/) const override
  {
    return std::nullopt;
  }
  [[nodiscard]] bool MayActAsKeeper() const override { return true; }

  InstanceInfo mSelf;
  std::vector<InstanceInfo> mLive;
};

} // namespace papayaspindle
