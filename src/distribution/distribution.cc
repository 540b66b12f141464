// Connects the distribution logic to the network, the platform client and the event loop.
#include "cornelhead/distribution/distribution.h"

#include "cornelhead/distribution/agent.h"
#include "cornelhead/distribution/grpc-network.h"

namespace cornelhead {
namespace detail {

constexpr Milliseconds tickInterval = Milliseconds(50);
/// Time for Goodbye frames to be sent before the process exits.
constexpr Milliseconds goodbyeDelay = Milliseconds(150);

} // namespace detail

struct Distribution::Impl
{
    Impl(EventLoop &eventLoop, PlatformClient &platform, Metrics &metrics,
         DistributionSettings distributionSettings, DistributionHandlers handlers)
        : loop(&eventLoop), settings(distributionSettings),
          network(eventLoop, metrics,
                  {[this](LinkId link, const inner::Frame &frame) { agent.onFrame(link, frame); },
                   [this](LinkId link) { agent.onClosed(link); }}),
          agent(std::move(distributionSettings), network.port(), platformPort(platform),
                SteadyClock(), metrics, std::move(handlers))
    { }

    EventLoop *loop;
    DistributionSettings settings;
    GrpcNetwork network;
    Agent agent;
    Timer tickTimer;
    Timer drainTimer;
};

Distribution::Distribution(EventLoop &loop, PlatformClient &platform, Metrics &metrics,
                           DistributionSettings settings, DistributionHandlers handlers)
    : impl_(std::make_unique<Impl>(loop, platform, metrics, std::move(settings),
                                   std::move(handlers)))
{
    platform.setDataCentre(impl_->settings.self.dataCentre);
}

Distribution::~Distribution() = default;

Result<void> Distribution::start()
{
    Result<void> listening = impl_->network.listen(impl_->settings.self.inner);
    if (!listening)
        return listening;
    impl_->agent.start();
    impl_->tickTimer = impl_->loop->every(detail::tickInterval, [this] { impl_->agent.tick(); });
    return {};
}

void Distribution::announce(const Endpoint &server)
{
    impl_->agent.announce(server);
}

void Distribution::withdraw(const ServerId &server)
{
    impl_->agent.withdraw(server);
}

void Distribution::report(const OutcomeBatch &outcomes)
{
    impl_->agent.report(outcomes);
}

void Distribution::drain(std::function<void()> done)
{
    impl_->agent.drain([this, done = std::move(done)] {
        impl_->drainTimer = impl_->loop->after(detail::goodbyeDelay, done);
    });
}

DistributionStatus Distribution::status() const
{
    return impl_->agent.status();
}

} // namespace cornelhead
