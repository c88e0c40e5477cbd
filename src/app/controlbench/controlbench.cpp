#include "controlbench/controlbench.h"

#include "commandline/commandline.h"
#include "controlbench/controlrun.h"
#include "controlbench/processusage.h"
#include "controlbench/slope.h"
#include "observe/log.h"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <gflags/gflags.h>

#include <array>
#include <charconv>
#include <cstdio>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

DEFINE_string(control_nodes, "75,150,300", "numbers of nodes, the last one is the base");
DEFINE_string(control_groups,
              "300,3000,9000",
              "numbers of groups, the first is the base");
DEFINE_string(control_changes, "1,5,10", "changes a second, the first is the base");
DEFINE_uint64(control_zones, 15, "availability zones");
DEFINE_uint64(control_seconds, 20, "measured time of each run");
DEFINE_uint64(control_seed, 1, "seed of the random numbers");

namespace papayaspindle {

namespace {

constexpr std::array<std::string_view, 6> kFlags{ "control_nodes",   "control_groups",
                                                  "control_changes", "control_zones",
                                                  "control_seconds", "control_seed" };
constexpr double kThousand = 1000;

/** Runs in which one quantity varies. */
struct Series
{
  std::string mName;
  std::vector<double> mValues;
  std::vector<ControlFigures> mRuns;
};

std::optional<std::vector<double>>
ParseNumbers(const std::string& aText)
{
  std::vector<double> numbers;
  std::istringstream stream(aText);
  for (std::string word; std::getline(stream, word, ',');) {
    double number = 0;
    const char* end = word.data() + word.size();
    const auto parsed = std::from_chars(word.data(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end || number <= 0) {
      return std::nullopt;
    }
    numbers.push_back(number);
  }
  return numbers.empty() ? std::nullopt : std::optional(numbers);
}

std::string
ToJson(const ControlFigures& aFigures)
{
  return fmt::format("{{\"nodes\":{},\"zones\":{},\"groups\":{},\"changes_per_s\":{},"
                     "\"cpu_percent_per_node\":{:.3f},\"rss_mb_per_node\":{:.3f},"
                     "\"heap_mb_per_node\":{:.3f},\"bytes_per_s_per_node\":{:.0f},"
                     "\"config_spread_ms_p99\":{:.0f},"
                     "\"config_spread_ms_max\":{:.0f},\"changes\":{},"
                     "\"refused_changes\":{},\"nodes_behind\":{},\"join_s\":{:.1f}}}",
                     aFigures.mSize.mNodes,
                     aFigures.mSize.mZones,
                     aFigures.mSize.mGroups,
                     aFigures.mSize.mChangesPerSecond,
                     aFigures.mCpuPercentPerNode,
                     aFigures.mRssMbPerNode,
                     aFigures.mHeapMbPerNode,
                     aFigures.mBytesPerSecondPerNode,
                     aFigures.mSpreadMsP99,
                     aFigures.mSpreadMsMax,
                     aFigures.mChanges,
                     aFigures.mRefusedChanges,
                     aFigures.mNodesBehind,
                     aFigures.mJoinSeconds);
}

std::string
SlopesToJson(const Series& aSeries, double aUnit)
{
  std::vector<double> cpu;
  std::vector<double> heap;
  std::vector<double> bytes;
  for (const ControlFigures& run : aSeries.mRuns) {
    cpu.push_back(run.mCpuPercentPerNode);
    heap.push_back(run.mHeapMbPerNode);
    bytes.push_back(run.mBytesPerSecondPerNode);
  }
  return fmt::format(
    "\"{}\":{{\"cpu_percent_per_node\":{:.4f},\"heap_mb_per_node\":{:.3f},"
    "\"bytes_per_s_per_node\":{:.1f}}}",
    aSeries.mName,
    SlopeOf(aSeries.mValues, cpu) * aUnit,
    SlopeOf(aSeries.mValues, heap) * aUnit,
    SlopeOf(aSeries.mValues, bytes) * aUnit);
}

ControlFigures
RunOnce(double aNodes, double aGroups, double aChanges)
{
  ControlSize size;
  size.mNodes = static_cast<std::size_t>(aNodes);
  size.mZones = FLAGS_control_zones;
  size.mGroups = static_cast<std::size_t>(aGroups);
  size.mChangesPerSecond = aChanges;
  size.mDuration = std::chrono::seconds(FLAGS_control_seconds);
  size.mSeed = FLAGS_control_seed;
  const ControlFigures figures = RunControlNodes(size);
  fmt::print(stderr, "{}\n", ToJson(figures));
  return figures;
}

int
Measure(const std::vector<double>& aNodes,
        const std::vector<double>& aGroups,
        const std::vector<double>& aChanges)
{
  const double baseRss = ProcessRssMb();
  Series nodes{ "per_1000_nodes", aNodes, {} };
  for (const double value : aNodes) {
    nodes.mRuns.push_back(RunOnce(value, aGroups.front(), aChanges.front()));
  }
  const ControlFigures base = nodes.mRuns.back();
  Series groups{ "per_1000_groups", aGroups, { base } };
  for (std::size_t i = 1; i < aGroups.size(); ++i) {
    groups.mRuns.push_back(RunOnce(aNodes.front(), aGroups[i], aChanges.front()));
  }
  Series changes{ "per_change_per_s", aChanges, { base } };
  for (std::size_t i = 1; i < aChanges.size(); ++i) {
    changes.mRuns.push_back(RunOnce(aNodes.back(), aGroups.front(), aChanges[i]));
  }
  // Group runs use the fewest nodes, to keep the memory of the process small.
  groups.mRuns.front() = nodes.mRuns.front();
  std::vector<std::string> runs;
  for (const Series* series : { &nodes, &groups, &changes }) {
    for (const ControlFigures& run : series->mRuns) {
      runs.push_back(ToJson(run));
    }
  }
  const std::string figures = ToJson(base);
  fmt::print(
    "{},\"rss_mb_process_base\":{:.1f},\"slopes\":{{{},{},{}}},\"runs\":[{}]}}\n",
    figures.substr(0, figures.size() - 1),
    baseRss,
    SlopesToJson(nodes, kThousand),
    SlopesToJson(groups, kThousand),
    SlopesToJson(changes, 1),
    fmt::join(runs, ","));
  return kExitDone;
}

} // namespace

int
RunControlBench(int aArgumentCount, char** aArguments)
{
  std::vector<char*> arguments;
  for (int i = 1; i < aArgumentCount; ++i) {
    if (std::string_view(aArguments[i]) != "--control") {
      arguments.push_back(aArguments[i]);
    }
  }
  const auto parsed = ParseCommandLine(arguments, kFlags);
  if (const auto* wrong = std::get_if<UsageError>(&parsed)) {
    fmt::print(stderr, "papayaspindle experiment --control: {}\n", wrong->mLine);
    return kExitUsage;
  }
  if (std::get<CommandLine>(parsed).mHelp) {
    fmt::print("usage: papayaspindle experiment --control [FLAGS]\n{}",
               DescribeFlags(kFlags));
    return kExitDone;
  }
  const auto nodes = ParseNumbers(FLAGS_control_nodes);
  const auto groups = ParseNumbers(FLAGS_control_groups);
  const auto changes = ParseNumbers(FLAGS_control_changes);
  if (!nodes || !groups || !changes || FLAGS_control_zones == 0) {
    fmt::print(stderr, "papayaspindle experiment --control: numbers must be above 0\n");
    return kExitUsage;
  }
  SetLogLevel("", LogLevel::Error);
  return Measure(*nodes, *groups, *changes);
}

} // namespace papayaspindle
