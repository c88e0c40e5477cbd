#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace papayaspindle {

/**
 * A string id whose type differs for each kind of id, so that ids of different kinds
 * cannot be mixed up.
 *
 * @tparam Tag empty type that identifies the kind of id
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

  /** @return the text of the id; empty if the id is not set */
  [[nodiscard]] const std::string& Text() const { return mText; }
  /** @return whether the id is not set */
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
