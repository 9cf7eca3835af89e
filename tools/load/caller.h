#pragma once

#include "tools/load/addressbook.h"
#include "tools/load/workload.h"

#include <chrono>
#include <map>
#include <memory>

namespace httplib {
class Client;
}

namespace lycheebay::load {

/// One caller: sends a request with repeats, one at a time. Not thread-safe.
class Caller
{
public:
    using Time = std::chrono::steady_clock::time_point;

    Caller(const LoadSettings &settings, AddressBook &book, Time start);
    ~Caller();

    /// Sends \a request until it is done, its tries are used up or its deadline passes. Blocks.
    RequestRecord run(const PlannedRequest &request);

private:
    /// Where and under which key the next try goes.
    struct Route
    {
        std::string key;
        std::string ticket;
        std::vector<Address> addresses;
        /// The order may have run: only its own incarnation can tell, with the same key.
        bool isPinned = false;
    };
    struct Sent
    {
        Try attempt;
        bool isRefusedConnection = false;
        bool isWrong = false;
        int retryAfterMs = 0;
    };

    absl::StatusOr<Route> chooseRoute(const PlannedRequest &request, std::size_t tryNumber);
    Sent sendOnRoute(const PlannedRequest &request, Route &route);
    Sent send(const PlannedRequest &request, const Address &address, const std::string &key);
    static void addTry(const PlannedRequest &request, const Sent &sent, RequestRecord &record);
    void adaptRoute(const PlannedRequest &request, const Sent &sent, Route &route);
    void waitBeforeRetry(int retryAfterMs, int tryNumber) const;
    httplib::Client &client(const Address &address);
    std::int64_t nowUs() const;
    std::int64_t remainingMs() const;

    const LoadSettings &m_settings;
    AddressBook &m_book;
    const Time m_start;
    std::int64_t m_deadlineUs = 0;
    std::size_t m_directIndex = 0;
    std::map<Address, std::unique_ptr<httplib::Client>> m_clients;
};

} // namespace lycheebay::load
