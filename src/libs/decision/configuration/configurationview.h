#pragma once

#include "core/ids.h"
#include "decision/configuration/configurationchange.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace papayaspindle {

/** What became of a change that was offered. */
enum class ChangeOffer : std::uint8_t
{
  Applied,
  /** At or below the revision in force; nothing was done. */
  Old,
  /** Changes before it are missing; nothing was done. */
  Gap,
};

/** The configuration in force at this instance. Its revision only rises. */
class ConfigurationView
{
public:
  /** @param aMaxLog changes that are kept for peers that are behind */
  explicit ConfigurationView(std::size_t aMaxLog);

  ChangeOffer Apply(const ConfigurationChange& aChange);
  /** @return whether the snapshot's revision is higher and it was taken */
  bool Load(const ConfigurationSnapshot& aSnapshot);

  [[nodiscard]] std::uint64_t Revision() const { return mRevision; }
  /** @return the group's settings, or null */
  [[nodiscard]] const GroupSettings* Find(const GroupId& aGroup) const;
  [[nodiscard]] ConfigurationSnapshot Snapshot() const;
  /**
   * @return the changes above the revision, in order, or nothing when the log was cut
   * above it and a snapshot is needed
   */
  [[nodiscard]] std::optional<std::vector<ConfigurationChange>> ChangesAfter(
    std::uint64_t aRevision) const;

private:
  std::size_t mMaxLog;
  std::uint64_t mRevision = 0;
  std::map<GroupId, GroupSettings> mGroups;
  /** The last changes; the last one is of mRevision unless the log is empty. */
  std::deque<ConfigurationChange> mLog;
};

} // namespace papayaspindle
