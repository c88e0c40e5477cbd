#include "runtime/workerpool.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <future>

using namespace papayaspindle;

// Guards against a shutdown that drops accepted tasks.
TEST_CASE("every accepted task runs before the pool is destroyed", "[runtime]")
{
  std::atomic<int> ran = 0;
  int accepted = 0;
  {
    WorkerPool pool("test", 4, 1000);
    for (int i = 0; i < 100; ++i) {
      accepted += pool.Submit([&] { ++ran; }) ? 1 : 0;
    }
  }
  CHECK(accepted == 100);
  CHECK(ran == accepted);
}

TEST_CASE("a full queue refuses further tasks", "[runtime]")
{
  std::promise<void> started;
  std::promise<void> release;
  WorkerPool pool("test", 1, 1);
  REQUIRE(pool.Submit([&] {
    started.set_value();
    release.get_future().wait();
  }));
  started.get_future().wait();
  CHECK(pool.Submit([] {}));
  CHECK_FALSE(pool.Submit([] {}));
  release.set_value();
}
