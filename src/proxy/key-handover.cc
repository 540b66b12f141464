// Implements the handing over of keys between homes.
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
constexpr std::size_t maxReplyBytes = 1024;
constexpr int okStatus = 200;
constexpr int refusedStatus = 409;

ConnectionSpec nodeConnection(const WorkerState &worker, const NodeInfo &to)
{
    ConnectionSpec need = connectionSpec(to.proxy, true);
    need.localIp = worker.node.settings.self.proxy.ip;
    return need;
}

std::string_view pathOf(evhttp_request *request)
{
    return evhttp_request_get_uri(request);
}

void reply(WorkerState &worker, evhttp_request *request, int status, std::string_view body)
{
    RememberedAnswer answer;
    answer.status = status;
    answer.headers.push_back({"Content-Type", "text/plain"});
    answer.body = body;
    Caller(worker, request).answer(answer);
}

std::optional<std::string> handleRelease(NodeState &node, std::string_view body)
{
    const Result<ReleaseRequest> question = decodeReleaseRequest(body);
    if (!question)
        return std::nullopt;
    const std::lock_guard lock(node.keysMutex);
    const Release release = node.keys.release(question->call, question->successor, currentMoment());
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
    const bool isAgreed = node.keys.confirmRetired(notice->node, notice->members, currentMoment());
    return std::string(isAgreed ? "agreed" : "not agreed");
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
    const auto answer = dispatchNodeMessage(worker.node, pathOf(request), bodyOf(request));
    reply(worker, request, answer ? okStatus : refusedStatus, answer.value_or("refused"));
}

NodeRequest::NodeRequest(WorkerState &worker, const NodeInfo &to, Handler handler)
    : handler_(std::move(handler)),
      attempt_(worker.loop, worker.pool, nodeConnection(worker, to),
               AttemptHandlers{[](evhttp_request *) { return false; }, [](evbuffer *) {},
                               [this](const AttemptOutcome &end) { onEnd(end); }})
{ }

void NodeRequest::send(const char *path, const std::string &body)
{
    evbuffer_add(attempt_.body(), body.data(), body.size());
    attempt_.limitResponseBody(maxReplyBytes);
    attempt_.send(EVHTTP_REQ_POST, path);
}

void NodeRequest::onEnd(const AttemptOutcome &end)
{
    const auto *whole = std::get_if<CompleteResponse>(&end);
    if (!whole || evhttp_request_get_response_code(whole->raw) != okStatus) {
        handler_(std::nullopt);
        return;
    }
    handler_(std::string(bodyOf(whole->raw)));
}

ReleaseCall::ReleaseCall(WorkerState &worker, const NodeInfo &former,
                         std::function<void(Release)> done)
    : worker_(worker), done_(std::move(done)),
      request_(worker, former, [this](const std::optional<std::string> &answer) {
          const Result<Release> release = parseRelease(answer.value_or(""));
          finish(release.value_or(Release::Refused));
      })
{ }

void ReleaseCall::start(const ReleaseRequest &question, Milliseconds allowed)
{
    timeout_ = worker_.loop.after(allowed, [this] {
        request_.cancel();
        finish(Release::Refused);
    });
    // May end the call before it returns.
    request_.send(releasePath, encodeReleaseRequest(question));
}

void ReleaseCall::finish(Release release)
{
    timeout_ = Timer();
    const auto done = std::exchange(done_, nullptr);
    worker_.endCall(this);
    done(release);
}

RetireCall::RetireCall(WorkerState &worker, std::function<void()> done)
    : worker_(worker), done_(std::move(done))
{ }

void RetireCall::start()
{
    {
        const std::lock_guard lock(worker_.node.keysMutex);
        worker_.node.keys.startRetiring();
    }
    deadline_ = worker_.loop.after(retirementTimeout, [this] {
        CORNELHEAD_LOG(WARNING, logPart) << "Keys were not handed over in time.";
        finish();
    });
    poll_ = worker_.loop.every(idlePollInterval, [this] { checkIdle(); });
}

void RetireCall::checkIdle()
{
    {
        const std::lock_guard lock(worker_.node.keysMutex);
        if (!worker_.node.keys.isIdle())
            return;
        successors_ = worker_.node.keys.successors();
    }
    poll_ = Timer();
    for (const NodeInfo &node : successors_)
        members_.push_back(node.id);
    distributeKeys();
}

void RetireCall::sendToSuccessors(const char *path,
                                  const std::function<std::string(const NodeInfo &)> &bodyFor,
                                  const std::function<void(bool)> &onAnswer)
{
    // One more than there are, so that nothing is over before all were sent.
    pendingResponses_ = successors_.size() + 1;
    for (const NodeInfo &node : successors_) {
        requests_.push_back(std::make_unique<NodeRequest>(
                worker_, node,
                [onAnswer](const std::optional<std::string> &answer) { onAnswer(bool(answer)); }));
        requests_.back()->send(path, bodyFor(node));
    }
    onAnswer(true);
}

void RetireCall::distributeKeys()
{
    const auto bodyFor = [this](const NodeInfo &node) {
        const std::lock_guard lock(worker_.node.keysMutex);
        return encodeRetirement(worker_.node.keys.retirementFor(node.id));
    };
    sendToSuccessors(takeOverPath, bodyFor, [this](bool isTaken) { onTakeOverResponse(isTaken); });
}

void RetireCall::onTakeOverResponse(bool isTaken)
{
    hasRefusal_ = hasRefusal_ || !isTaken;
    if (--pendingResponses_ > 0)
        return;
    const bool isSame = [this] {
        const std::lock_guard lock(worker_.node.keysMutex);
        return worker_.node.keys.hasSuccessors(members_);
    }();
    if (hasRefusal_ || !isSame) {
        CORNELHEAD_LOG(WARNING, logPart) << "A successor did not take over; keys stay here.";
        finish();
        return;
    }
    confirm();
}

void RetireCall::confirm()
{
    const RetiredNotice notice{worker_.node.settings.self.id, members_};
    sendToSuccessors(
            retiredPath, [&](const NodeInfo &) { return encodeRetiredNotice(notice); },
            [this](bool) {
                if (--pendingResponses_ > 0)
                    return;
                CORNELHEAD_LOG(INFO, logPart)
                        << "Keys were handed over to " << members_.size() << " nodes.";
                finish();
            });
}

void RetireCall::finish()
{
    poll_ = Timer();
    deadline_ = Timer();
    for (const auto &message : requests_)
        message->cancel();
    const auto done = std::exchange(done_, nullptr);
    worker_.endCall(this);
    done();
}

} // namespace cornelhead::detail
