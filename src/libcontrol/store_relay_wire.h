#pragma once

#include "briarwind/http.h"
#include "briarwind/record_store.h"

/// Store calls as hosts hand them to each other: `POST /v1/store/NAME` with a JSON body. An answer
/// of 200 carries the result, any other the kind of the error.

namespace briarwind::store_relay {

/// Carries a call out on this host's own store and writes the answer.
http_response Serve(record_store& aStore, std::string_view aName, std::string_view aBody);

struct call
{
  std::string mName;
  std::string mBody;
};

call GetCall(std::string_view aKey, milliseconds aTime);
call ListCall(std::string_view aPrefix, milliseconds aTime);
call WatchCall(std::string_view aPrefix, store_revision aAfter, milliseconds aWait);
call CommitCall(const store_transaction& aTransaction, milliseconds aTime);
call GrantCall(milliseconds aTimeToLive, milliseconds aTime);
call LeaseCall(std::string_view aName, store_lease aLease, milliseconds aTime);

io_result<std::optional<stored_value>> GetAnswer(const http_response& aAnswer);
io_result<store_listing> ListAnswer(const http_response& aAnswer);
io_result<watch_answer> WatchAnswer(const http_response& aAnswer);
io_result<transaction_result> CommitAnswer(const http_response& aAnswer);
io_result<granted_lease> GrantAnswer(const http_response& aAnswer);

} // namespace briarwind::store_relay
