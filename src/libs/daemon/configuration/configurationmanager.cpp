#include "daemon/configuration/configurationmanager.h"

#include "convert/convert.h"
#include "daemon/configuration/configurationmessages.h"
#include "daemon/configuration/configurationspread.h"
#include "daemon/configuration/configurationstore.h"
#include "decision/configuration/changechecker.h"
#include "decision/configuration/changeplanner.h"
#include "observe/log.h"
#include "observe/metricregistry.h"
#include "observe/tracer.h"
#include "runtime/periodictask.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <utility>

namespace papayaspindle {

namespace {

std::optional<Error>
MakeError(ErrorKind aKind, const std::vector<std::string>& aViolations)
{
  if (aViolations.empty()) {
    return std::nullopt;
  }
  return Error{ aKind, fmt::format("{}", fmt::join(aViolations, "; ")) };
}

std::optional<Error>
Check(const ChangeRequest& aRequest, bool aCreate)
{
  std::optional<Error> error =
    MakeError(ErrorKind::MalformedRequest, CheckRequest(aRequest, aCreate));
  if (error) {
    return error;
  }
  return MakeError(ErrorKind::InvalidChange, CheckSettings(aRequest.mSettings));
}

} // namespace

struct ConfigurationManager::Private
{
  Private(const ConfigurationReferences& aReferences,
          const ConfigurationManagerSettings& aSettings)
    : mReferences(aReferences)
    , mSettings(aSettings)
    , mStore(aReferences.mTable, aReferences.mObjects)
    , mDriver(mStore,
              aSettings.mCommit,
              aReferences.mNow,
              aReferences.mUnixMs,
              aReferences.mPause)
    , mSpread(aReferences, aSettings, mStore)
  {
  }

  ConfigurationReferences mReferences;
  ConfigurationManagerSettings mSettings;
  ConfigurationStore mStore;
  CommitDriver mDriver;
  ConfigurationSpread mSpread;
  std::unique_ptr<PeriodicTask> mTicker;
};

ConfigurationManager::ConfigurationManager(const ConfigurationReferences& aReferences,
                                           ConfigurationManagerSettings aSettings)
  : mPrivate(std::make_unique<Private>(aReferences, aSettings))
{
  aReferences.mHandlers.Register("PullConfiguration",
                                 [this](const PeerRequest& aRequest) {
                                   return mPrivate->mSpread.HandlePull(aRequest);
                                 });
  aReferences.mHandlers.Register("PushConfiguration",
                                 [this](const PeerRequest& aRequest) {
                                   return mPrivate->mSpread.HandlePush(aRequest);
                                 });
}

ConfigurationManager::~ConfigurationManager()
{
  Stop();
}

void
ConfigurationManager::Start()
{
  mPrivate->mTicker =
    std::make_unique<PeriodicTask>(mPrivate->mSettings.mTickInterval, [this] { Tick(); });
}

void
ConfigurationManager::Stop()
{
  mPrivate->mTicker.reset();
  mPrivate->mSpread.Stop();
}

void
ConfigurationManager::Tick()
{
  mPrivate->mSpread.Tick();
}

void
ConfigurationManager::NotePeerRevision(const InstanceInfo& aPeer, std::uint64_t aRevision)
{
  mPrivate->mSpread.NotePeerRevision(aPeer, aRevision);
}

std::uint64_t
ConfigurationManager::Revision() const
{
  return mPrivate->mSpread.Revision();
}

v1::ChangeGroupReply
ConfigurationManager::Change(const v1::ChangeGroupRequest& aRequest, bool aCreate)
{
  v1::ChangeGroupReply reply;
  const ChangeRequest request = FromMessage(aRequest);
  if (const std::optional<Error> error = Check(request, aCreate)) {
    *reply.mutable_error() = ToMessage(*error);
    return reply;
  }
  Span span = mPrivate->mReferences.mTracer.Start("configuration_commit", "");
  span.SetAttribute("group", request.mSettings.mGroup.Text());
  const CommitFinished finished = mPrivate->mDriver.Commit(request);
  if (finished.mError) {
    span.SetError(finished.mError->mMessage);
    mPrivate->mReferences.mMetrics.Add("configuration_refused");
    *reply.mutable_error() = ToMessage(*finished.mError);
    reply.set_current_revision(finished.mCurrentRevision);
    return reply;
  }
  span.SetAttribute("revision", std::to_string(finished.mChange.mRevision));
  Log(LogLevel::Info,
      "configuration",
      "change_accepted",
      { { "group", request.mSettings.mGroup.Text() },
        { "revision", std::to_string(finished.mChange.mRevision) },
        { "request", request.mRequest.Text() } });
  mPrivate->mSpread.NoteCommitted(finished.mChange);
  reply.set_revision(finished.mChange.mRevision);
  return reply;
}

v1::PlanChangeReply
ConfigurationManager::Plan(const v1::ChangeGroupRequest& aRequest)
{
  v1::PlanChangeReply reply;
  const ChangeRequest request = FromMessage(aRequest);
  // A plan needs no request id.
  std::optional<Error> error =
    MakeError(ErrorKind::InvalidChange, CheckSettings(request.mSettings));
  const std::optional<GroupSettings> before =
    mPrivate->mSpread.Find(request.mSettings.mGroup);
  const std::uint64_t revision = before ? before->mRevision : 0;
  if (!error && revision != request.mExpectedRevision) {
    error = Error{ ErrorKind::RevisionConflict,
                   fmt::format("the group has revision {} here, not {}",
                               revision,
                               request.mExpectedRevision) };
  }
  if (before) {
    *reply.mutable_before() = ToMessage(*before);
  }
  *reply.mutable_after() = ToMessage(request.mSettings);
  if (error) {
    *reply.mutable_error() = ToMessage(*error);
    return reply;
  }
  for (std::string& effect :
       DescribeChange(before ? &*before : nullptr, request.mSettings)) {
    reply.add_effects(std::move(effect));
  }
  return reply;
}

} // namespace papayaspindle
