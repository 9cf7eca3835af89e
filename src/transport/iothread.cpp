#include "transport/iothread.h"

#include "transport/internal/ioloop.h"

namespace lycheebay {

IoThread::IoThread()
    : m_loop(std::make_unique<Loop>())
{
    m_loop->thread = std::thread([loop = m_loop.get()] { loop->context.run(); });
}

IoThread::~IoThread()
{
    m_loop->context.stop();
    m_loop->thread.join();
}

} // namespace lycheebay
