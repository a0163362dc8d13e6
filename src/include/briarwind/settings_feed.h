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

/// Keeps the settings in force and the member record of a process up to date: lists them from the
/// store once, then watches for changes and resumes the watch from the next revision after a
/// connection was lost. While the store is unavailable the last settings stay in force.
class settings_feed
{
public:
  settings_feed(fiber_runtime& aRuntime, config_store& aStore, metrics& aMetrics,
                std::uint64_t aSeed);
  ~settings_feed();
  settings_feed(const settings_feed&) = delete;
  settings_feed& operator=(const settings_feed&) = delete;

  /// Starts the fiber that lists and watches.
  void Start();
  /// Makes that fiber end at its next step.
  void Stop();

  /// The settings in force.
  const settings_book& Book() const;
  /// The member record in force; its revision is 0 until one has been read.
  const member_record& Record() const;
  /// The member record in its stored form, for sending it to peers.
  const stored_value& StoredRecord() const;

  /// Sets the function to call after each change of the settings or the member record.
  void OnChange(std::function<void()> aObserver);
  /// Sets the function to call after a read of the store that found nothing newer than the settings
  /// and the record in force. It receives the instant at which the read began.
  void OnConfirmed(std::function<void(instant aStartedAt)> aObserver);

  /// Sets the function to call after a listing that was older than the settings or the record in
  /// force.
  void OnOlderListing(std::function<void()> aObserver);

  /// Applies values received from a peer. The peer has to send all values that it has above some
  /// revision, since a process that has one revision is taken to have all lower ones as well.
  void ApplyFromPeer(const std::vector<stored_value>& aValues);

  /// Reads the newest revision from the store, and lists everything when it is newer. Fails with
  /// kConflict when the store is older than the settings or the record in force.
  io_result<void> CheckForNewer(instant aDeadline);

private:
  struct state;
  fiber_runtime& mRuntime;
  std::shared_ptr<state> mState;
};

} // namespace briarwind
