// Clients leave before their deadline and their connections are reset.  LEAVE=close lets them leave
// by an orderly close instead.
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <set>

#include "../standins/standins.h"

namespace {

using namespace review;

constexpr int workMs = 1500;
/// Half the objective of the route.
constexpr int leaveAfterMs = 200;
constexpr int graceMs = 500;
constexpr int clients = 50;
/// One of five leaves, as in `give_up` with `share = 0.2`.
constexpr int leavesEach = 5;
constexpr double allowedShare = 0.25;

class Case
{
public:
    [[noreturn]] void run()
    {
        Host &door = deployment_.add("akl-a", "doorlist");
        deployment_.add("akl-a", "seatmaps");
        deployment_.add("akl-b", "seatmaps");
        for (Host *host : deployment_.hostsOf("seatmaps")) {
            host->server->answer
                    = [this](AppServer &server, Stream &stream, const Message &request) {
                          return serve(server, stream, request);
                      };
        }
        deployment_.store->put("op/config",
                               configuration(5,
                                             {{"view-seatmap", "seat.example", "/seats/",
                                               "idempotent", "2500ms", "400ms", "seatmaps"}},
                                             {"seatmaps", "doorlist"}));
        if (!deployment_.start())
            deployment_.end(exitCouldNotRun);
        const std::int64_t processorBefore = door.processorMs();
        const std::int64_t begin = elapsedMs();
        std::vector<std::thread> threads;
        for (int i = 0; i < clients; ++i) {
            threads.emplace_back(
                    [this, &door, i] { view(door, isTroubled() && i % leavesEach == 0); });
            sleepMs(200);
        }
        for (std::thread &thread : threads)
            thread.join();
        Record::line("processor time of the sidecar of the clients' machine: "
                     + std::to_string(door.processorMs() - processorBefore) + " ms in "
                     + std::to_string(elapsedMs() - begin) + " ms");
        deployment_.end(judge());
    }

private:
    // Drops a request when its connection closes, as most servers do.
    bool serve(AppServer &server, Stream &stream, const Message &request)
    {
        server.recordRun(request);
        const std::string id = request.header("Cornelhead-Request-Id");
        const std::int64_t end = elapsedMs() + workMs;
        bool isClosed = false;
        while (elapsedMs() < end && !isClosed) {
            pollfd entry{stream.socket(), POLLRDHUP, 0};
            isClosed = poll(&entry, 1, 10) > 0;
        }
        Record::line(server.id + (isClosed ? " drops " : " has done ") + id);
        {
            const std::lock_guard lock(mutex_);
            workEnded_[id] = elapsedMs();
        }
        return !isClosed && stream.write(server.defaultAnswer(request));
    }

    void view(Host &host, bool leaves)
    {
        const std::string id = newRequestId();
        const Headers headers = {{"Host", "seat.example"},
                                 {"Cornelhead-Request-Id", id},
                                 {"Cornelhead-Deadline-Ms", "2500"}};
        if (!leaves) {
            const Answer answer = call(host.outbound, "GET", "/seats/" + id, headers, "", 3500);
            Record::line("sent " + id + ", answered " + std::to_string(answer.status));
            return;
        }
        Stream stream(connectTo(host.outbound, 1000));
        stream.write(requestText("GET", "/seats/" + id, headers, ""));
        sleepMs(leaveAfterMs);
        const char *how = std::getenv("LEAVE");
        const bool isOrderly = how && std::string(how) == "close";
        if (isOrderly)
            shutdown(stream.socket(), SHUT_RDWR);
        else
            stream.reset();
        Record::line("client of " + id + (isOrderly ? " closes" : " resets") + " its connection");
        const std::lock_guard lock(mutex_);
        leftAt_[id] = elapsedMs();
    }

    int judge()
    {
        const std::lock_guard lock(mutex_);
        int lasting = 0;
        int atWork = 0;
        for (const auto &[id, leftAt] : leftAt_) {
            const auto ended = workEnded_.find(id);
            if (ended == workEnded_.end())
                continue;
            // All would have lasted longer: the work takes 1500 ms, of which some 700 have passed.
            ++lasting;
            atWork += ended->second > leftAt + graceMs;
        }
        Record::line("requests whose client left: " + std::to_string(lasting)
                     + ", at which a server still worked 500 ms later: " + std::to_string(atWork)
                     + " (allowed: a quarter)");
        const bool isBroken = atWork > allowedShare * lasting;
        Record::line(isBroken ? "GONE is broken" : "the rule held");
        return isBroken ? exitBroken : exitHeld;
    }

    Deployment deployment_;
    std::mutex mutex_;
    std::map<std::string, std::int64_t> leftAt_;
    std::map<std::string, std::int64_t> workEnded_;
};

} // namespace

int main(int, char **argv)
{
    Record::open(argv[1]);
    Case().run();
}
