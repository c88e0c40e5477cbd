#pragma once

#include "core/logposition.h"
#include "core/timetypes.h"

#include <deque>
#include <optional>

namespace papayaspindle::proxy {

/**
 * Log positions of a group's primary, each with a time before its request was sent.
 *
 * A position that the leading primary reported in response to a request sent at time t is
 * at or after every commit acknowledged before t. A member whose log has reached that
 * position is therefore fresh as of t.
 */
class PositionSamples
{
public:
  /** @param aWindow age at which a sample is dropped */
  explicit PositionSamples(Duration aWindow);

  /**
   * Adds a sample; samples that arrive out of order are dropped.
   *
   * @param aRequestedAt time before the request was sent
   */
  void Add(const LogPosition& aPosition, TimePoint aRequestedAt);
  /** Drops samples older than the window. */
  void Expire(TimePoint aNow);

  /** @return the lowest position that proves freshness as of aSince, or nothing */
  [[nodiscard]] std::optional<LogPosition> ProofOfFreshness(TimePoint aSince) const;
  /** @return the lowest sampled position of a term above aTerm, or nothing */
  [[nodiscard]] std::optional<LogPosition> FirstAfterTerm(std::uint64_t aTerm) const;
  /** @return position of the newest sample, or nothing */
  [[nodiscard]] std::optional<LogPosition> Newest() const;
  /** @return request time of the newest sample, or nothing */
  [[nodiscard]] std::optional<TimePoint> NewestRequestedAt() const;

private:
  struct Sample
  {
    LogPosition mPosition;
    TimePoint mRequestedAt;
  };

  Duration mWindow;
  /** In ascending order of both position and time. */
  std::deque<Sample> mSamples;
  /** First sampled position of the newest term. */
  std::optional<LogPosition> mTermStart;
};

} // namespace papayaspindle::proxy
