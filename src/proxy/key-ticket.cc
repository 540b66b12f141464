// Implements the settling of keys.
#include "cornelhead/proxy/key-ticket.h"

#include <event2/buffer.h>
#include <event2/http.h>

namespace cornelhead::detail {

namespace {

// A longer answer is passed on but not kept.
constexpr std::size_t maxKeptAnswer = 64 * 1024;

} // namespace

KeyTicket::~KeyTicket()
{
    settle(RunStatus::Unknown);
}

void KeyTicket::settle(RunStatus proof)
{
    if (std::exchange(isSettled_, true))
        return;
    const std::lock_guard lock(node_.keysMutex);
    if (proof == RunStatus::NotRun)
        node_.keys.table().finishNotRun(key_);
    else
        node_.keys.table().finishUnknown(key_, now(SteadyClock()));
}

void KeyTicket::settleAnswered(evhttp_request *answer)
{
    if (std::exchange(isSettled_, true))
        return;
    std::shared_ptr<const StoredResponse> kept;
    if (evbuffer_get_length(evhttp_request_get_input_buffer(answer)) <= maxKeptAnswer)
        kept = std::make_shared<StoredResponse>(copyAnswer(answer));
    const std::lock_guard lock(node_.keysMutex);
    node_.keys.table().finishAnswered(key_, std::move(kept), now(SteadyClock()));
}

} // namespace cornelhead::detail
