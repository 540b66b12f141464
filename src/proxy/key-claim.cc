// Implements key claims.
#include "cornelhead/proxy/key-claim.h"

#include <event2/buffer.h>
#include <event2/http.h>

namespace cornelhead::detail {

namespace {

// A longer response is forwarded but not stored.
constexpr std::size_t maxStoredResponseBytes = 64 * 1024;

} // namespace

KeyClaim::~KeyClaim()
{
    settle(RunStatus::Unknown);
}

void KeyClaim::settle(RunStatus proof)
{
    if (std::exchange(isSettled_, true))
        return;
    const std::lock_guard lock(node_.keysMutex);
    if (proof == RunStatus::NotRun)
        node_.keys.table().finishNotRun(key_);
    else
        node_.keys.table().finishUnknown(key_, now(SteadyClock()));
}

void KeyClaim::settleAnswered(evhttp_request *response)
{
    if (std::exchange(isSettled_, true))
        return;
    std::shared_ptr<const StoredResponse> stored;
    if (evbuffer_get_length(evhttp_request_get_input_buffer(response)) <= maxStoredResponseBytes)
        stored = std::make_shared<StoredResponse>(copyResponse(response));
    const std::lock_guard lock(node_.keysMutex);
    node_.keys.table().finishAnswered(key_, std::move(stored), now(SteadyClock()));
}

} // namespace cornelhead::detail
