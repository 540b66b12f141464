// Binds the decisions of distribution to sockets, the platform's client and the loop.
#include "cornelhead/distribution/distribution.h"

#include "cornelhead/distribution/agent.h"
#include "cornelhead/distribution/grpc-network.h"

namespace cornelhead {
namespace detail {

/// How often time passes for the decisions.
constexpr Milliseconds tickInterval = Milliseconds(50);
/// Lets farewells reach the other ends.
constexpr Milliseconds goodbyeDelay = Milliseconds(150);

} // namespace detail

struct Distribution::Impl
{
    Impl(EventLoop &eventLoop, PlatformClient &platform, Metrics &metrics,
         DistributionSettings given, DistributionHandlers handlers)
        : loop(&eventLoop), settings(given),
          network(eventLoop, metrics,
                  {[this](LinkId link, const inner::Frame &frame) { agent.onFrame(link, frame); },
                   [this](LinkId link) { agent.onClosed(link); }}),
          agent(std::move(given), network.port(), platformPort(platform), SteadyClock(), metrics,
                std::move(handlers))
    { }

    EventLoop *loop;
    DistributionSettings settings;
    GrpcNetwork network;
    Agent agent;
    Timer tick;
    Timer end;
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
    impl_->tick = impl_->loop->every(detail::tickInterval, [this] { impl_->agent.tick(); });
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
        impl_->end = impl_->loop->after(detail::goodbyeDelay, done);
    });
}

DistributionStatus Distribution::status() const
{
    return impl_->agent.status();
}

} // namespace cornelhead
