#include "convert/convert.h"

namespace papayaspindle {

namespace {

v1::PeerLiveness
LivenessMessage(Liveness aLiveness)
{
  switch (aLiveness) {
    case Liveness::Alive:
      return v1::PEER_LIVENESS_ALIVE;
    case Liveness::Suspect:
      return v1::PEER_LIVENESS_SUSPECT;
    case Liveness::Dead:
      return v1::PEER_LIVENESS_DEAD;
    case Liveness::Leaving:
      return v1::PEER_LIVENESS_LEAVING;
  }
  return v1::PEER_LIVENESS_UNSPECIFIED;
}

Liveness
LivenessFromMessage(v1::PeerLiveness aLiveness)
{
  switch (aLiveness) {
    case v1::PEER_LIVENESS_SUSPECT:
      return Liveness::Suspect;
    case v1::PEER_LIVENESS_DEAD:
      return Liveness::Dead;
    case v1::PEER_LIVENESS_LEAVING:
      return Liveness::Leaving;
    default:
      return Liveness::Alive;
  }
}

} // namespace

v1::LogPosition
ToMessage(const LogPosition& aPosition)
{
  v1::LogPosition message;
  message.set_term(aPosition.mTerm);
  message.set_index(aPosition.mIndex);
  return message;
}

LogPosition
FromMessage(const v1::LogPosition& aMessage)
{
  return { aMessage.term(), aMessage.index() };
}

v1::GroupSettings
ToMessage(const GroupSettings& aSettings)
{
  v1::GroupSettings message;
  message.set_group(aSettings.mGroup.Text());
  for (const MemberSettings& member : aSettings.mMembers) {
    v1::MemberSettings& added = *message.add_members();
    added.set_member(member.mMember.Text());
    added.set_address(member.mAddress);
    added.set_availability_zone(member.mAvailabilityZone.Text());
    added.set_leaving(member.mLeaving);
  }
  message.set_slots(aSettings.mSlots);
  message.set_connection_limit(aSettings.mConnectionLimit);
  for (const StalenessRule& rule : aSettings.mStalenessRules) {
    v1::StalenessRule& added = *message.add_staleness_rules();
    added.set_name(rule.mName);
    added.set_max_staleness_ms(static_cast<std::uint64_t>(rule.mMaxStaleness.count()));
  }
  message.set_revision(aSettings.mRevision);
  return message;
}

GroupSettings
FromMessage(const v1::GroupSettings& aMessage)
{
  GroupSettings settings;
  settings.mGroup = GroupId(aMessage.group());
  for (const v1::MemberSettings& member : aMessage.members()) {
    settings.mMembers.push_back({ MemberId(member.member()),
                                  member.address(),
                                  AvailabilityZone(member.availability_zone()),
                                  member.leaving() });
  }
  settings.mSlots = aMessage.slots();
  settings.mConnectionLimit = aMessage.connection_limit();
  for (const v1::StalenessRule& rule : aMessage.staleness_rules()) {
    settings.mStalenessRules.push_back(
      { rule.name(), std::chrono::milliseconds(rule.max_staleness_ms()) });
  }
  settings.mRevision = aMessage.revision();
  return settings;
}

v1::GroupView
ToMessage(const GroupView& aView)
{
  v1::GroupView message;
  message.set_group(aView.mGroup.Text());
  message.set_term(aView.mTerm);
  message.set_primary(aView.mPrimary.Text());
  return message;
}

GroupView
FromMessage(const v1::GroupView& aMessage)
{
  return { GroupId(aMessage.group()), aMessage.term(), MemberId(aMessage.primary()) };
}

v1::InstanceUpdate
ToMessage(const InstanceInfo& aInfo)
{
  v1::InstanceUpdate message;
  message.set_instance(aInfo.mInstance.Text());
  message.set_availability_zone(aInfo.mAvailabilityZone.Text());
  message.set_peer_address(aInfo.mPeerAddress);
  message.set_caller_address(aInfo.mCallerAddress);
  message.set_liveness(LivenessMessage(aInfo.mLiveness));
  message.set_incarnation(aInfo.mIncarnation);
  return message;
}

InstanceInfo
FromMessage(const v1::InstanceUpdate& aMessage)
{
  return { InstanceId(aMessage.instance()),
           AvailabilityZone(aMessage.availability_zone()),
           aMessage.peer_address(),
           aMessage.caller_address(),
           LivenessFromMessage(aMessage.liveness()),
           aMessage.incarnation() };
}

} // namespace papayaspindle
