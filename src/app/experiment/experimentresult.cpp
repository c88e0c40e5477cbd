#include "experiment/experimentresult.h"

#include "observe/json.h"

#include <fmt/core.h>

#include <algorithm>
#include <cstdint>

namespace papayaspindle::experiment {

namespace {

constexpr std::uint64_t kBarWidth = 40;

/** Builds one JSON object. */
class JsonObject
{
public:
  void Text(std::string_view aKey, std::string_view aValue)
  {
    Raw(aKey, JsonString(aValue));
  }
  void Number(std::string_view aKey, std::uint64_t aValue)
  {
    Raw(aKey, std::to_string(aValue));
  }
  void Number(std::string_view aKey, double aValue)
  {
    Raw(aKey, fmt::format("{:.3f}", aValue));
  }
  void Raw(std::string_view aKey, std::string_view aValue)
  {
    mText += fmt::format("{}{}: {}", mText.empty() ? "" : ", ", JsonString(aKey), aValue);
  }
  [[nodiscard]] std::string Take() const { return "{" + mText + "}"; }

private:
  std::string mText;
};

double
Milliseconds(Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

double
ReplicaShare(const TallyValues& aTally)
{
  return aTally.mReads == 0 ? 0
                            : static_cast<double>(aTally.mReplicaReads) /
                                static_cast<double>(aTally.mReads);
}

std::string
Latencies(const std::vector<MetricValue>& aMetrics)
{
  JsonObject all;
  for (const MetricValue& metric : aMetrics) {
    JsonObject one;
    one.Number("count", metric.mCount);
    one.Number("p50_us", metric.mP50);
    one.Number("p99_us", metric.mP99);
    one.Number("max_us", metric.mMax);
    all.Raw(metric.mName, one.Take());
  }
  return all.Take();
}

std::string
Gaps(const ExperimentResult& aResult)
{
  JsonObject all;
  for (const auto& [group, gap] : aResult.mGaps) {
    JsonObject one;
    one.Number("begin_ms", Milliseconds(gap.mBegin - aResult.mStart));
    one.Number("length_ms", Milliseconds(gap.mLength));
    all.Raw(group.Text(), one.Take());
  }
  return all.Take();
}

std::string
Examples(const ExperimentResult& aResult)
{
  std::string list;
  const auto add = [&list](const std::vector<std::string>& aTexts) {
    for (const std::string& text : aTexts) {
      list += (list.empty() ? "" : ", ") + JsonString(text);
    }
  };
  add(aResult.mTally.mExamples);
  if (aResult.mWrites.has_value()) {
    add(aResult.mWrites->mExamples);
  }
  return "[" + list + "]";
}

void
AddChecks(const ExperimentResult& aResult, JsonObject& aJson)
{
  const TallyValues& tally = aResult.mTally;
  const WriteVerdict writes = aResult.mWrites.value_or(WriteVerdict());
  aJson.Raw("logs_checked", aResult.mWrites.has_value() ? "true" : "false");
  aJson.Text("check_error", aResult.mCheckError);
  aJson.Number("acked_writes", tally.mAcknowledgedWrites);
  aJson.Number("unknown_writes", writes.mUnknown);
  aJson.Number("lost_writes", writes.mLost);
  aJson.Number("doubled_writes", writes.mDoubled);
  aJson.Number("ran_after_refusal", writes.mRanAfterRefusal);
  aJson.Number("altered_writes", writes.mAltered);
  aJson.Number("stale_violations", tally.mStaleReads);
  aJson.Number("read_your_writes_violations", tally.mOwnWritesMissing);
  aJson.Number("impossible_reads", tally.mImpossibleReads);
  aJson.Raw("examples", Examples(aResult));
  aJson.Raw("good", aResult.IsGood() ? "true" : "false");
}

std::string
Histogram(const MetricValue& aMetric)
{
  std::string text =
    fmt::format("{}: {} samples, p50 {:.0f}, p99 {:.0f}, max {:.0f} {}\n",
                aMetric.mName,
                aMetric.mCount,
                aMetric.mP50,
                aMetric.mP99,
                aMetric.mMax,
                aMetric.mUnit);
  std::uint64_t highest = 1;
  for (const MetricBin& bin : aMetric.mBins) {
    highest = std::max(highest, bin.mCount);
  }
  for (const MetricBin& bin : aMetric.mBins) {
    text += fmt::format("  {:>10.0f} .. {:>10.0f} {:>8} {}\n",
                        bin.mLower,
                        bin.mUpper,
                        bin.mCount,
                        std::string(bin.mCount * kBarWidth / highest, '#'));
  }
  return text;
}

} // namespace

bool
ExperimentResult::IsGood() const
{
  return mWrites.has_value() && mWrites->IsGood() && mTally.mStaleReads == 0 &&
         mTally.mOwnWritesMissing == 0 && mTally.mImpossibleReads == 0;
}

std::string
ResultAsJson(const ExperimentOptions& aOptions, const ExperimentResult& aResult)
{
  const TallyValues& tally = aResult.mTally;
  JsonObject json;
  json.Text("mix", aOptions.mMix);
  json.Raw("direct", aOptions.mDirect ? "true" : "false");
  json.Number("rate", aOptions.mRate);
  json.Number("seed", aOptions.mSeed);
  json.Number("sessions", std::uint64_t{ aOptions.mSessions });
  json.Number("view_age_ms", static_cast<std::uint64_t>(aOptions.mViewAge.count()));
  json.Number("taken_ms", Milliseconds(aResult.mTaken));
  json.Number("reads", tally.mReads);
  json.Number("replica_reads", tally.mReplicaReads);
  json.Number("replica_read_share", ReplicaShare(tally));
  json.Number("failed_reads", tally.mFailedReads);
  json.Number("writes", tally.mWrites);
  json.Number("session_moves", tally.mMoves);
  AddChecks(aResult, json);
  JsonObject errors;
  for (const auto& [kind, count] : tally.mErrors) {
    errors.Number(kind, count);
  }
  json.Raw("errors", errors.Take());
  json.Raw("longest_write_gaps", Gaps(aResult));
  json.Raw("latencies", Latencies(aResult.mMetrics));
  return json.Take();
}

std::string
ResultAsText(const ExperimentResult& aResult)
{
  const TallyValues& tally = aResult.mTally;
  std::string text = fmt::format("reads {} (replica share {:.4f}, failed {}), writes {} "
                                 "(acknowledged {}), session moves {}\n",
                                 tally.mReads,
                                 ReplicaShare(tally),
                                 tally.mFailedReads,
                                 tally.mWrites,
                                 tally.mAcknowledgedWrites,
                                 tally.mMoves);
  if (aResult.mWrites.has_value()) {
    const WriteVerdict& writes = *aResult.mWrites;
    text += fmt::format("writes against the logs: lost {}, doubled {}, ran after refusal "
                        "{}, altered {}, outcome unknown {}\n",
                        writes.mLost,
                        writes.mDoubled,
                        writes.mRanAfterRefusal,
                        writes.mAltered,
                        writes.mUnknown);
  } else {
    text += fmt::format("writes were not checked: {}\n", aResult.mCheckError);
  }
  text += fmt::format("reads: stale {}, own write missing {}, impossible {}\n",
                      tally.mStaleReads,
                      tally.mOwnWritesMissing,
                      tally.mImpossibleReads);
  for (const auto& [group, gap] : aResult.mGaps) {
    text += fmt::format("longest time without an acknowledged write, {}: {:.0f} ms from "
                        "{:.0f} ms\n",
                        group.Text(),
                        Milliseconds(gap.mLength),
                        Milliseconds(gap.mBegin - aResult.mStart));
  }
  for (const auto& [kind, count] : tally.mErrors) {
    text += fmt::format("errors {}: {}\n", kind, count);
  }
  for (const MetricValue& metric : aResult.mMetrics) {
    text += Histogram(metric);
  }
  return text;
}

} // namespace papayaspindle::experiment
