#include "blackboard/readerthread.h"

#include <urcu/urcu-memb.h>

namespace lycheebay {

namespace {

class Registration
{
public:
    Registration() { urcu_memb_register_thread(); }
    ~Registration() { urcu_memb_unregister_thread(); }
    Registration(const Registration &) = delete;
    Registration &operator=(const Registration &) = delete;
};

} // namespace

void ensureReaderThread()
{
    thread_local const Registration registration;
    static_cast<void>(registration);
}

namespace rcu {

void lockRead()
{
    ensureReaderThread();
    urcu_memb_read_lock();
}

void unlockRead()
{
    urcu_memb_read_unlock();
}

void waitForReaders()
{
    ensureReaderThread();
    urcu_memb_synchronize_rcu();
}

} // namespace rcu

} // namespace lycheebay
