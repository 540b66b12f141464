// Servers of a service crash one after the other while callers ask for one page often.  After that,
// with all servers up, the page is refused everywhere.
#include <algorithm>
#include <utility>

#include "../standins/standins.h"

namespace {

using namespace review;

constexpr int crashes = 8;
constexpr int downMs = 1200;
constexpr int upMs = 1800;
/// `contact`: machines are in touch, and the state is steady, this long after the last disruption.
constexpr int contactMs = 3000;
constexpr int steadyMs = 5000;
constexpr int pageClients = 48;
constexpr int otherClients = 6;
constexpr int minRequests = 20;

struct Counts
{
    int sent = 0;
    int served = 0;
    double share() const { return sent > 0 ? static_cast<double>(served) / sent : 0.0; }
};

class Case
{
public:
    [[noreturn]] void run()
    {
        for (int i = 0; i < 3; ++i)
            deployment_.add("akl-a", "doorlist");
        for (int i = 0; i < 4; ++i)
            deployment_.add(i % 2 == 0 ? "akl-a" : "akl-b", "seatmaps");
        for (Host *host : deployment_.hostsOf("seatmaps"))
            host->server->answer = [this](AppServer &server, Stream &stream,
                                          const Message &request) {
                {
                    const std::lock_guard lock(mutex_);
                    ++runs_[server.id
                            + (request.path() == "/halls/all" ? " /halls/all" : " /seats/")];
                }
                sleepMs(60);
                return stream.write(server.defaultAnswer(request));
            };
        const RouteRow first{"view-seatmap", "seat.example", "/seats/", "idempotent",
                             "2500ms",       "400ms",        "seatmaps"};
        const RouteRow added{"view-halls", "seat.example", "/halls/", "idempotent",
                             "2500ms",     "400ms",        "seatmaps"};
        const std::vector<std::string> services = {"seatmaps", "doorlist"};
        deployment_.store->put("op/config", configuration(5, {first}, services));
        if (!deployment_.start())
            deployment_.end(exitCouldNotRun);
        deployment_.store->put("op/config", configuration(9, {first, added}, services));
        Record::line("configuration 00000009 adds the route /halls/");
        sleepMs(3000);
        std::vector<std::thread> threads;
        for (int i = 0; i < pageClients; ++i)
            threads.emplace_back([this, i] { ask(i, "/halls/all", page_); });
        for (int i = 0; i < otherClients; ++i)
            threads.emplace_back([this, i] { ask(i, "", others_); });
        sleepMs(2000);
        report("before the crashes");
        for (int i = 0; i < crashes; ++i)
            crash(i);
        sleepMs(contactMs);
        report("in the 3 s after the crashes");
        sleepMs(steadyMs);
        isOver_ = true;
        for (std::thread &thread : threads)
            thread.join();
        deployment_.end(judge());
    }

private:
    // All servers are up again before the next one crashes.
    void crash(int number)
    {
        const std::vector<Host *> hosts = deployment_.hostsOf("seatmaps");
        AppServer &server = *hosts[static_cast<std::size_t>(number) % hosts.size()]->server;
        if (isTroubled()) {
            Record::line("server " + server.id + " crashes");
            server.crash();
        }
        sleepMs(downMs);
        if (isTroubled()) {
            server.start();
            Record::line("server " + server.id + " is back");
        }
        sleepMs(upMs);
        report("until " + std::to_string(number + 1) + " crashes");
    }

    void ask(int client, const std::string &page, Counts &counts)
    {
        const std::vector<Host *> hosts = deployment_.hostsOf("doorlist");
        Host &host = *hosts[static_cast<std::size_t>(client) % hosts.size()];
        while (!isOver_) {
            const std::string id = newRequestId();
            const Answer answer = call(host.outbound, "GET", page.empty() ? "/seats/" + id : page,
                                       {{"Host", "seat.example"},
                                        {"Cornelhead-Request-Id", id},
                                        {"Cornelhead-Deadline-Ms", "2500"}},
                                       "", 3500);
            {
                const std::lock_guard lock(mutex_);
                ++counts.sent;
                counts.served += answer.status == 200;
                if (answer.status != 200)
                    ++otherAnswers_[std::to_string(answer.status) + " " + answer.message.body];
            }
            sleepMs(40);
        }
    }

    void report(const std::string &when)
    {
        const std::lock_guard lock(mutex_);
        Record::line(when + ": /halls/all served " + std::to_string(page_.served) + " of "
                     + std::to_string(page_.sent) + ", /seats/ served "
                     + std::to_string(others_.served) + " of " + std::to_string(others_.sent));
        for (auto &[answer, count] : otherAnswers_)
            Record::line("    " + std::to_string(count) + " x "
                         + answer.substr(0, answer.find('\n')));
        for (auto &[where, count] : runs_)
            Record::line("    run at " + where + ": " + std::to_string(count));
        otherAnswers_.clear();
        runs_.clear();
        judgedPage_ = std::exchange(page_, Counts());
        judgedOthers_ = std::exchange(others_, Counts());
    }

    int judge()
    {
        report("in the steady state, 3 s after the crashes and later");
        if (judgedPage_.sent < minRequests || judgedOthers_.sent < minRequests)
            return exitCouldNotRun;
        const bool isBroken = judgedPage_.share() < judgedOthers_.share() / 4;
        Record::line(isBroken ? "CONFIG is broken: the later route is served less than a quarter "
                                "as often as the first one"
                              : "the rule held");
        return isBroken ? exitBroken : exitHeld;
    }

    Deployment deployment_;
    std::atomic<bool> isOver_{false};
    std::mutex mutex_;
    Counts page_;
    Counts others_;
    Counts judgedPage_;
    Counts judgedOthers_;
    std::map<std::string, int> otherAnswers_;
    std::map<std::string, int> runs_;
};

} // namespace

int main(int, char **argv)
{
    Record::open(argv[1]);
    Case().run();
}
