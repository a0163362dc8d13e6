#pragma once

#include "briarwind/fiber_runtime.h"
#include "briarwind/member.h"
#include "briarwind/metrics.h"
#include "briarwind/settings_book.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace briarwind {

/// Keeps a book of settings and the member record current from the store: one listing, then one
/// watch that is resumed from its revision. While the store is away the book stays as it is.
class settings_feed
{
public:
  settings_feed(fiber_runtime& aRuntime, config_store& aStore, metrics& aMetrics,
                std::uint64_t aSeed);
  ~settings_feed();
  settings_feed(const settings_feed&) = delete;
  settings_feed& operator=(const settings_feed&) = delete;

  void Start();
  /// Ends the feed's fiber at its next step.
  void Stop();

  const settings_book& Book() const;
  const member_record& Record() const;
  /// The stored form of the record, to hand it over to peers.
  const stored_value& StoredRecord() const;

  /// Called after each change of the book or the record.
  void OnChange(std::function<void()> aObserver);
  /// Called after a read of the store that began at the given instant and found nothing newer than
  /// what is now held.
  void OnConfirmed(std::function<void(instant aBegun)> aObserver);

  /// Called after a listing that was older than what is held.
  void OnOlder(std::function<void()> aObserver);

  /// Applies values that a peer handed over; all that it holds above some revision.
  void Offer(const std::vector<stored_value>& aValues);

  /// Asks the store whether anything is newer, and lists again when something is.
  io_result<void> ReadNow(instant aDeadline);

private:
  struct state;
  fiber_runtime& mRuntime;
  std::shared_ptr<state> mState;
};

} // namespace briarwind
