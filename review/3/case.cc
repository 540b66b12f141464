// A caller sends `Cornelhead-Caller-Service` more than once.  The system has to set it, regardless
// of what was sent.
#include <algorithm>

#include "../standins/standins.h"

namespace {

using namespace review;

constexpr int calls = 20;

class Case
{
public:
    [[noreturn]] void run()
    {
        Host &door = deployment_.add("akl-a", "doorlist");
        deployment_.add("akl-a", "bookings");
        deployment_.add("akl-b", "bookings");
        deployment_.store->put("op/config",
                               configuration(5,
                                             {{"book-seat", "book.example", "/book/",
                                               "non_idempotent", "1500ms", "250ms", "bookings"}},
                                             {"bookings", "doorlist"}));
        if (!deployment_.start())
            deployment_.end(exitCouldNotRun);
        for (int i = 0; i < calls; ++i)
            book(door);
        deployment_.end(judge(door.service));
    }

private:
    void book(Host &host)
    {
        const std::string id = newRequestId();
        Headers headers = {{"Host", "book.example"},
                           {"Cornelhead-Request-Id", id},
                           {"Cornelhead-Deadline-Ms", "1500"},
                           {"Cornelhead-Caller-Service", "catalogue"}};
        if (isTroubled())
            headers.emplace_back("Cornelhead-Caller-Service", "seatmaps");
        const Answer answer
                = call(host.outbound, "POST", "/book/seat", headers, "seat=" + id, 2000);
        Record::line("sent " + id + " from " + host.service + ", answered "
                     + std::to_string(answer.status));
    }

    int judge(const std::string &origin)
    {
        int foreign = 0;
        int runs = 0;
        for (Host *host : deployment_.hostsOf("bookings")) {
            for (const Run &run : host->server->runs()) {
                ++runs;
                std::string values;
                for (const std::string &value : run.callerServices)
                    values += " " + value;
                Record::line("run " + run.id + " with Cornelhead-Caller-Service:" + values);
                // A server reads the first header of a name, or all of them as a list.
                foreign += run.callerServices != std::vector<std::string>{origin};
            }
        }
        Record::line("requests run: " + std::to_string(runs) + ", with another caller than "
                     + origin + ": " + std::to_string(foreign) + " (allowed: 0)");
        if (runs == 0)
            return exitCouldNotRun;
        Record::line(foreign > 0 ? "UNASKED is broken" : "the rule held");
        return foreign > 0 ? exitBroken : exitHeld;
    }

    Deployment deployment_;
};

} // namespace

int main(int, char **argv)
{
    Record::open(argv[1]);
    Case().run();
}
