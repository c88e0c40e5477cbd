#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace papayaspindle {

/**
 * A textual id that cannot be confused with an id of another kind.
 *
 * @tparam Tag empty type that names the kind
 */
template<typename Tag>
class StrongId
{
public:
  StrongId() = default;
  explicit StrongId(std::string aText)
    : mText(std::move(aText))
  {
  }

  /** @return the id's text; empty for no id */
  [[nodiscard]] const std::string& Text() const { return mText; }
  /** @return whether this is no id */
  [[nodiscard]] bool IsEmpty() const { return mText.empty(); }

  auto operator<=>(const StrongId&) const = default;

private:
  std::string mText;
};

} // namespace papayaspindle

template<typename Tag>
struct std::hash<papayaspindle::StrongId<Tag>>
{
  std::size_t operator()(const papayaspindle::StrongId<Tag>& aId) const noexcept
  {
    return std::hash<std::string>()(aId.Text());
  }
};
