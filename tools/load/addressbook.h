#pragma once

#include "estate/address.h"

#include <absl/status/statusor.h>

#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace lycheebay::load {

/// The addresses of one service, lowest priority number first, and a ticket.
struct AddressAnswer
{
    std::vector<Address> addresses;
    std::string ticket;
    std::chrono::steady_clock::time_point expiry;
};

/// Asks entries for addresses and caches the answers for their time to live, as callers do.
class AddressBook
{
public:
    AddressBook(std::vector<std::string> entries, std::string tenant);

    /// Returns the cached answer or asks, beginning at the entry that answered last.
    /// Errors: Unavailable when no entry answers. Blocks. Thread-safe.
    absl::StatusOr<AddressAnswer> get(const std::string &service);
    /// Drops the cached answer when it still is the one with \a ticket. Thread-safe.
    void drop(const std::string &service, const std::string &ticket);
    /// As drop(), and asks another entry the next time. Thread-safe.
    void dropAndChangeEntry(const std::string &service, const std::string &ticket);

private:
    absl::StatusOr<AddressAnswer> ask(const std::string &entry, const std::string &service) const;

    const std::vector<std::string> m_entries;
    const std::string m_tenant;
    std::mutex m_mutex;
    std::map<std::string, AddressAnswer> m_cache;
    std::size_t m_nextEntry = 0;
};

} // namespace lycheebay::load
