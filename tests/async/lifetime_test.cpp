/// @file
/// When guarded handlers run and when they are dropped.
#include "async/lifetime.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <memory>

namespace violetpulley::async {
namespace {

TEST(Lifetime, GuardedHandlersRunWhileTheOwnerLives) {
  Lifetime lifetime;
  int sum = 0;
  const std::function<void(int)> add = lifetime.guard([&](int value) { sum += value; });
  add(2);
  add(3);
  EXPECT_EQ(sum, 5);
}

TEST(Lifetime, GuardedHandlersAreDroppedAfterTheOwnerEnded) {
  int calls = 0;
  std::function<void()> handler;
  {
    Lifetime lifetime;
    handler = lifetime.guard([&] { ++calls; });
  }
  handler();
  EXPECT_EQ(calls, 0);
}

TEST(Lifetime, EndDropsHandlersBeforeTheDestructor) {
  Lifetime lifetime;
  int calls = 0;
  const std::function<void()> handler = lifetime.guard([&] { ++calls; });
  lifetime.end();
  handler();
  EXPECT_EQ(calls, 0);
}

TEST(Lifetime, AHandlerMayEndItsOwner) {
  auto lifetime = std::make_unique<Lifetime>();
  int calls = 0;
  const std::function<void()> handler = lifetime->guard([&] {
    ++calls;
    lifetime.reset();
  });
  handler();
  handler();
  EXPECT_EQ(calls, 1);
}

}  // namespace
}  // namespace violetpulley::async
