#pragma once

#include "exploration/taskqueue.h"

#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace papayaspindle::exploration {

/** Last messages of a sequence, and the violations that the checks have found. */
class Journal
{
public:
  Journal(std::uint64_t aSeed, const TaskQueue& aClock)
    : mSeed(aSeed)
    , mClock(aClock)
  {
  }

  /** Records a message that concerns an item, such as a statement or a member. */
  void Note(std::string_view aItem, std::string aText)
  {
    AddToDigest(std::to_string(Milliseconds(mClock.Now())));
    AddToDigest(aItem);
    AddToDigest(aText);
    mEntries.push_back({ mClock.Now(), std::string(aItem), std::move(aText) });
    if (mEntries.size() > kMaxEntries) {
      mEntries.pop_front();
    }
  }

  /** Records a violation together with the last messages that concern the items. */
  void Report(std::string_view aCheck,
              std::initializer_list<std::string_view> aItems,
              std::string_view aText)
  {
    std::string report = fmt::format(
      "{}: {} (seed {}, {} ms)", aCheck, aText, mSeed, Milliseconds(mClock.Now()));
    std::deque<std::string> lines;
    for (auto entry = mEntries.rbegin();
         entry != mEntries.rend() && lines.size() < kReportedEntries;
         ++entry) {
      if (std::find(aItems.begin(), aItems.end(), entry->mItem) != aItems.end()) {
        lines.push_front(fmt::format(
          "\n  {} ms {}: {}", Milliseconds(entry->mAt), entry->mItem, entry->mText));
      }
    }
    for (const std::string& line : lines) {
      report += line;
    }
    mViolations.push_back({ std::string(aCheck), std::move(report) });
  }

  struct Violation
  {
    std::string mCheck;
    std::string mReport;
  };

  [[nodiscard]] const std::vector<Violation>& Violations() const { return mViolations; }

  /** @return digest of all messages, which is the same for the same sequence */
  [[nodiscard]] std::uint64_t Digest() const { return mDigest; }

private:
  struct Entry
  {
    TimePoint mAt;
    std::string mItem;
    std::string mText;
  };

  static constexpr std::size_t kMaxEntries = 40000;
  static constexpr std::size_t kReportedEntries = 40;

  /** @return time since the start of the sequence */
  static std::int64_t Milliseconds(TimePoint aTime)
  {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
             aTime.time_since_epoch() - std::chrono::hours(1))
      .count();
  }

  /** Adds a text to the FNV-1a hash of the sequence. */
  void AddToDigest(std::string_view aText)
  {
    for (const char character : aText) {
      mDigest = (mDigest ^ static_cast<unsigned char>(character)) * 0x100000001b3ULL;
    }
  }

  std::uint64_t mDigest = 0xcbf29ce484222325ULL;
  std::uint64_t mSeed;
  const TaskQueue& mClock;
  std::deque<Entry> mEntries;
  std::vector<Violation> mViolations;
};

} // namespace papayaspindle::exploration
