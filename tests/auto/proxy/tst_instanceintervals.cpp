// Tests of the intervals at which instances write their rows and read the list of
// instances.

#include "instancefixture.h"
#include "proxy/tables/snapshotreader.h"

#include <catch2/catch.hpp>

using namespace papayaspindle;
using namespace papayaspindle::proxy;
using namespace std::chrono_literals;

// Guards against a load that grows with the square of the number of instances: at 300
// instances and a fixed interval of reads and writes, the rows of this table made up most
// of what the store sent.
TEST_CASE("the rows that instances write and receive per second don't grow with their "
          "number")
{
  const auto instances = GENERATE(30U, 100U, 300U, 3000U);
  CAPTURE(instances);
  FakeTable table;
  const SharedStore store = table.Store();
  TimePoint now{ 1h };
  // The instance asks a reader of its zone that reads the store every 10 s.
  TableCopy readerCopy;
  TimePoint readerReadAt;
  std::size_t received = 0;
  std::size_t written = 0;
  SnapshotReaderHooks hooks;
  hooks.mReaders = [] { return std::vector<std::string>{ "other-1" }; };
  hooks.mQueryReader =
    [&](const std::string&,
        const RelayRequest& aRequest,
        Duration,
        TimePoint,
        const std::function<void(const std::optional<RelayAnswer>&)>& aHook) {
      RelayAnswer answer = readerCopy.ChangesAfter({ 0, aRequest.mSinceRevision });
      answer.mAge = now - readerReadAt;
      received += answer.mRows.size();
      aHook(answer);
    };
  SnapshotReader reader(std::string(kInstanceTable), hooks);
  SharedStore relayed;
  relayed.mRead = [&](std::string_view,
                      const std::function<void(const ReadResult&)>& aHook) {
    reader.Read(now, aHook);
  };
  relayed.mWrite = [&](const ConditionalWrite& aWrite,
                       const std::function<void(const WriteResult&)>& aHook) {
    written++;
    store.mWrite(aWrite, aHook);
  };
  InstanceRegistry registry(
    MakeInstances(1)[0],
    relayed,
    [&] { return now; },
    [](std::span<const RegisteredInstance>) {});
  const TimePoint start = now;
  const Duration interval = std::max<Duration>(10s, 100ms * instances);
  for (; now - start < 600s; now += 100ms) {
    for (std::size_t index = 1; index < instances; index++) {
      // The others write at different times of the interval.
      const Duration offset = interval * index / instances / 100ms * 100ms;
      const bool isDue = (now - start) % interval == offset;
      if (now == start || isDue) {
        const std::string name = "other-" + std::to_string(index);
        table.mRows[name] = { std::string(kInstanceTable),
                              name,
                              "zone-1 10.0.0.9:7441 1 serving 1",
                              ++table.mRevision };
      }
    }
    if (now - readerReadAt >= 10s) {
      std::vector<StoredRow> rows;
      for (const auto& [key, row] : table.mRows) {
        rows.push_back(row);
      }
      if (readerCopy.Revision() == 0) {
        readerCopy.Replace(rows, { 0, table.mRevision });
      } else {
        std::vector<ChangedRow> changes;
        for (const StoredRow& row : rows) {
          changes.push_back({ row, false });
        }
        readerCopy.Apply(changes, table.mRevision);
      }
      readerReadAt = now;
    }
    registry.OnTimer(now);
  }
  // 10 rows per second, all rows once after the start, and one interval as a margin.
  CHECK(received <= 600 * 10 + 2 * instances);
  CHECK(written * instances <= 600 * 10 + 4 * instances);
}

// Guards against lists that are up to two intervals old, because an instance asks its
// reader at any time: new limiters grant 13 s after a change of the instances.
TEST_CASE("in a large deployment, an instance reads a change within the read interval")
{
  const auto phase = GENERATE(0ms, 1s, 5s, 9s, 9900ms);
  const auto instances = GENERATE(13U, 200U, 300U);
  TimePoint now{ 1h };
  TimePoint readerReadAt = now - phase;
  TimePoint newest = now;
  std::uint64_t revision = 1;
  SharedStore store;
  store.mRead = [&](std::string_view,
                    const std::function<void(const ReadResult&)>& aHook) {
    TableSnapshot snapshot;
    for (std::size_t index = 1; index < instances; index++) {
      snapshot.mRows.push_back({ std::string(kInstanceTable),
                                 "other-" + std::to_string(index),
                                 "zone-1 10.0.0.9:7441 1 serving 1",
                                 revision });
    }
    snapshot.mAge = now - readerReadAt + 1ms;
    newest = std::max(newest, readerReadAt);
    aHook(snapshot);
  };
  store.mWrite = [](const ConditionalWrite&,
                    const std::function<void(const WriteResult&)>&) {};
  InstanceRegistry registry(
    MakeInstances(1)[0],
    store,
    [&] { return now; },
    [](std::span<const RegisteredInstance>) {});
  for (const TimePoint end = now + 120s; now < end; now += 50ms) {
    if (now - readerReadAt >= 10s) {
      readerReadAt = now;
      revision++;
    }
    registry.OnTimer(now);
    const bool hasStarted = end - now < 95s;
    INFO("phase " << phase.count() << " instances " << instances);
    // The interval, the delay after the read of the reader, and a step of this test.
    REQUIRE((!hasStarted || now - newest <= 10s + 600ms));
  }
}
