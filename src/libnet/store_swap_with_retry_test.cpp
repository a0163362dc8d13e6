#include "briarwind/fiber_runtime.h"
#include "briarwind/memory_store.h"
#include "briarwind/swap_with_retry.h"
#include "briarwind/testing.h"

using namespace briarwind;

namespace {

swap_retry_request Request(store_revision aExpected, const std::string& aValue)
{
  return { "/k", aExpected, aValue, 0,
           [aValue](const stored_value& aStored) { return aStored.mValue == aValue; } };
}

swap_retry_result Write(config_store& aStore, store_revision aExpected, const std::string& aValue,
                        milliseconds aTimeout = milliseconds(2'000))
{
  backoff retryDelay(milliseconds(1), milliseconds(4), 7);
  return SwapWithRetry(aStore, Request(aExpected, aValue), retryDelay,
                       monotonic_clock::now() + aTimeout);
}

// A store whose writes all end with an unknown outcome and have no effect.
class unresponsive_store : public memory_store
{
public:
  io_result<swap_result> Swap(std::string_view, store_revision, std::string_view, store_lease,
                              instant) override
  {
    return IoError(error_kind::kUnknownOutcome, "", "");
  }
};

} // namespace

// Guards against a retried write that is applied twice or reported with the wrong outcome, when
// responses are lost, the store is down or another writer is first.
BW_STORY("a write with retries")
{
  fiber_runtime runtime;
  memory_store store;
  BW_SECTION("is applied exactly once although its response is lost")
  {
    store.LoseAnswers(1);
    const swap_retry_result settled = Write(store, 0, "ours");
    BW_CHECK(settled.mSwapOutcome == swap_outcome::kDone);
    BW_EQUAL(store.Revision(), settled.mRevision);
    BW_EQUAL(store_revision{ 2 }, store.Revision());
  }
  BW_SECTION("reports a conflict with the value of the other writer")
  {
    Write(store, 0, "theirs");
    const swap_retry_result settled = Write(store, 0, "ours");
    BW_CHECK(settled.mSwapOutcome == swap_outcome::kConflict);
    BW_EQUAL(std::string("theirs"), settled.mCurrent.mValue);
  }
  BW_SECTION("reports that nothing was stored when no attempt reached the store")
  {
    store.SetDown(true);
    BW_CHECK(Write(store, 0, "ours", milliseconds(20)).mSwapOutcome == swap_outcome::kNotStored);
  }
  BW_SECTION("reports an unknown outcome when no attempt gets a response")
  {
    unresponsive_store unresponsive;
    BW_CHECK(Write(unresponsive, 0, "ours", milliseconds(20)).mSwapOutcome ==
             swap_outcome::kUnknown);
  }
  BW_SECTION("succeeds once the store is reachable again")
  {
    store.SetDown(true);
    runtime.Spawn([&] {
      SleepFor(milliseconds(20));
      store.SetDown(false);
    });
    BW_CHECK(Write(store, 0, "ours").mSwapOutcome == swap_outcome::kDone);
  }
}
