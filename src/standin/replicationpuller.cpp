#include "standin/replicationpuller.h"

#include "backend.grpc.pb.h"
#include "convert/convert.h"
#include "runtime/periodictask.h"
#include "standin/callername.h"
#include "standin/faultswitches.h"
#include "standin/member.h"

#include <atomic>
#include <chrono>
#include <mutex>
#include <optional>
#include <thread>

#include <grpcpp/create_channel.h>
#include <grpcpp/security/credentials.h>

namespace papayaspindle::standin {

namespace {

constexpr std::chrono::milliseconds kCheckInterval{ 10 };
constexpr std::chrono::milliseconds kReconnectPause{ 20 };
/** A stream this long without a batch is given up; batches come every 50 ms. */
constexpr std::chrono::milliseconds kSilenceLimit{ 1000 };

std::unique_ptr<v1::Backend::Stub>
ConnectTo(const std::string& aAddress)
{
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  // A pool of its own, so that a new channel connects at once instead of waiting out the
  // back-off of the one before.
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  return v1::Backend::NewStub(
    grpc::CreateCustomChannel(aAddress, grpc::InsecureChannelCredentials(), arguments));
}

} // namespace

struct ReplicationPuller::Private
{
  std::string mName;
  Member& mMember;
  FaultSwitches& mSwitches;
  std::atomic<bool> mStopping{ false };

  /** Guards the three members below, which the watch task reads. */
  std::mutex mMutex;
  grpc::ClientContext* mOpenPull = nullptr;
  ReplicationSource mSource;
  TimePoint mHeardAt;

  std::thread mThread;
  std::unique_ptr<PeriodicTask> mWatch;

  void Loop();
  void Pull(const ReplicationSource& aSource);
  void Watch();
};

void
ReplicationPuller::Private::Loop()
{
  while (!mStopping) {
    const std::optional<ReplicationSource> source = mMember.Source();
    if (source.has_value() && mSwitches.Passes(source->mPrimary.member())) {
      Pull(*source);
    }
    std::this_thread::sleep_for(kReconnectPause);
  }
}

void
ReplicationPuller::Private::Pull(const ReplicationSource& aSource)
{
  const auto stub = ConnectTo(aSource.mPrimary.address());
  grpc::ClientContext context;
  context.AddMetadata(kFromMetadataKey, mName);
  {
    const std::lock_guard lock(mMutex);
    mOpenPull = &context;
    mSource = aSource;
    mHeardAt = Clock::now();
  }
  v1::ReplicateRequest request;
  request.set_member(mName);
  request.set_term(aSource.mTerm);
  for (const LogPosition& end : aSource.mTermEnds) {
    *request.add_term_ends() = ToMessage(end);
  }
  const auto reader = stub->Replicate(&context, request);
  v1::ReplicateBatch batch;
  while (reader->Read(&batch)) {
    // A batch that arrives while this member is cut off counts as not arrived.
    if (!mSwitches.Passes(aSource.mPrimary.member()) || !mMember.Receive(batch)) {
      context.TryCancel();
      break;
    }
    const std::lock_guard lock(mMutex);
    mHeardAt = Clock::now();
  }
  reader->Finish();
  const std::lock_guard lock(mMutex);
  mOpenPull = nullptr;
}

void
ReplicationPuller::Private::Watch()
{
  const std::lock_guard lock(mMutex);
  if (mOpenPull == nullptr) {
    return;
  }
  if (mStopping || Clock::now() - mHeardAt > kSilenceLimit ||
      !mMember.IsSource(mSource) || !mSwitches.Passes(mSource.mPrimary.member())) {
    mOpenPull->TryCancel();
  }
}

ReplicationPuller::ReplicationPuller(std::string aName,
                                     Member& aMember,
                                     FaultSwitches& aSwitches)
  : mPrivate(new Private{ std::move(aName), aMember, aSwitches })
{
  mPrivate->mThread = std::thread([this] { mPrivate->Loop(); });
  mPrivate->mWatch =
    std::make_unique<PeriodicTask>(kCheckInterval, [this] { mPrivate->Watch(); });
}

ReplicationPuller::~ReplicationPuller()
{
  mPrivate->mStopping = true;
  mPrivate->mThread.join();
}

} // namespace papayaspindle::standin
