#pragma once

#include "core/groupsettings.h"
#include "core/groupview.h"
#include "core/ids.h"

#include <optional>
#include <vector>

namespace papayaspindle {

/** What this instance knows of each database group. Thread-safe; values are copies. */
class Groups
{
public:
  virtual ~Groups() = default;

  [[nodiscard]] virtual std::vector<GroupId> Names() const = 0;
  [[nodiscard]] virtual std::optional<GroupSettings> Settings(
    const GroupId& aGroup) const = 0;
  /** @return the view with the highest term known; term 0 when nothing is known */
  [[nodiscard]] virtual GroupView View(const GroupId& aGroup) const = 0;
  /**
   * Takes a view when its term is higher, or when it names the primary of the same term
   * and none was known.
   *
   * @return whether it was taken
   */
  virtual bool OfferView(const GroupView& aView) = 0;
  /**
   * Takes settings when their revision is higher.
   *
   * @return whether they were taken
   */
  virtual bool OfferSettings(const GroupSettings& aSettings) = 0;
};

} // namespace papayaspindle
