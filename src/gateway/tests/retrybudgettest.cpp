#include "base/manualclock.h"
#include "base/seededrandom.h"
#include "gateway/retrylimiter.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <vector>

namespace lycheebay {

using namespace std::chrono_literals;

/// Plays the retries of all instances at one service and checks the budget that they share.
class RetryBudgetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RetryBudgetTest);
    CPPUNIT_TEST(startWithoutInstanceListDoesNotOverdrawTheBudget);
    CPPUNIT_TEST(restartDoesNotRenewTheSlack);
    CPPUNIT_TEST(shrunkInstanceListDoesNotOverdrawTheBudget);
    CPPUNIT_TEST(queuedRetriesDoNotOverdrawTheBudget);
    CPPUNIT_TEST(separateLoadPeaksDoNotOverdrawTheBudget);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t kInstances = 19;
    static constexpr RetryBudget kBudget{ 0.2, 64, 10s };

    ManualClock m_clock;
    SeededRandom m_random{ 1 };
    std::vector<std::unique_ptr<RetryLimiter>> m_limiters;
    /// The limiter of each retry that waits in a queue.
    std::vector<RetryLimiter *> m_queued;
    std::vector<TimePoint> m_requests;
    std::vector<TimePoint> m_arrivals;

    void startInstance(std::size_t index, std::optional<std::size_t> knownInstances)
    {
        m_limiters[index] = std::make_unique<RetryLimiter>(m_clock.now());
        setKnownInstances(index, knownInstances);
    }

    void setKnownInstances(std::size_t index, std::optional<std::size_t> known)
    {
        m_limiters[index]->setBudget(kBudget, known, m_clock.now());
    }

    void startAll(std::optional<std::size_t> knownInstances)
    {
        m_limiters.resize(kInstances);
        for (std::size_t i = 0; i < kInstances; ++i)
            startInstance(i, knownInstances);
    }

    /// One second of requests, spread over the instances. Each asks for \a retries extra attempts,
    /// which are sent at once or wait in the queue.
    void playSecond(int requests, int retries = 1, bool blocked = false)
    {
        if (!blocked)
            sendQueued();
        for (int i = 0; i < requests; ++i) {
            m_clock.advance(std::chrono::duration_cast<Duration>(1s) / requests);
            RetryLimiter &limiter = *m_limiters[m_random.below(kInstances)];
            limiter.countRequest(m_clock.now());
            m_requests.push_back(m_clock.now());
            for (int n = 0; n < retries; ++n) {
                if (limiter.tryReserve(m_clock.now()))
                    m_queued.push_back(&limiter);
            }
            if (!blocked)
                sendQueued();
        }
    }

    void sendQueued()
    {
        for (RetryLimiter *it : m_queued) {
            it->commit(m_clock.now());
            m_arrivals.push_back(m_clock.now());
        }
        m_queued.clear();
    }

    static int countBetween(const std::vector<TimePoint> &times, TimePoint first, TimePoint last)
    {
        return static_cast<int>(std::lower_bound(times.begin(), times.end(), last)
                                - std::lower_bound(times.begin(), times.end(), first));
    }

    /// The requests of a window are those in it, in the one before, or in the one half a window
    /// before, whichever are most.
    void checkBudget()
    {
        const Duration window = kBudget.window;
        for (const TimePoint start : m_arrivals) {
            const int requests =
                    std::max({ countBetween(m_requests, start, start + window),
                               countBetween(m_requests, start - window / 2, start + window / 2),
                               countBetween(m_requests, start - window, start) });
            const double allowed = kBudget.ratio * requests + kBudget.slack;
            const int extra = countBetween(m_arrivals, start, start + window);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(extra) + " extra attempts for "
                                           + std::to_string(requests) + " requests",
                                   extra <= allowed);
        }
    }

public:
    void startWithoutInstanceListDoesNotOverdrawTheBudget()
    {
        startAll(std::nullopt);
        for (int second = 0; second < 20; ++second)
            playSecond(30, 5);
        checkBudget();
    }

    void restartDoesNotRenewTheSlack()
    {
        startAll(kInstances);
        for (int second = 0; second < 40; ++second) {
            if (second >= 20 && second % 3 == 0) {
                for (std::size_t i = 0; i < kInstances; ++i)
                    startInstance(i, kInstances);
            }
            playSecond(30, 5);
        }
        checkBudget();
    }

    void shrunkInstanceListDoesNotOverdrawTheBudget()
    {
        startAll(kInstances);
        for (int second = 0; second < 20; ++second)
            playSecond(30, 5);
        for (std::size_t i = 0; i < kInstances; ++i)
            setKnownInstances(i, 1);
        for (int second = 0; second < 5; ++second)
            playSecond(30, 5);
        for (std::size_t i = 0; i < kInstances; ++i)
            setKnownInstances(i, kInstances);
        for (int second = 0; second < 10; ++second)
            playSecond(30, 5);
        checkBudget();
    }

    // A retry waits in the queue until a target has room, for 6 s at most.
    void queuedRetriesDoNotOverdrawTheBudget()
    {
        startAll(kInstances);
        for (int second = 0; second < 60; ++second) {
            const bool blocked = second % 20 >= 10 && second % 20 < 16;
            playSecond(30, 5, blocked);
        }
        checkBudget();
    }

    // Retries are asked for in the second peak only, which is 8 s after the first one.
    void separateLoadPeaksDoNotOverdrawTheBudget()
    {
        startAll(kInstances);
        for (int second = 0; second < 60; ++second) {
            const bool first = second % 20 == 2;
            const bool last = second % 20 == 10;
            playSecond(first || last ? 600 : 1, last ? 3 : 0);
        }
        checkBudget();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryBudgetTest);

} // namespace lycheebay
