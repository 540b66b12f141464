// Implements the proxy over its workers.
#include "cornelhead/proxy/proxy.h"

#include <atomic>
#include <vector>

#include "cornelhead/proxy/worker.h"

namespace cornelhead {

struct Proxy::Impl
{
    Impl(ProxySettings settings, Metrics &metrics) : node(std::move(settings), metrics)
    {
        for (std::uint32_t i = 0; i < std::max(1U, node.settings.workers); ++i)
            workers.push_back(std::make_unique<detail::Worker>(node, node.settings.seed + i));
    }

    detail::NodeState node;
    std::vector<std::unique_ptr<detail::Worker>> workers;
};

Proxy::Proxy(ProxySettings settings, Metrics &metrics)
    : impl_(std::make_unique<Impl>(std::move(settings), metrics))
{ }

Proxy::~Proxy() = default;

Result<void> Proxy::start()
{
    const bool isShared = impl_->workers.size() > 1;
    for (const auto &worker : impl_->workers) {
        Result<void> listening = worker->listen(impl_->node.settings.listen, isShared);
        if (!listening)
            return listening;
    }
    for (const auto &worker : impl_->workers)
        worker->start();
    return {};
}

void Proxy::setView(const std::shared_ptr<const RoutingView> &view)
{
    {
        const std::lock_guard lock(impl_->node.keysMutex);
        impl_->node.keys.observe(view->endpoints->nodes, wallClockMs());
    }
    for (const auto &worker : impl_->workers)
        worker->setView(view);
}

void Proxy::confirmMembership()
{
    const std::lock_guard lock(impl_->node.keysMutex);
    impl_->node.keys.confirm(detail::currentMoment());
}

OutcomeBatch Proxy::takeOutcomes()
{
    OutcomeBatch batch;
    for (const auto &worker : impl_->workers)
        mergeOutcomes(batch, worker->takeOutcomes());
    return batch;
}

void Proxy::retireKeys(const std::function<void()> &onDone)
{
    impl_->workers.front()->retireKeys(onDone);
}

void Proxy::drain(const std::function<void()> &onDone)
{
    auto remaining = std::make_shared<std::atomic<std::size_t>>(impl_->workers.size());
    for (const auto &worker : impl_->workers) {
        worker->drain([remaining, onDone] {
            if (remaining->fetch_sub(1) == 1)
                onDone();
        });
    }
}

} // namespace cornelhead
