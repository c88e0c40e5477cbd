#include "daemon/connections/allowancemessages.h"

namespace papayaspindle {

v1::AllocationRecord
ToMessage(const AllocationRecord& aRecord)
{
  v1::AllocationRecord message;
  message.set_limit(aRecord.mLimit);
  message.set_limit_revision(aRecord.mLimitRevision);
  message.set_keeper(aRecord.mKeeper.Text());
  message.set_keeper_epoch(aRecord.mKeeperEpoch);
  message.set_claim(aRecord.mClaim);
  for (const HomeFloor& floor : aRecord.mFloors) {
    v1::HomeFloor& entry = *message.add_floors();
    entry.set_home(floor.mHome.Text());
    entry.set_floor(floor.mFloor);
    entry.set_target(floor.mTarget);
  }
  return message;
}

AllocationRecord
FromMessage(const v1::AllocationRecord& aMessage,
            const GroupId& aGroup,
            std::uint64_t aVersion)
{
  AllocationRecord record;
  record.mGroup = aGroup;
  record.mLimit = aMessage.limit();
  record.mLimitRevision = aMessage.limit_revision();
  record.mKeeper = InstanceId(aMessage.keeper());
  record.mKeeperEpoch = aMessage.keeper_epoch();
  record.mClaim = aMessage.claim();
  for (const v1::HomeFloor& entry : aMessage.floors()) {
    record.mFloors.push_back({ InstanceId(entry.home()), entry.floor(), entry.target() });
  }
  record.mVersion = aVersion;
  return record;
}

v1::AuthorityRow
ToMessage(const AuthorityRow& aRow)
{
  v1::AuthorityRow message;
  message.set_process(aRow.mProcess);
  message.set_epoch(aRow.mEpoch);
  message.set_serial(aRow.mSerial);
  message.set_ended(aRow.mEnded);
  return message;
}

AuthorityRow
FromMessage(const v1::AuthorityRow& aMessage, std::uint64_t aVersion)
{
  return {
    aMessage.process(), aMessage.epoch(), aMessage.serial(), aMessage.ended(), aVersion
  };
}

} // namespace papayaspindle
