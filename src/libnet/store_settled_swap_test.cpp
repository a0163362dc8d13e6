#include "briarwind/fiber_runtime.h"
#include "briarwind/memory_store.h"
#include "briarwind/settled_swap.h"
#include "briarwind/testing.h"

using namespace briarwind;

namespace {

settled_request Request(store_revision aExpected, const std::string& aValue)
{
  return { "/k", aExpected, aValue, 0,
           [aValue](const stored_value& aStored) { return aStored.mValue == aValue; } };
}

settled_result Write(config_store& aStore, store_revision aExpected, const std::string& aValue,
                     milliseconds aTime = milliseconds(2'000))
{
  backoff pause(milliseconds(1), milliseconds(4), 7);
  return SettledSwap(aStore, Request(aExpected, aValue), pause, monotonic_clock::now() + aTime);
}

// Takes effect when it is told to, and loses every answer.
class deaf_store : public memory_store
{
public:
  io_result<swap_result> Swap(std::string_view, store_revision, std::string_view, store_lease,
                              instant) override
  {
    return IoError(error_kind::kUnknownOutcome, "", "");
  }
};

} // namespace

BW_STORY("a write whose fate is settled")
{
  fiber_runtime runtime;
  memory_store store;
  BW_SECTION("is done once although its answer is lost")
  {
    store.LoseAnswers(1);
    const settled_result settled = Write(store, 0, "ours");
    BW_CHECK(settled.mFate == swap_fate::kDone);
    BW_EQUAL(store.Revision(), settled.mRevision);
    BW_EQUAL(store_revision{ 2 }, store.Revision());
  }
  BW_SECTION("is a conflict that shows the other's value")
  {
    Write(store, 0, "theirs");
    const settled_result settled = Write(store, 0, "ours");
    BW_CHECK(settled.mFate == swap_fate::kConflict);
    BW_EQUAL(std::string("theirs"), settled.mCurrent.mValue);
  }
  BW_SECTION("is not stored when the store was never reached")
  {
    store.SetDown(true);
    BW_CHECK(Write(store, 0, "ours", milliseconds(20)).mFate == swap_fate::kNotStored);
  }
  BW_SECTION("is unknown when no answer ever comes")
  {
    deaf_store deaf;
    BW_CHECK(Write(deaf, 0, "ours", milliseconds(20)).mFate == swap_fate::kUnknown);
  }
  BW_SECTION("waits for a store that comes back")
  {
    store.SetDown(true);
    runtime.Spawn([&] {
      SleepFor(milliseconds(20));
      store.SetDown(false);
    });
    BW_CHECK(Write(store, 0, "ours").mFate == swap_fate::kDone);
  }
}
