#include "standins/instance/instance_state.h"

#include "briarwind/testing.h"

using namespace briarwind;

BW_STORY("the service instance stand-in")
{
  instance_state instance(2);
  BW_SECTION("runs no more requests at once than it has slots")
  {
    BW_CHECK(instance.Admit("a") == admission::kRun);
    BW_CHECK(instance.Admit("b") == admission::kRun);
    BW_CHECK(instance.Admit("c") == admission::kNotRun);
    BW_CHECK(!instance.Runs().contains("c"));
    BW_CHECK(instance.Finish() == answer_fault::kNone);
    BW_CHECK(instance.Admit("c") == admission::kRun);
    BW_EQUAL(2, instance.MaxRunning());
  }
  BW_SECTION("counts how often a request ran")
  {
    BW_CHECK(instance.Admit("a") == admission::kRun);
    BW_CHECK(instance.Admit("a") == admission::kRun);
    BW_EQUAL(std::int64_t{ 2 }, instance.Runs().at("a"));
  }
  BW_SECTION("drops or refuses before the run, which then does not count")
  {
    instance.Faults().mDropBeforeRunEvery = 2;
    instance.Faults().mNotRunEvery = 3;
    BW_CHECK(instance.Admit("1") == admission::kRun);
    BW_CHECK(instance.Admit("2") == admission::kDrop);
    BW_CHECK(instance.Admit("3") == admission::kNotRun);
    BW_EQUAL(std::size_t{ 1 }, instance.Runs().size());
  }
  BW_SECTION("spoils every so many answers")
  {
    instance.Faults().mForeignEvery = 2;
    instance.Admit("1");
    BW_CHECK(instance.Finish() == answer_fault::kNone);
    instance.Admit("2");
    BW_CHECK(instance.Finish() == answer_fault::kForeign);
  }
  BW_SECTION("fails everything at once when told to")
  {
    instance.Faults().mFailFast = true;
    instance.Admit("1");
    BW_CHECK(instance.Finish() == answer_fault::kFail);
  }
}
