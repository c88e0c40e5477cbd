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

/** Result of ConfigurationView::Apply(). */
enum class ApplyResult : std::uint8_t
{
  Applied,
  /** The change was ignored because its revision is not above the current one. */
  NotNewer,
  /** The change was ignored because changes before it are missing. */
  Gap,
};

/** The configuration that is in force at this instance. Its revision never decreases. */
class ConfigurationView
{
public:
  /** @param aMaxLog number of latest changes kept for peers with an older revision */
  explicit ConfigurationView(std::size_t aMaxLog);

  ApplyResult Apply(const ConfigurationChange& aChange);
  /** Replaces the configuration if the revision of the snapshot is higher.
   * @return whether the snapshot was loaded */
  bool Load(const ConfigurationSnapshot& aSnapshot);

  [[nodiscard]] std::uint64_t Revision() const { return mRevision; }
  /** @return the group's settings, or null when the group does not exist */
  [[nodiscard]] const GroupSettings* Find(const GroupId& aGroup) const;
  [[nodiscard]] ConfigurationSnapshot Snapshot() const;
  /**
   * @return the changes after the revision, in order; nothing when the log no longer
   * contains all of them, so that a snapshot is needed
   */
  [[nodiscard]] std::optional<std::vector<ConfigurationChange>> ChangesAfter(
    std::uint64_t aRevision) const;

private:
  std::size_t mMaxLog;
  std::uint64_t mRevision = 0;
  std::map<GroupId, GroupSettings> mGroups;
  /** The latest changes. The last entry has revision mRevision unless the log is empty.
   */
  std::deque<ConfigurationChange> mLog;
};

} // namespace papayaspindle
