#include "briarwind/request_queue.h"

#include "briarwind/testing.h"

#include <map>

using namespace briarwind;

// Guards against an organisation that gets more than its weight of a service, by flooding the queue
// or by staying idle before, and against requests that are lost or served out of order.

namespace {

constexpr instant kNow{ seconds(100) };

queued_request Request(request_number aNumber, const char* aOrganisation,
                       milliseconds aTimeLeft = seconds(1))
{
  return { aNumber, aOrganisation, kNow + aTimeLeft };
}

} // namespace

BW_STORY("the queue orders requests by weight and deadline")
{
  request_queue queue(100);

  BW_SECTION("requests of one organisation are served in order of deadline")
  {
    queue.Push(Request(1, "a", seconds(3)), 1);
    queue.Push(Request(2, "a", seconds(1)), 1);
    BW_EQUAL(request_number{ 2 }, queue.Pop()->mNumber);
    BW_EQUAL(request_number{ 1 }, queue.Pop()->mNumber);
    BW_CHECK(!queue.Pop());
  }
  BW_SECTION("organisations are served in proportion to their weights")
  {
    for (request_number number = 0; number < 40; ++number) {
      queue.Push(Request(number, number % 2 == 0 ? "light" : "heavy"), number % 2 == 0 ? 1 : 3);
    }
    std::map<std::string, int> served;
    for (int turn = 0; turn < 20; ++turn) {
      ++served[queue.Pop()->mOrganisation];
    }
    BW_EQUAL(15, served["heavy"]);
    BW_EQUAL(5, served["light"]);
  }
  BW_SECTION("an organisation that was idle gains no priority")
  {
    for (request_number number = 0; number < 20; ++number) {
      queue.Push(Request(number, "busy"), 1);
    }
    for (int turn = 0; turn < 10; ++turn) {
      queue.Pop();
    }
    for (request_number number = 20; number < 30; ++number) {
      queue.Push(Request(number, "late"), 1);
    }
    int late = 0;
    for (int turn = 0; turn < 10; ++turn) {
      late += queue.Pop()->mOrganisation == "late" ? 1 : 0;
    }
    BW_CHECK(late >= 4 && late <= 6);
  }
}

BW_STORY("a queued request can be returned, counted, removed and expired")
{
  request_queue queue(100);

  BW_SECTION("a request that is put back after Pop is served next")
  {
    queue.Push(Request(1, "a"), 1);
    queue.Push(Request(2, "b"), 1);
    const queued_request first = *queue.Pop();
    queue.Requeue(first, 1);
    BW_EQUAL(first.mNumber, queue.Pop()->mNumber);
  }
  BW_SECTION(
    "earlier deadlines are counted and the weight share is relative to active organisations")
  {
    queue.Push(Request(1, "a", seconds(1)), 1);
    queue.Push(Request(2, "a", seconds(3)), 1);
    queue.Push(Request(3, "b", seconds(1)), 3);
    BW_EQUAL(std::size_t{ 1 }, queue.CountDueBy("a", kNow + seconds(2)));
    BW_EQUAL(0.25, queue.WeightShare("a", 1));
  }
  BW_SECTION("a request is removed once")
  {
    queue.Push(Request(1, "a"), 1);
    BW_CHECK(queue.Remove(1));
    BW_CHECK(!queue.Remove(1));
    BW_CHECK(queue.empty());
  }
  BW_SECTION("only a request past its deadline is popped as expired")
  {
    queue.Push(Request(1, "a", seconds(1)), 1);
    queue.Push(Request(2, "b", seconds(5)), 1);
    BW_EQUAL(request_number{ 1 }, queue.PopExpired(kNow + seconds(2))->mNumber);
    BW_CHECK(!queue.PopExpired(kNow + seconds(2)));
    BW_CHECK(kNow + seconds(5) == *queue.EarliestDeadline());
  }
}

BW_STORY("a full queue displaces requests of the organisation with the most")
{
  request_queue queue(10);
  for (request_number number = 0; number < 9; ++number) {
    queue.Push(Request(number, "flood", milliseconds(1000 + static_cast<int>(number))), 1);
  }
  BW_CHECK(!queue.Push(Request(50, "quiet"), 1));

  BW_SECTION("a request of another organisation displaces the one with the latest deadline")
  {
    const auto dropped = queue.Push(Request(51, "quiet"), 1);
    BW_EQUAL(request_number{ 8 }, dropped->mNumber);
    BW_EQUAL(std::size_t{ 10 }, queue.size());
  }
  BW_SECTION(
    "a new request of that organisation is displaced itself when its deadline is the latest")
  {
    const auto dropped = queue.Push(Request(52, "flood", seconds(9)), 1);
    BW_EQUAL(request_number{ 52 }, dropped->mNumber);
  }
}
