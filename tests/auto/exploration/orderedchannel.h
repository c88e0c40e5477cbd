#pragma once

#include "exploration/taskqueue.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <utility>

namespace papayaspindle::exploration {

/** One direction of a connection: messages arrive in the order in which they were sent,
 * and wait while the channel isn't passable, as TCP repeats them. */
class OrderedChannel : public std::enable_shared_from_this<OrderedChannel>
{
public:
  OrderedChannel(TaskQueue& aClock, std::function<bool()> aIsPassable)
    : mClock(aClock)
    , mIsPassable(std::move(aIsPassable))
  {
  }

  void Send(Duration aDelay, std::function<void()> aDeliver)
  {
    if (mIsClosed) {
      return;
    }
    mLastArrival = std::max(mLastArrival, mClock.Now() + aDelay);
    mMessages.push_back({ mLastArrival, std::move(aDeliver) });
    ScheduleFront();
  }
  /** Drops all messages that are under way. */
  void Close()
  {
    mIsClosed = true;
    mMessages.clear();
  }

private:
  struct Message
  {
    TimePoint mArrival;
    std::function<void()> mDeliver;
  };

  static constexpr Duration kRepetition = std::chrono::milliseconds(10);

  void ScheduleFront()
  {
    if (mIsScheduled || mMessages.empty()) {
      return;
    }
    mIsScheduled = true;
    mClock.At(mMessages.front().mArrival, [weak = weak_from_this()] {
      if (const auto channel = weak.lock()) {
        channel->DeliverFront();
      }
    });
  }

  void DeliverFront()
  {
    mIsScheduled = false;
    if (mMessages.empty()) {
      return;
    }
    if (!mIsPassable()) {
      mMessages.front().mArrival = mClock.Now() + kRepetition;
      ScheduleFront();
      return;
    }
    const auto deliver = std::move(mMessages.front().mDeliver);
    mMessages.pop_front();
    deliver();
    ScheduleFront();
  }

  TaskQueue& mClock;
  std::function<bool()> mIsPassable;
  std::deque<Message> mMessages;
  TimePoint mLastArrival;
  bool mIsScheduled = false;
  bool mIsClosed = false;
};

} // namespace papayaspindle::exploration
