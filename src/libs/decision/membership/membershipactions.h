#pragma once

#include "core/ids.h"
#include "core/instanceinfo.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace papayaspindle {

/** Contents of a probe or its reply, without the configuration that they also carry. */
struct ProbeMessage
{
  /** The instance that sends this message. */
  InstanceInfo mSender;
  std::vector<InstanceInfo> mUpdates;
  /** In a reply: entries of the replier's table in buckets whose digest differs from the
   * probe's. */
  std::vector<InstanceInfo> mEntries;
  /** Digest of each bucket of the sender's table; empty unless the sender requests the
   * entries of differing buckets. */
  std::vector<std::uint64_t> mDigest;
  /** Set in an indirect probe: the receiver probes this instance. */
  InstanceId mTarget;
  /** In the reply to an indirect probe: whether the target answered. */
  bool mTargetAnswered = false;
};

/** Number of a probe that this instance sends; never reused. */
using ProbeId = std::uint64_t;

/** Send the message, then report its reply or timeout with the same probe id. */
struct SendProbe
{
  ProbeId mProbe = 0;
  InstanceId mReceiver;
  /** Peer address of the receiver, "ip:port". */
  std::string mAddress;
  ProbeMessage mMessage;
  std::chrono::milliseconds mTimeout{};
};

/** Notify listeners that an instance changed. */
struct InstanceChanged
{
  InstanceInfo mInstance;
};

/** Drain this instance, since the platform or a peer marked it as leaving. */
struct SelfMarkedLeaving
{};

using MembershipAction = std::variant<SendProbe, InstanceChanged, SelfMarkedLeaving>;
using MembershipActions = std::vector<MembershipAction>;

} // namespace papayaspindle
