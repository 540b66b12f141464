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
    settle(RunProof::Unknown);
}

void KeyClaim::settle(RunProof proof)
{
    if (std::exchange(isSettled_, true))
        return;
    const std::lock_guard lock(node_.keysMutex);
    if (proof == RunProof::NotRun)
        node_.keys.memory().finishNotRun(key_);
    else
        node_.keys.memory().finishUnknown(key_, now(SteadyClock()));
}

void KeyClaim::settleAnswered(evhttp_request *response)
{
    if (std::exchange(isSettled_, true))
        return;
    std::shared_ptr<const RememberedAnswer> stored;
    if (evbuffer_get_length(evhttp_request_get_input_buffer(response)) <= maxStoredResponseBytes)
        stored = std::make_shared<RememberedAnswer>(copyResponse(response));
    const std::lock_guard lock(node_.keysMutex);
    node_.keys.memory().finishAnswered(key_, std::move(stored), now(SteadyClock()));
}

} // namespace cornelhead::detail
