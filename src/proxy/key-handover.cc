// Implements the handover of keys between home nodes.
#include "cornelhead/proxy/key-handover.h"

#include <event2/buffer.h>
#include <event2/http.h>

#include "cornelhead/base/log.h"
#include "cornelhead/proxy/caller.h"
#include "cornelhead/proxy/evhttp-handles.h"
#include "cornelhead/proxy/overloaded.h"
#include "cornelhead/proxy/request-head.h"

namespace cornelhead::detail {

namespace {

constexpr const char *logPart = "keys";
constexpr Milliseconds idlePollInterval = Milliseconds(20);
constexpr Milliseconds retirementTimeout = Milliseconds(10'000);
constexpr std::size_t maxResponseBytes = 1024;
constexpr int okStatus = 200;
constexpr int refusedStatus = 409;

ConnectionSpec nodeConnection(const WorkerState &worker, const NodeInfo &to)
{
    ConnectionSpec spec = connectionSpec(to.proxy, true);
    // The receiver accepts messages only from the IP address of a node.
    spec.localIp = worker.node.settings.self.proxy.ip;
    return spec;
}

std::string_view pathOf(evhttp_request *request)
{
    return evhttp_request_get_uri(request);
}

void reply(WorkerState &worker, evhttp_request *request, int status, std::string_view body)
{
    StoredResponse response;
    response.status = status;
    response.headers.push_back({"Content-Type", "text/plain"});
    response.body = body;
    Caller(worker, request).respond(response);
}

std::optional<std::string> handleRelease(NodeState &node, std::string_view body)
{
    const Result<ReleaseRequest> request = decodeReleaseRequest(body);
    if (!request)
        return std::nullopt;
    const std::lock_guard lock(node.keysMutex);
    const Release release = node.keys.release(request->call, request->successor, currentMoment());
    return std::string(releaseName(release));
}

std::optional<std::string> handleTakeOver(NodeState &node, std::string_view body)
{
    const Result<Retirement> retirement = decodeRetirement(body);
    if (!retirement)
        return std::nullopt;
    const std::lock_guard lock(node.keysMutex);
    if (!node.keys.takeOver(*retirement, currentMoment()))
        return std::nullopt;
    return std::string("taken");
}

std::optional<std::string> handleRetired(NodeState &node, std::string_view body)
{
    const Result<RetiredNotice> notice = decodeRetiredNotice(body);
    if (!notice)
        return std::nullopt;
    const std::lock_guard lock(node.keysMutex);
    const bool isConfirmed
            = node.keys.confirmRetired(notice->node, notice->members, currentMoment());
    return std::string(isConfirmed ? "agreed" : "not agreed");
}

std::optional<std::string> dispatchNodeMessage(NodeState &node, std::string_view path,
                                               std::string_view body)
{
    if (path == releasePath)
        return handleRelease(node, body);
    if (path == takeOverPath)
        return handleTakeOver(node, body);
    if (path == retiredPath)
        return handleRetired(node, body);
    return std::nullopt;
}

} // namespace

bool isNodeMessage(evhttp_request *request)
{
    return pathOf(request).substr(0, nodePathPrefix.size()) == nodePathPrefix;
}

void handleNodeMessage(WorkerState &worker, evhttp_request *request)
{
    const auto response = dispatchNodeMessage(worker.node, pathOf(request), bodyOf(request));
    reply(worker, request, response ? okStatus : refusedStatus, response.value_or("refused"));
}

NodeRequest::NodeRequest(WorkerState &worker, const NodeInfo &to, Handler handler)
    : handler_(std::move(handler)),
      attempt_(worker.loop, worker.pool, nodeConnection(worker, to),
               AttemptHandlers{[](evhttp_request *) { return false; }, [](evbuffer *) {},
                               [this](const AttemptOutcome &outcome) { onEnd(outcome); }})
{ }

void NodeRequest::send(const char *path, const std::string &body)
{
    evbuffer_add(attempt_.body(), body.data(), body.size());
    attempt_.limitResponseBody(maxResponseBytes);
    attempt_.send(EVHTTP_REQ_POST, path);
}

void NodeRequest::onEnd(const AttemptOutcome &outcome)
{
    const auto *complete = std::get_if<CompleteResponse>(&outcome);
    if (!complete || evhttp_request_get_response_code(complete->raw) != okStatus) {
        handler_(std::nullopt);
        return;
    }
    handler_(std::string(bodyOf(complete->raw)));
}

ReleaseCall::ReleaseCall(WorkerState &worker, const NodeInfo &predecessor,
                         std::function<void(Release)> onDone)
    : worker_(worker), onDone_(std::move(onDone)),
      request_(worker, predecessor, [this](const std::optional<std::string> &response) {
          const Result<Release> release = parseRelease(response.value_or(""));
          finish(release.value_or(Release::Refused));
      })
{ }

void ReleaseCall::start(const ReleaseRequest &request, Milliseconds timeout)
{
    timeoutTimer_ = worker_.loop.after(timeout, [this] {
        request_.cancel();
        finish(Release::Refused);
    });
    // May end the call before it returns.
    request_.send(releasePath, encodeReleaseRequest(request));
}

void ReleaseCall::finish(Release release)
{
    timeoutTimer_ = Timer();
    const auto onDone = std::exchange(onDone_, nullptr);
    worker_.endCall(this);
    onDone(release);
}

RetireCall::RetireCall(WorkerState &worker, std::function<void()> onDone)
    : worker_(worker), onDone_(std::move(onDone))
{ }

void RetireCall::start()
{
    {
        const std::lock_guard lock(worker_.node.keysMutex);
        worker_.node.keys.startRetiring();
    }
    deadlineTimer_ = worker_.loop.after(retirementTimeout, [this] {
        CORNELHEAD_LOG(WARNING, logPart)
                << "The handover of idempotency keys timed out; this node keeps them.";
        finish();
    });
    pollTimer_ = worker_.loop.every(idlePollInterval, [this] { checkIdle(); });
}

void RetireCall::checkIdle()
{
    {
        const std::lock_guard lock(worker_.node.keysMutex);
        if (!worker_.node.keys.isIdle())
            return;
        successors_ = worker_.node.keys.successors();
    }
    pollTimer_ = Timer();
    for (const NodeInfo &node : successors_)
        members_.push_back(node.id);
    distributeKeys();
}

void RetireCall::sendToSuccessors(const char *path,
                                  const std::function<std::string(const NodeInfo &)> &bodyFor,
                                  const std::function<void(bool)> &onResponse)
{
    // One more than the successors, so that the count reaches 0 only after all requests were sent.
    pendingResponses_ = successors_.size() + 1;
    for (const NodeInfo &node : successors_) {
        requests_.push_back(std::make_unique<NodeRequest>(
                worker_, node, [onResponse](const std::optional<std::string> &response) {
                    onResponse(bool(response));
                }));
        requests_.back()->send(path, bodyFor(node));
    }
    onResponse(true);
}

void RetireCall::distributeKeys()
{
    const auto bodyFor = [this](const NodeInfo &node) {
        const std::lock_guard lock(worker_.node.keysMutex);
        return encodeRetirement(worker_.node.keys.retirementFor(node.id));
    };
    sendToSuccessors(takeOverPath, bodyFor,
                     [this](bool isAccepted) { onTakeOverResponse(isAccepted); });
}

void RetireCall::onTakeOverResponse(bool isAccepted)
{
    hasRefusal_ = hasRefusal_ || !isAccepted;
    if (--pendingResponses_ > 0)
        return;
    const bool hasSameSuccessors = [this] {
        const std::lock_guard lock(worker_.node.keysMutex);
        return worker_.node.keys.areSuccessors(members_);
    }();
    if (hasRefusal_ || !hasSameSuccessors) {
        CORNELHEAD_LOG(WARNING, logPart)
                << "A successor did not take over the idempotency keys; this node keeps them.";
        finish();
        return;
    }
    sendRetiredNotices();
}

void RetireCall::sendRetiredNotices()
{
    const RetiredNotice notice{worker_.node.settings.self.id, members_};
    sendToSuccessors(
            retiredPath, [&](const NodeInfo &) { return encodeRetiredNotice(notice); },
            [this](bool) {
                if (--pendingResponses_ > 0)
                    return;
                CORNELHEAD_LOG(INFO, logPart)
                        << "Handed over the idempotency keys to " << members_.size() << " nodes.";
                finish();
            });
}

void RetireCall::finish()
{
    pollTimer_ = Timer();
    deadlineTimer_ = Timer();
    for (const auto &request : requests_)
        request->cancel();
    const auto onDone = std::exchange(onDone_, nullptr);
    worker_.endCall(this);
    onDone();
}

} // namespace cornelhead::detail
