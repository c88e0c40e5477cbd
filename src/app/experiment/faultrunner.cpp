#include "experiment/faultrunner.h"

#include "standin.grpc.pb.h"
#include "standin/faultassignment.h"

#include <chrono>
#include <memory>
#include <utility>

#include <grpcpp/create_channel.h>
#include <grpcpp/security/credentials.h>

namespace papayaspindle::experiment {

namespace {

constexpr std::chrono::seconds kCallTimeout{ 5 };

void
SetDeadline(grpc::ClientContext& aContext)
{
  aContext.set_deadline(std::chrono::system_clock::now() + kCallTimeout);
}

/** @return an error text, empty for none */
std::string
Apply(const FaultStep& aStep)
{
  if (aStep.mAction == FaultAction::Report) {
    return {};
  }
  const auto stub = v1::Faults::NewStub(
    grpc::CreateChannel("ipv4:" + aStep.mTarget, grpc::InsecureChannelCredentials()));
  v1::FaultSettings settings;
  if (aStep.mAction == FaultAction::Set) {
    grpc::ClientContext context;
    SetDeadline(context);
    const grpc::Status read = stub->ReadFaults(&context, {}, &settings);
    if (!read.ok()) {
      return read.error_message();
    }
    for (const std::string& word : aStep.mWords) {
      const Status assigned = standin::AssignFault(word, settings);
      if (!IsOk(assigned)) {
        return ErrorOf(assigned).mMessage;
      }
    }
  }
  grpc::ClientContext context;
  SetDeadline(context);
  v1::FaultReply reply;
  return stub->SetFaults(&context, settings, &reply).error_message();
}

} // namespace

FaultRunner::FaultRunner(std::vector<FaultStep> aSteps,
                         TimePoint aStart,
                         ReportHook aReport)
  : mSteps(std::move(aSteps))
  , mStart(aStart)
  , mReport(std::move(aReport))
{
  mThread = std::thread([this] { Loop(); });
}

FaultRunner::~FaultRunner()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
  }
  mWake.notify_all();
  mThread.join();
}

void
FaultRunner::Loop()
{
  for (const FaultStep& step : mSteps) {
    std::unique_lock lock(mMutex);
    if (mWake.wait_until(lock, mStart + step.mAt, [this] { return mStopping; })) {
      return;
    }
    lock.unlock();
    mReport(step, Apply(step));
  }
}

} // namespace papayaspindle::experiment
