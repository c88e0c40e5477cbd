#pragma once

namespace papayaspindle::proxy {

/** Faulty behaviour of members that a test can enable to show that violations are
 * detected. */
struct MemberFaults
{
  /** Members don't clear a connection on RESET. */
  bool mIgnoresReset = false;
  /** Replicas answer reads although their log lacks the required position. */
  bool mIgnoresAfter = false;
  /** Members answer some writes that they have run with a refusal. */
  bool mRunsRefused = false;
};

} // namespace papayaspindle::proxy
