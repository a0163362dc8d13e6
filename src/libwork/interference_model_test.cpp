#include "interference_model.h"

#include "briarwind/testing.h"

#include <fmt/format.h>

#include <random>

using namespace briarwind;

namespace {

constexpr const char* kStep = "job.0";

struct fixture
{
  interference_model mModel;
  instant mNow = instant() + std::chrono::hours(1);
  task_kind mA = mModel.KindOf("a");
  task_kind mB = mModel.KindOf("b");

  void Add(int aWorker, double aPace, bool aBeside, int aTimes = 1)
  {
    for (int i = 0; i < aTimes; ++i) {
      const auto neighbours = aBeside ? std::vector<task_kind>{ mB } : std::vector<task_kind>();
      mModel.Add({ mA, kStep, fmt::format("w{}", aWorker), neighbours, aPace }, mNow);
    }
  }
  bool IsKnown() const { return mModel.Slowdown({ mA, mB }).has_value(); }
};

} // namespace

// Guards against pairs that are learned from what is not interference (one slow worker, uneven
// tasks, too little evidence), pairs that are never forgotten, and memory that grows with the
// number of kinds.
BW_STORY("the model learns from the pace of runs with and without a neighbour")
{
  fixture test;
  for (int worker = 0; worker < 4; ++worker) {
    test.Add(worker, 10, false, 3);
  }
  BW_SECTION("a slowdown on three workers is learned, and in which direction")
  {
    test.Add(4, 6, true, 3);
    test.Add(5, 6, true, 3);
    BW_CHECK(!test.IsKnown());
    test.Add(6, 6, true, 3);
    BW_CHECK(test.IsKnown());
    BW_CHECK(std::abs(*test.mModel.Slowdown({ test.mA, test.mB }) - 0.4) < 0.05);
    BW_CHECK(!test.mModel.Slowdown({ test.mB, test.mA }));
    BW_EQUAL(std::vector<task_kind>{ test.mB }, test.mModel.InterferingWith(test.mA));
    BW_EQUAL(std::vector<task_kind>{ test.mA }, test.mModel.InterferingWith(test.mB));
    BW_EQUAL(std::size_t{ 1 }, test.mModel.TakeChanges().size());
  }
  BW_SECTION("a pair is learned when the neighbour was there first")
  {
    for (int worker = 0; worker < 3; ++worker) {
      const auto add = [&](std::vector<task_kind> aNeighbours, double aPace) {
        test.mModel.Add({ test.mA, fmt::format("job{}.0", worker), fmt::format("w{}", worker),
                          std::move(aNeighbours), aPace },
                        test.mNow);
      };
      add({ test.mB }, 5);
      add({ test.mB }, 5);
      add({}, 10);
      add({}, 10);
    }
    BW_CHECK(test.IsKnown());
  }
}

BW_STORY("the model does not learn from what is not interference")
{
  fixture test;
  for (int worker = 0; worker < 4; ++worker) {
    test.Add(worker, 10, false, 3);
  }
  BW_SECTION("a slowdown below a fifth, or on one worker of four, is not learned")
  {
    for (int worker = 4; worker < 8; ++worker) {
      test.Add(worker, worker == 4 ? 2 : 8.8, true, 5);
    }
    BW_CHECK(!test.IsKnown());
  }
  BW_SECTION("workers that are slow without the neighbour too are not evidence against it")
  {
    for (int round = 0; round < 8; ++round) {
      for (int worker = 4; worker < 8; ++worker) {
        test.Add(worker - 4, 10, false);
        test.Add(worker, 6, false);
      }
    }
    for (int worker = 4; worker < 8; ++worker) {
      test.Add(worker, 6, true, 4);
    }
    BW_CHECK(!test.IsKnown());
  }
  BW_SECTION("tasks that differ by a third without any cause teach nothing")
  {
    std::mt19937 random(20261204);
    std::uniform_real_distribution<double> pace(7.5, 12.5);
    for (int i = 0; i < 400; ++i) {
      test.Add(i % 12, pace(random), random() % 2 == 0);
      BW_CHECK(!test.IsKnown());
    }
  }
}

BW_STORY("the model forgets")
{
  fixture test;
  test.Add(0, 10, false, 4);
  for (int worker = 1; worker < 4; ++worker) {
    test.Add(worker, 5, true, 2);
  }
  BW_CHECK(test.IsKnown());
  test.mModel.TakeChanges();
  BW_SECTION("a pair that no longer interferes is forgotten")
  {
    for (int i = 0; i < 6; ++i) {
      for (int worker = 1; worker < 4; ++worker) {
        test.Add(worker, 10, true);
      }
    }
    BW_CHECK(!test.IsKnown());
    BW_CHECK(test.mModel.TakeChanges().front().mKind ==
             interference_model::change_kind::kForgotten);
  }
  BW_SECTION("a pair without new evidence is forgotten after a quarter of an hour")
  {
    test.mModel.Expire(test.mNow + std::chrono::minutes(14));
    BW_CHECK(test.IsKnown());
    test.mModel.Expire(test.mNow + std::chrono::minutes(16));
    BW_CHECK(!test.IsKnown());
    BW_EQUAL(std::size_t{ 0 }, test.mModel.Pairs());
  }
  BW_SECTION("with thousands of kinds at most 256 pairs are kept, and the known one stays")
  {
    for (int i = 0; i < 3'000; ++i) {
      const task_kind kind = test.mModel.KindOf(fmt::format("k{}", i));
      const std::string step = fmt::format("s{}", i);
      test.mModel.KindOf("a"); // in use, as in a fleet that still runs it
      test.mModel.KindOf("b");
      test.mModel.Add({ kind, step, "w1", {}, 10 }, test.mNow);
      test.mModel.Add({ kind, step, "w1", {}, 10 }, test.mNow);
      test.mModel.Add({ kind, step, "w1", { test.mB }, 10 }, test.mNow);
      BW_CHECK(test.mModel.Pairs() <= 256);
    }
    BW_EQUAL(std::size_t{ 256 }, test.mModel.Pairs());
    BW_CHECK(test.IsKnown());
  }
}
