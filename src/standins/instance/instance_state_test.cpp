#include "standins/instance/instance_state.h"

#include "briarwind/testing.h"

using namespace briarwind;

// Guards against a stand-in that counts runs, slots or faults wrongly, so that tests which
// read its counts miss requests that ran twice or not at all.
BW_STORY("the service instance stand-in counts runs and injects faults")
{
  instance_state instance(2);
  BW_SECTION("a request is rejected while all slots are in use")
  {
    BW_CHECK(instance.Admit("a") == admission::kRun);
    BW_CHECK(instance.Admit("b") == admission::kRun);
    BW_CHECK(instance.Admit("c") == admission::kReject);
    BW_CHECK(!instance.RunCounts().contains("c"));
    BW_CHECK(instance.Finish() == response_fault::kNone);
    BW_CHECK(instance.Admit("c") == admission::kRun);
    BW_EQUAL(2, instance.MaxRunning());
  }
  BW_SECTION("each run of a request is counted")
  {
    BW_CHECK(instance.Admit("a") == admission::kRun);
    BW_CHECK(instance.Admit("a") == admission::kRun);
    BW_EQUAL(std::int64_t{ 2 }, instance.RunCounts().at("a"));
  }
  BW_SECTION("a dropped or rejected request does not run and is not counted")
  {
    instance.Faults().mDropBeforeRunEvery = 2;
    instance.Faults().mRejectEvery = 3;
    BW_CHECK(instance.Admit("1") == admission::kRun);
    BW_CHECK(instance.Admit("2") == admission::kDropConnection);
    BW_CHECK(instance.Admit("3") == admission::kReject);
    BW_EQUAL(std::size_t{ 1 }, instance.RunCounts().size());
  }
  BW_SECTION("a fault with an interval of two applies to every second response")
  {
    instance.Faults().mWrongRequestIdEvery = 2;
    instance.Admit("1");
    BW_CHECK(instance.Finish() == response_fault::kNone);
    instance.Admit("2");
    BW_CHECK(instance.Finish() == response_fault::kWrongRequestId);
  }
  BW_SECTION("every request fails while mFailFast is set")
  {
    instance.Faults().mFailFast = true;
    instance.Admit("1");
    BW_CHECK(instance.Finish() == response_fault::kServerError);
  }
}
