#pragma once

#include "core/groupsettings.h"
#include "core/groupview.h"
#include "core/ids.h"

#include <optional>
#include <vector>

namespace papayaspindle {

/** Settings and views of all database groups at this instance. Thread-safe; the functions
 * return copies. */
class Groups
{
public:
  virtual ~Groups() = default;

  [[nodiscard]] virtual std::vector<GroupId> Names() const = 0;
  [[nodiscard]] virtual std::optional<GroupSettings> Settings(
    const GroupId& aGroup) const = 0;
  /** @return the known view of the highest term; with term 0 if no view is known */
  [[nodiscard]] virtual GroupView View(const GroupId& aGroup) const = 0;
  /**
   * Stores a view if its term is higher than that of the stored view, or if the terms are
   * equal and only the new view names a primary.
   *
   * @return whether the view was stored
   */
  virtual bool OfferView(const GroupView& aView) = 0;
  /**
   * Stores settings if their revision is higher than that of the stored settings.
   *
   * @return whether the settings were stored
   */
  virtual bool OfferSettings(const GroupSettings& aSettings) = 0;
};

} // namespace papayaspindle
