// Sends calls at a steady rate, checks every response against its request and every key against
// the ledger of runs, and prints a report.
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include "cornelhead/base/log.h"
#include "cornelhead/base/settings.h"
#include "cornelhead/standin/ledger.h"
#include "cornelhead/standin/load-worker.h"

namespace {

using namespace cornelhead;

constexpr const char *usage = R"(Sends calls, checks the answers and reports.

Usage:
  cornelhead-load [options] [--call CALL]...

Options:
  --nodes ADDRS             Proxies that take the calls, separated by commas.
  --direct TARGETS          Backend servers that take calls directly, such as
                            bookings=127.0.0.1:7300,bookings=127.0.0.1:7301; beside --nodes each
                            call goes one of both ways at random, for paired measurement.
  --call CALL               "GET customer service /path weight", or POST for a keyed call, with
                            bytes=N, chain=service/path,... or poison after it; may be repeated.
  --mix FILE                Reads one such call a line.
  --rate N                  Calls a second [default: 100].
  --seconds N               Ends after so many seconds; 0 sends until it is stopped [default: 10].
  --workers N               Threads that send [default: 1].
  --resends N               Attempts after the first, with the same key [default: 3].
  --naive                   Takes targets in turn and sends again at once whatever did not succeed,
                            as callers without cornelhead may; the baseline of measurements.
  --deadline DURATION       Deadline of each attempt [default: 2s].
  --ledger ADDR             Receives the servers' records of runs by UDP.
  --output FORMAT           One of text, json [default: text].
  --seed N                  Seeds arrivals, choices and keys [default: 1].
  --log-level LEVEL         One of debug, info, warning, error [default: warning].
  --help                    Prints this text.
  --version                 Prints the version.
)";

constexpr std::uint64_t maxWorkers = 64;
constexpr std::uint64_t maxSeconds = 7 * 24 * 3600;
constexpr double maxRate = 1e6;
constexpr std::uint64_t maxResends = 100;
constexpr Milliseconds maxDeadline = std::chrono::minutes(10);
/// Wait at the end for records of runs that are still in flight.
constexpr Milliseconds ledgerSettleTime(500);

struct ProgramSettings
{
    LoadSettings load;
    std::chrono::seconds duration{};
    std::uint32_t workers = 1;
    std::optional<Address> ledger;
    bool isJson = false;
};

void readDirect(Settings &settings, LoadSettings &load)
{
    for (const std::string &item : settings.list("--direct")) {
        const std::size_t equals = item.find('=');
        const Result<Address> address
                = parseAddress(equals == std::string::npos ? "" : item.substr(equals + 1));
        if (address)
            load.direct[ServiceId(item.substr(0, equals))].push_back(*address);
        else
            settings.addFault("--direct", item, "write SERVICE=IP:PORT,...");
    }
}

void readMix(Settings &settings, LoadSettings &load)
{
    std::ostringstream text;
    if (settings.has("--mix")) {
        std::ifstream file(settings.text("--mix"));
        if (!file)
            settings.addFault("--mix", settings.text("--mix"), "name a file that can be read");
        text << file.rdbuf() << '\n';
    }
    for (const std::string &call : settings.all("--call"))
        text << call << '\n';
    Result<std::vector<CallKind>> mix = parseMix(text.str());
    if (!mix)
        settings.addFault("--call", mix.error().message, mix.error().remedy);
    else if (mix->empty())
        settings.addFault("--call", "", "give at least one call by --call or --mix");
    else
        load.mix = std::move(*mix);
    for (const CallKind &kind : load.mix) {
        if (load.nodes.empty() && !load.direct.contains(kind.service))
            settings.addFault("--direct", "", "give a target of service " + kind.service.value());
    }
}

ProgramSettings readSettings(int argc, const char *const *argv)
{
    Settings settings = Settings::parseOrExit(usage, argc, argv);
    ProgramSettings program;
    program.load.nodes = settings.addresses("--nodes");
    readDirect(settings, program.load);
    readMix(settings, program.load);
    program.load.rate = settings.real("--rate", 0.001, maxRate);
    program.duration = std::chrono::seconds(settings.integer("--seconds", 0, maxSeconds));
    program.workers = static_cast<std::uint32_t>(settings.integer("--workers", 1, maxWorkers));
    program.load.resends = static_cast<std::uint32_t>(settings.integer("--resends", 0, maxResends));
    if (settings.flag("--naive"))
        program.load.policy = ResendPolicy::Naive;
    program.load.deadline = settings.duration("--deadline", Milliseconds(1), maxDeadline);
    program.load.seed = settings.integer("--seed", 0, UINT64_MAX);
    if (settings.has("--ledger"))
        program.ledger = settings.address("--ledger");
    program.isJson = settings.choice("--output", {"text", "json"}) == "json";
    const std::string level = settings.text("--log-level");
    if (const Result<void> logging = configureLogging(level); !logging)
        settings.addFault("--log-level", level, logging.error().remedy);
    settings.exitOnFaults();
    return program;
}

/// Runs one worker in its own thread.
class WorkerThread
{
public:
    WorkerThread(const ProgramSettings &program, std::uint32_t index)
    {
        LoadSettings settings = program.load;
        settings.rate /= program.workers;
        settings.seed = settings.seed * maxWorkers + index;
        worker_ = std::make_unique<LoadWorker>(loop_, std::move(settings));
        thread_ = std::thread([this] {
            worker_->start();
            loop_.run();
        });
    }

    /// Stops the thread's loop once all calls have ended, then calls `done` in that thread.
    void finish(const std::function<void()> &done)
    {
        loop_.post([this, done] {
            worker_->finish([this, done] {
                loop_.stop();
                done();
            });
        });
    }

    void join() { thread_.join(); }
    const LoadStats &stats() const { return worker_->stats(); }

private:
    EventLoop loop_;
    std::unique_ptr<LoadWorker> worker_;
    std::thread thread_;
};

/// Owns the workers and the ledger for one run.
class LoadRun
{
public:
    explicit LoadRun(const ProgramSettings &program)
        : program_(program), ledger_(loop_, [this](const RunRecord &record) {
              runs_[record.key].push_back(record.server);
          })
    { }

    int run()
    {
        if (program_.ledger) {
            if (const Result<void> listening = ledger_.listen(*program_.ledger); !listening) {
                std::cerr << listening.error().describe() << '\n';
                return exitBadUsage;
            }
        }
        loop_.onSignal(SIGTERM, [this] { finish(); });
        loop_.onSignal(SIGINT, [this] { finish(); });
        for (std::uint32_t index = 0; index < program_.workers; ++index)
            workers_.push_back(std::make_unique<WorkerThread>(program_, index));
        if (program_.duration.count() > 0)
            timer_ = loop_.after(program_.duration, [this] { finish(); });
        loop_.run();
        report();
        return 0;
    }

private:
    void finish()
    {
        if (std::exchange(isFinishing_, true))
            return;
        for (const auto &worker : workers_)
            worker->finish([this] { loop_.post([this] { onWorkerDone(); }); });
    }

    void onWorkerDone()
    {
        if (++finishedWorkers_ == workers_.size())
            timer_ = loop_.after(ledgerSettleTime, [this] { loop_.stop(); });
    }

    void report()
    {
        LoadStats stats;
        for (const auto &worker : workers_) {
            worker->join();
            stats.merge(worker->stats());
        }
        const LoadSummary summary = stats.summarize(runs_);
        const LatencyHistogram &latency
                = program_.load.nodes.empty() ? stats.direct() : stats.throughNodes();
        if (program_.isJson)
            std::cout << summaryJson(summary, stats) << '\n';
        std::cout << summaryLine(summary, latency) << '\n';
    }

    ProgramSettings program_;
    EventLoop loop_;
    LedgerReceiver ledger_;
    KeyRuns runs_;
    std::vector<std::unique_ptr<WorkerThread>> workers_;
    std::size_t finishedWorkers_ = 0;
    bool isFinishing_ = false;
    Timer timer_;
};

} // namespace

int main(int argc, char **argv)
{
    return LoadRun(readSettings(argc, argv)).run();
}
