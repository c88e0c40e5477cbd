#pragma once

#include "core/logposition.h"
#include "core/timetypes.h"

#include <deque>
#include <optional>

namespace papayaspindle::proxy {

/**
 * Log positions of a group's primary with the time before each was asked for.
 *
 * A position that the leading primary reported to a request sent at t is at or past every
 * commit acknowledged before t, so a member whose log holds it is fresh as of t.
 */
class PositionSamples
{
public:
  /** @param aWindow age after which a sample is dropped */
  explicit PositionSamples(Duration aWindow);

  /**
   * Adds a sample; ones that arrive out of order are dropped.
   *
   * @param aAskedAt time before the request was sent
   */
  void Add(const LogPosition& aPosition, TimePoint aAskedAt);
  /** Drops samples older than the window. */
  void Expire(TimePoint aNow);

  /** @return the lowest position that proves freshness as of aSince, or nothing */
  [[nodiscard]] std::optional<LogPosition> ProofOf(TimePoint aSince) const;
  /** @return the lowest sampled position of a term above aTerm, or nothing */
  [[nodiscard]] std::optional<LogPosition> FirstAfterTerm(std::uint64_t aTerm) const;
  /** @return the newest sample's position, or nothing */
  [[nodiscard]] std::optional<LogPosition> Newest() const;
  /** @return when the newest sample was asked for, or nothing */
  [[nodiscard]] std::optional<TimePoint> NewestAt() const;

private:
  struct Sample
  {
    LogPosition mPosition;
    TimePoint mAskedAt;
  };

  Duration mWindow;
  /** Rising in position and in time. */
  std::deque<Sample> mSamples;
  /** First sampled position of the newest term. */
  std::optional<LogPosition> mTermStart;
};

} // namespace papayaspindle::proxy
