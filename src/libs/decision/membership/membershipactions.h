#pragma once

#include "core/ids.h"
#include "core/instanceinfo.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace papayaspindle {

/** What a probe and its reply carry, configuration aside. */
struct ProbeMessage
{
  /** The instance that sends this message. */
  InstanceInfo mSender;
  std::vector<InstanceInfo> mUpdates;
  /** In a reply: table entries of the buckets that differ from the probe's digest. */
  std::vector<InstanceInfo> mEntries;
  /** Digest of each bucket of the sender's table; empty unless entries of differing
   * buckets are wanted. */
  std::vector<std::uint64_t> mDigest;
  /** Set in an indirect probe: the receiver probes this instance. */
  InstanceId mTarget;
  /** In the reply to an indirect probe. */
  bool mTargetAnswered = false;
};

/** Number of a probe that this instance sent; never reused. */
using ProbeId = std::uint64_t;

/** Send the message; report the reply or the silence under the same id. */
struct SendProbe
{
  ProbeId mProbe = 0;
  InstanceId mReceiver;
  /** "ip:port". */
  std::string mAddress;
  ProbeMessage mMessage;
  std::chrono::milliseconds mTimeout{};
};

/** Tell listeners that an instance changed. */
struct InstanceChanged
{
  InstanceInfo mInstance;
};

/** The platform or a peer marked this instance as leaving; drain it. */
struct SelfMarkedLeaving
{};

using MembershipAction = std::variant<SendProbe, InstanceChanged, SelfMarkedLeaving>;
using MembershipActions = std::vector<MembershipAction>;

} // namespace papayaspindle
