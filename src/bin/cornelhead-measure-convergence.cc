// Measures how soon configuration changes take effect at all nodes of a running fleet, and their
// cost.
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <map>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>
#include <unistd.h>

#include "cornelhead/base/random.h"
#include "cornelhead/base/settings.h"
#include "cornelhead/config/snapshot.h"
#include "cornelhead/ctl/configuration-store.h"
#include "cornelhead/net/http.h"

namespace cornelhead {
namespace {

const std::string usage = R"(Measures how soon changes are in force at all nodes of a running fleet.

Usage: cornelhead-measure-convergence [options]

Options:
  --platform ADDR   Address of the platform. [default: 127.0.0.1:7200]
  --nodes FILE      The nodes, one a line: process id, data centre, admin address.
  --changes N       Changes to make one after the other. [default: 20]
  --interval D      From one change to the next. [default: 1s]
  --limit D         When to give up waiting for a change. [default: 30s]
  --since-ms T      The first change counts from this moment, in milliseconds of the wall clock; 0
                    counts it from its request as all others. [default: 0]
  --customers N     Customers of the configuration. [default: 200]
  --seed S          Seeds the changes. [default: 1]
  --no-announce     Announce no backend servers.
  --help            Show this text.
  --version         Show the version.
)";

constexpr Milliseconds announcePeriod = Milliseconds(500);
constexpr Milliseconds announceWarmUp = Milliseconds(3000);
constexpr Milliseconds callTimeout = Milliseconds(2000);
constexpr Milliseconds pollInterval = Milliseconds(100);
/// Overhead of gRPC and HTTP/2 per frame, without TCP and IP headers.
constexpr double framingBytesPerFrame = 14;

struct MeasuredNode
{
    int pid = 0;
    DataCentreId dataCentre;
    Address admin;
};

struct NodeStatus
{
    Revision revision;
    std::string digest;
    std::int64_t appliedAtMs = 0;
};

/// Resources that a node has used since its start.
struct ResourceUsage
{
    double cpuSeconds = 0;
    double bytes = 0;
    /// Payload bytes of each flow of the inner protocol, in both directions.
    std::map<std::string, double> flows;
    double refusedDangling = 0;
};

double cpuSecondsOf(int pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string text;
    std::getline(file, text);
    std::istringstream fields(text.substr(std::min(text.size(), text.rfind(')') + 1)));
    std::vector<std::string> values{std::istream_iterator<std::string>(fields), {}};
    constexpr std::size_t userTimeIndex = 11;
    if (values.size() <= userTimeIndex + 1)
        return 0;
    const double ticks = std::stod(values[userTimeIndex]) + std::stod(values[userTimeIndex + 1]);
    return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double residentMegabytesOf(int pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/status");
    std::string line;
    while (std::getline(file, line)) {
        if (line.rfind("VmRSS:", 0) == 0)
            return std::stod(line.substr(6)) / 1024;
    }
    return 0;
}

std::optional<std::string> fetch(const Address &address, const std::string &path)
{
    HttpRequest request;
    request.path = path;
    const Result<HttpResponse> response = callBlocking(address, request, callTimeout);
    if (!response || response->status != 200)
        return std::nullopt;
    return response->body;
}

/// Returns the sum of the series whose name begins with `prefix`.
double sumOf(const std::string &metrics, const std::string &prefix)
{
    std::istringstream lines(metrics);
    std::string line;
    double sum = 0;
    while (std::getline(lines, line)) {
        if (line.rfind(prefix, 0) == 0)
            sum += std::stod(line.substr(line.rfind(' ')));
    }
    return sum;
}

/// Returns the bytes of each flow.
std::map<std::string, double> flowsOf(const std::string &metrics)
{
    const std::string name = "cornelhead_inner_bytes_total";
    const std::string label = "flow=\"";
    std::istringstream lines(metrics);
    std::string line;
    std::map<std::string, double> flows;
    while (std::getline(lines, line)) {
        const std::size_t labelBegin = line.find(label);
        if (line.rfind(name, 0) != 0 || labelBegin == std::string::npos)
            continue;
        const std::size_t valueBegin = labelBegin + label.size();
        flows[line.substr(valueBegin, line.find('"', valueBegin) - valueBegin)]
                += std::stod(line.substr(line.rfind(' ')));
    }
    return flows;
}

std::optional<NodeStatus> readNode(const MeasuredNode &node)
{
    const std::optional<std::string> body = fetch(node.admin, "/status");
    if (!body)
        return std::nullopt;
    const auto json = nlohmann::json::parse(*body, nullptr, false);
    if (!json.is_object())
        return std::nullopt;
    return NodeStatus{Revision(json.value("revision", std::uint64_t(0))),
                      json.value("digest", std::string()),
                      json.value("appliedAtMs", std::int64_t(0))};
}

ResourceUsage readUsage(const MeasuredNode &node)
{
    ResourceUsage usage;
    usage.cpuSeconds = cpuSecondsOf(node.pid);
    const std::string metrics = fetch(node.admin, "/metrics").value_or("");
    usage.bytes = sumOf(metrics, "cornelhead_inner_bytes_total")
            + framingBytesPerFrame * sumOf(metrics, "cornelhead_inner_frames_total");
    usage.flows = flowsOf(metrics);
    usage.refusedDangling = sumOf(metrics, "cornelhead_dangling_refused_total");
    return usage;
}

std::vector<MeasuredNode> readNodes(Settings &settings)
{
    const std::string path = settings.text("--nodes");
    std::ifstream file(path);
    std::vector<MeasuredNode> nodes;
    int pid = 0;
    std::string dataCentre;
    std::string admin;
    while (file >> pid >> dataCentre >> admin) {
        if (const Result<Address> address = parseAddress(admin))
            nodes.push_back({pid, DataCentreId(dataCentre), *address});
    }
    if (nodes.empty())
        settings.addFault("--nodes", path, "name a file with a line for each node");
    return nodes;
}

/// Announces one backend server on each host, as a real server would.
class Announcer
{
public:
    explicit Announcer(std::vector<MeasuredNode> nodes) : nodes_(std::move(nodes))
    {
        thread_ = std::thread([this] {
            const Timer timer = loop_.every(announcePeriod, [this] { announceAll(); });
            loop_.run();
        });
    }
    ~Announcer()
    {
        loop_.stop();
        thread_.join();
    }
    Announcer(const Announcer &) = delete;
    Announcer &operator=(const Announcer &) = delete;

private:
    void announceAll()
    {
        for (const MeasuredNode &node : nodes_) {
            HttpRequest request;
            request.method = HttpMethod::Post;
            request.path = "/v1/announce";
            request.body = nlohmann::json{
                    {"server", node.admin.ip},
                    {"service", "service-0"},
                    {"version", "v1"},
                    {"address", node.admin.ip + ":9000"},
                    {"slots", 10},
                    {"connections", 100},
                    {"state",
                     "serving"}}.dump();
            client_.send(node.admin, request, callTimeout, [](const auto &) {});
        }
    }

    std::vector<MeasuredNode> nodes_;
    EventLoop loop_;
    HttpClient client_{loop_};
    std::thread thread_;
};

/// Returns the configuration after the given number of edits.
Declarations declarationsAfter(std::uint64_t edits, std::uint64_t customers, Random &random)
{
    Declarations declarations;
    constexpr int services = 4;
    for (int i = 0; i < services; ++i) {
        const std::string name = "service-" + std::to_string(i);
        declarations.services.push_back({ServiceId(name), VersionId("v1")});
        Route route;
        route.id = RouteId(name + "/all");
        route.service = ServiceId(name);
        route.pathPrefix = "/";
        declarations.routes.push_back(route);
        Plan plan;
        plan.id = PlanId("plan-" + std::to_string(i));
        plan.services = {ServiceId(name)};
        plan.ratePerSecond = 100;
        plan.burst = 1000;
        plan.concurrency = 100;
        declarations.plans.push_back(plan);
    }
    // Makes each edit differ from all others.
    declarations.plans[random.below(services)].ratePerSecond
            = static_cast<std::uint32_t>(1 + edits);
    for (std::uint64_t i = 0; i < customers; ++i) {
        declarations.customers.push_back({CustomerId("customer-" + std::to_string(i)),
                                          PlanId("plan-" + std::to_string(i % services))});
    }
    return declarations;
}

class Measurement
{
public:
    Measurement(Settings &settings, std::vector<MeasuredNode> nodes)
        : nodes_(std::move(nodes)), platformAddress_(settings.address("--platform")),
          interval_(settings.duration("--interval", Milliseconds(0), std::chrono::minutes(1))),
          timeout_(settings.duration("--limit", Milliseconds(1000), std::chrono::minutes(10))),
          firstChangeStartMs_(
                  static_cast<std::int64_t>(settings.integer("--since-ms", 0, INT64_MAX))),
          changes_(settings.integer("--changes", 1, 100000)),
          customers_(settings.integer("--customers", 1, 1000000)),
          random_(settings.integer("--seed", 0, UINT64_MAX))
    { }

    bool hasFirstChangeStart() const { return firstChangeStartMs_ > 0; }

    int run()
    {
        PlatformSession session({platformAddress_}, timeout_);
        platform_ = session.operations();
        const std::int64_t startMs = wallClockMs();
        const std::vector<ResourceUsage> before = readAllUsage();
        const double callsBefore = platformCalls();
        for (std::uint64_t i = 0; i < changes_; ++i)
            measureChange(i);
        const double seconds = static_cast<double>(wallClockMs() - startMs) / 1000;
        report(before, callsBefore, seconds);
        return missingCount_ == 0 && revertCount_ == 0 && partialCount_ == 0 ? 0 : 1;
    }

private:
    std::vector<ResourceUsage> readAllUsage() const
    {
        std::vector<ResourceUsage> usage;
        usage.reserve(nodes_.size());
        for (const MeasuredNode &node : nodes_)
            usage.push_back(readUsage(node));
        return usage;
    }

    double platformCalls() const
    {
        return sumOf(fetch(platformAddress_, "/metrics").value_or(""),
                     "cornelhead_platform_served_total");
    }

    std::optional<Manifest> applyChange()
    {
        ApplyRequest request;
        request.nowMs = wallClockMs();
        const auto edits = static_cast<std::uint64_t>(request.nowMs % 999'983);
        request.declarations = declarationsAfter(edits, customers_, random_);
        request.author = "measurement";
        request.edit = EditId("measurement-" + std::to_string(request.nowMs));
        const std::int64_t endMs = request.nowMs + timeout_.count();
        while (wallClockMs() < endMs) {
            const Result<ApplyOutcome> outcome = applyDeclarations(platform_, request);
            if (outcome)
                return outcome->manifest;
            std::cerr << "apply: " << outcome.error().describe() << "\n";
            std::this_thread::sleep_for(pollInterval);
        }
        return std::nullopt;
    }

    void measureChange(std::uint64_t index)
    {
        const std::int64_t requestedMs = wallClockMs();
        const std::optional<Manifest> manifest = applyChange();
        if (!manifest) {
            ++missingCount_;
            return;
        }
        // The delay includes the writes to the platform.
        const std::int64_t startMs
                = index == 0 && firstChangeStartMs_ > 0 ? firstChangeStartMs_ : requestedMs;
        awaitNodes(*manifest, startMs);
        const std::int64_t nextMs = requestedMs + interval_.count();
        while (wallClockMs() < nextMs)
            std::this_thread::sleep_for(Milliseconds(1));
    }

    void awaitNodes(const Manifest &manifest, std::int64_t startMs)
    {
        std::vector<bool> applied(nodes_.size());
        std::size_t remaining = nodes_.size();
        const std::int64_t endMs = wallClockMs() + timeout_.count();
        while (remaining > 0 && wallClockMs() < endMs) {
            std::this_thread::sleep_for(pollInterval);
            for (std::size_t i = 0; i < nodes_.size(); ++i) {
                if (!applied[i] && hasApplied(i, manifest, startMs)) {
                    applied[i] = true;
                    --remaining;
                }
            }
        }
        missingCount_ += remaining;
    }

    bool hasApplied(std::size_t index, const Manifest &manifest, std::int64_t startMs)
    {
        const std::optional<NodeStatus> status = readNode(nodes_[index]);
        if (!status || status->revision == Revision(0))
            return false;
        Revision &highest = maxRevisions_[index];
        if (status->revision < highest)
            ++revertCount_;
        highest = std::max(highest, status->revision);
        if (status->revision != manifest.revision)
            return false;
        if (status->digest != manifest.digest.value())
            ++partialCount_;
        delaysMs_.push_back(
                static_cast<double>(std::max<std::int64_t>(0, status->appliedAtMs - startMs)));
        return true;
    }

    double quantile(double probability) const
    {
        if (delaysMs_.empty())
            return -1;
        const auto last = static_cast<double>(delaysMs_.size() - 1);
        return delaysMs_[static_cast<std::size_t>(std::lround(probability * last))];
    }

    void reportFlows(const std::vector<ResourceUsage> &before,
                     const std::vector<ResourceUsage> &after, double seconds) const
    {
        std::map<std::string, double> sums;
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            for (const auto &[flow, bytes] : after[i].flows) {
                const auto previous = before[i].flows.find(flow);
                sums[flow] += bytes - (previous == before[i].flows.end() ? 0 : previous->second);
            }
        }
        std::printf("payload bytes of a node a second:");
        for (const auto &[flow, bytes] : sums) {
            const double bytesPerNode = bytes / seconds / static_cast<double>(nodes_.size());
            if (bytesPerNode >= 1)
                std::printf(" %s=%.0f", flow.c_str(), bytesPerNode);
        }
        std::printf("\n");
    }

    void report(const std::vector<ResourceUsage> &before, double callsBefore, double seconds)
    {
        const double calls = platformCalls() - callsBefore;
        const std::vector<ResourceUsage> after = readAllUsage();
        double bytes = 0;
        double dangling = 0;
        double cpu = 0;
        double maxCpu = 0;
        double maxBytes = 0;
        double maxMemoryMegabytes = 0;
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            const double nodeBytes = (after[i].bytes - before[i].bytes) / seconds;
            const double nodeCpu = (after[i].cpuSeconds - before[i].cpuSeconds) / seconds * 100;
            bytes += nodeBytes;
            cpu += nodeCpu;
            maxBytes = std::max(maxBytes, nodeBytes);
            maxCpu = std::max(maxCpu, nodeCpu);
            maxMemoryMegabytes = std::max(maxMemoryMegabytes, residentMegabytesOf(nodes_[i].pid));
            dangling += after[i].refusedDangling - before[i].refusedDangling;
        }
        const auto count = static_cast<double>(nodes_.size());
        reportFlows(before, after, seconds);
        std::sort(delaysMs_.begin(), delaysMs_.end());
        std::printf("nodes=%zu changes=%llu seconds=%.1f missing=%llu busiest node: cpu_pct=%.2f "
                    "control_bytes_per_s=%.0f\n",
                    nodes_.size(), static_cast<unsigned long long>(changes_), seconds,
                    static_cast<unsigned long long>(missingCount_), maxCpu, maxBytes);
        std::printf(
                "convergence p50_ms=%.0f p99_ms=%.0f max_ms=%.0f control_bytes_per_node_s=%.0f "
                "platform_calls_per_change=%.1f node_cpu_pct=%.2f node_rss_mb=%.1f reverts=%llu "
                "partial=%llu dangling=%.0f\n",
                quantile(0.5), quantile(0.99), quantile(1), bytes / count,
                calls / static_cast<double>(changes_), cpu / count, maxMemoryMegabytes,
                static_cast<unsigned long long>(revertCount_),
                static_cast<unsigned long long>(partialCount_), dangling);
    }

    std::vector<MeasuredNode> nodes_;
    Address platformAddress_;
    Milliseconds interval_;
    Milliseconds timeout_;
    std::int64_t firstChangeStartMs_;
    std::uint64_t changes_;
    std::uint64_t customers_;
    Random random_;
    PlatformOperations platform_;
    std::map<std::size_t, Revision> maxRevisions_;
    std::vector<double> delaysMs_;
    std::uint64_t missingCount_ = 0;
    std::uint64_t revertCount_ = 0;
    std::uint64_t partialCount_ = 0;
};

} // namespace
} // namespace cornelhead

int main(int argc, char **argv)
{
    using namespace cornelhead;
    Settings settings = Settings::parseOrExit(usage, argc, argv);
    std::vector<MeasuredNode> nodes = readNodes(settings);
    Measurement measurement(settings, nodes);
    const bool shouldAnnounce = !settings.flag("--no-announce");
    settings.exitOnFaults();
    std::optional<Announcer> announcer;
    if (shouldAnnounce) {
        announcer.emplace(std::move(nodes));
        // The fleet receives the servers before the measurement begins.
        if (!measurement.hasFirstChangeStart())
            std::this_thread::sleep_for(announceWarmUp);
    }
    return measurement.run();
}
