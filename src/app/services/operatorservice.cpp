#include "services/operatorservice.h"

#include "commandline/commandline.h"

#include <utility>

namespace papayaspindle {

namespace {

// Looks are answered while the instance drains; changes are not.
constexpr bool kLook = true;
constexpr bool kChange = false;

std::string_view
LivenessName(Liveness aLiveness)
{
  switch (aLiveness) {
    case Liveness::Alive:
      return "alive";
    case Liveness::Suspect:
      return "suspect";
    case Liveness::Dead:
      return "dead";
    case Liveness::Leaving:
      return "leaving";
  }
  return "unknown";
}

} // namespace

OperatorService::OperatorService(OperatorSources aSources, CallDispatcher aDispatcher)
  : mSources(std::move(aSources))
  , mDispatcher(aDispatcher)
{
}

grpc::ServerUnaryReactor*
OperatorService::CreateGroup(grpc::CallbackServerContext* aContext,
                             const v1::ChangeGroupRequest* aRequest,
                             v1::ChangeGroupReply* aReply)
{
  return mDispatcher.Dispatch(
    aContext, aReply, kChange, [this, aRequest, aReply](const std::string&) {
      *aReply = mSources.mConfiguration.Change(*aRequest, true);
    });
}

grpc::ServerUnaryReactor*
OperatorService::ChangeGroup(grpc::CallbackServerContext* aContext,
                             const v1::ChangeGroupRequest* aRequest,
                             v1::ChangeGroupReply* aReply)
{
  return mDispatcher.Dispatch(
    aContext, aReply, kChange, [this, aRequest, aReply](const std::string&) {
      *aReply = mSources.mConfiguration.Change(*aRequest, false);
    });
}

grpc::ServerUnaryReactor*
OperatorService::PlanChange(grpc::CallbackServerContext* aContext,
                            const v1::ChangeGroupRequest* aRequest,
                            v1::PlanChangeReply* aReply)
{
  return mDispatcher.Dispatch(
    aContext, aReply, kLook, [this, aRequest, aReply](const std::string&) {
      *aReply = mSources.mConfiguration.Plan(*aRequest);
    });
}

grpc::ServerUnaryReactor*
OperatorService::ListGroups(grpc::CallbackServerContext* aContext,
                            const v1::ListGroupsRequest*,
                            v1::ListGroupsReply* aReply)
{
  return mDispatcher.Dispatch(
    aContext, aReply, kLook, [this, aReply](const std::string&) {
      for (const GroupId& group : mSources.mGroups.Names()) {
        if (const auto settings = mSources.mGroups.Settings(group)) {
          *aReply->add_groups() = ToMessage(*settings);
        }
      }
      aReply->set_revision(mSources.mConfiguration.Revision());
    });
}

grpc::ServerUnaryReactor*
OperatorService::ShowGroup(grpc::CallbackServerContext* aContext,
                           const v1::ShowGroupRequest* aRequest,
                           v1::ShowGroupReply* aReply)
{
  return mDispatcher.Dispatch(
    aContext, aReply, kLook, [this, aRequest, aReply](const std::string&) {
      FillGroup(GroupId(aRequest->group()), *aReply);
    });
}

grpc::ServerUnaryReactor*
OperatorService::ShowInstance(grpc::CallbackServerContext* aContext,
                              const v1::ShowInstanceRequest*,
                              v1::ShowInstanceReply* aReply)
{
  return mDispatcher.Dispatch(
    aContext, aReply, kLook, [this, aReply](const std::string&) {
      FillInstance(*aReply);
    });
}

grpc::ServerUnaryReactor*
OperatorService::Metrics(grpc::CallbackServerContext* aContext,
                         const v1::MetricsRequest*,
                         v1::MetricsReply* aReply)
{
  return mDispatcher.Dispatch(
    aContext, aReply, kLook, [this, aReply](const std::string&) {
      FillMetrics(*aReply);
    });
}

void
OperatorService::FillGroup(const GroupId& aGroup, v1::ShowGroupReply& aReply) const
{
  const auto settings = mSources.mGroups.Settings(aGroup);
  if (!settings) {
    CallDispatcher::SetError(&aReply, ErrorKind::UnknownGroup);
    return;
  }
  *aReply.mutable_settings() = ToMessage(*settings);
  const GroupView view = mSources.mGroups.View(aGroup);
  aReply.set_term(view.mTerm);
  aReply.set_primary(view.mPrimary.Text());
  for (const InstanceId& home : mSources.mHomes.HomesOf(aGroup)) {
    aReply.add_homes(home.Text());
  }
  if (aReply.homes_size() > 0) {
    aReply.set_keeper(aReply.homes(0));
  }
  for (const GroupReportHook& report : mSources.mReports) {
    report(aGroup, aReply);
  }
}

void
OperatorService::FillInstance(v1::ShowInstanceReply& aReply) const
{
  const InstanceInfo self = mSources.mInstances.Self();
  aReply.set_instance(self.mInstance.Text());
  aReply.set_availability_zone(self.mAvailabilityZone.Text());
  aReply.set_version(std::string(Version()));
  aReply.set_configuration_revision(mSources.mConfiguration.Revision());
  aReply.set_draining(mDispatcher.mGate.Draining());
  for (const InstanceInfo& peer : mSources.mInstances.All()) {
    if (peer.mInstance == self.mInstance) {
      continue;
    }
    v1::PeerState* state = aReply.add_peers();
    state->set_instance(peer.mInstance.Text());
    state->set_availability_zone(peer.mAvailabilityZone.Text());
    state->set_state(std::string(LivenessName(peer.mLiveness)));
    state->set_incarnation(peer.mIncarnation);
  }
  for (const std::string& line : mSources.mEffectiveSettings) {
    aReply.add_effective_settings(line);
  }
}

void
OperatorService::FillMetrics(v1::MetricsReply& aReply) const
{
  for (const MetricValue& value : mSources.mMetrics.Snapshot()) {
    v1::Metric* metric = aReply.add_metrics();
    metric->set_name(value.mName);
    metric->set_unit(value.mUnit);
    metric->set_count(value.mCount);
    metric->set_value(value.mValue);
    metric->set_p50(value.mP50);
    metric->set_p99(value.mP99);
    metric->set_max(value.mMax);
    for (const MetricBin& bin : value.mBins) {
      v1::HistogramBin* message = metric->add_bins();
      message->set_lower(bin.mLower);
      message->set_upper(bin.mUpper);
      message->set_count(bin.mCount);
    }
  }
}

} // namespace papayaspindle
