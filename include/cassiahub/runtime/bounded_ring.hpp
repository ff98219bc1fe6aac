#ifndef CASSIAHUB_RUNTIME_BOUNDED_RING_HPP
#define CASSIAHUB_RUNTIME_BOUNDED_RING_HPP

#include <cassiahub/core/time.hpp>

#include <boost/assert.hpp>
#include <unistd.h>

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <stop_token>
#include <utility>
#include <vector>

namespace cassiahub::runtime
{

/// Bounded first-in first-out queue between threads. A waiting thread blocks on a
/// condition variable and doesn't spin. Every method is thread-safe.
template <typename T>
class bounded_ring
{
public:
    /// \param capacity largest number of items held.
    /// \param wake_fd eventfd written when an item enters an empty ring and on close(),
    /// for a consumer that waits in an event loop; -1: no eventfd. Not owned.
    /// \pre \p capacity > 0
    explicit bounded_ring(std::size_t capacity, int wake_fd = -1)
        : m_capacity(capacity), m_wake_fd(wake_fd)
    {
        BOOST_ASSERT(capacity > 0);
    }

    bounded_ring(bounded_ring const &) = delete;
    bounded_ring & operator=(bounded_ring const &) = delete;

    /// Appends \p item without waiting.
    /// \returns false, leaving \p item untouched, when the ring is full or closed.
    bool try_push(T && item)
    {
        bool was_empty = false;
        {
            std::lock_guard<std::mutex> const lock(m_mutex);
            if (m_closed || is_full())
            {
                return false;
            }
            was_empty = m_items.empty();
            m_items.push_back(std::move(item));
        }
        m_not_empty.notify_one();
        if (was_empty)
        {
            wake_event_loop();
        }
        return true;
    }

    /// Appends \p item, waiting for free space until \p stop is requested.
    /// \returns false, leaving \p item untouched, when the ring is closed, or still full
    /// when \p stop is requested.
    bool push(T && item, std::stop_token const & stop)
    {
        bool was_empty = false;
        {
            std::unique_lock<std::mutex> lock(m_mutex);
            m_not_full.wait(lock, stop, [this] { return m_closed || !is_full(); });
            if (m_closed || is_full())
            {
                return false;
            }
            was_empty = m_items.empty();
            m_items.push_back(std::move(item));
        }
        m_not_empty.notify_one();
        if (was_empty)
        {
            wake_event_loop();
        }
        return true;
    }

    /// Moves every item to the end of \p items, waiting at most \p timeout for the
    /// first one. Removing all items in one call reduces the number of wake-ups
    /// under load.
    /// \returns the number of items moved; 0 on timeout or stop, or when the ring is
    /// closed and empty.
    std::size_t pop_all(std::vector<T> & items, duration timeout,
                        std::stop_token const & stop = {})
    {
        std::size_t count = 0;
        {
            std::unique_lock<std::mutex> lock(m_mutex);
            m_not_empty.wait_for(lock, stop, timeout,
                                 [this] { return m_closed || !m_items.empty(); });
            count = m_items.size();
            for (T & item : m_items)
            {
                items.push_back(std::move(item));
            }
            m_items.clear();
        }
        if (count > 0)
        {
            m_not_full.notify_all();
        }
        return count;
    }

    /// Removes the oldest item, waiting at most \p timeout for one.
    /// \returns std::nullopt on timeout or stop, or when the ring is closed and empty.
    std::optional<T> pop(duration timeout, std::stop_token const & stop = {})
    {
        std::optional<T> item;
        {
            std::unique_lock<std::mutex> lock(m_mutex);
            m_not_empty.wait_for(lock, stop, timeout,
                                 [this] { return m_closed || !m_items.empty(); });
            if (m_items.empty())
            {
                return item;
            }
            item.emplace(std::move(m_items.front()));
            m_items.pop_front();
        }
        m_not_full.notify_one();
        return item;
    }

    /// Makes every later push fail and wakes all waiting threads. Items already in the
    /// ring can still be removed.
    void close()
    {
        {
            std::lock_guard<std::mutex> const lock(m_mutex);
            m_closed = true;
        }
        m_not_empty.notify_all();
        m_not_full.notify_all();
        wake_event_loop();
    }

    /// \returns the number of items at the time of the call.
    std::size_t size() const
    {
        std::lock_guard<std::mutex> const lock(m_mutex);
        return m_items.size();
    }

private:
    /// \pre m_mutex is locked
    bool is_full() const
    {
        return m_items.size() >= m_capacity;
    }

    void wake_event_loop()
    {
        if (m_wake_fd >= 0)
        {
            std::uint64_t const increment = 1;
            // The write fails only when the counter is at its maximum. The eventfd is
            // readable then, so the consumer wakes anyway.
            [[maybe_unused]] ssize_t const written =
                ::write(m_wake_fd, &increment, sizeof increment);
        }
    }

    mutable std::mutex m_mutex;
    std::condition_variable_any m_not_empty;
    std::condition_variable_any m_not_full;
    /// Holds memory for the items in the ring only. A buffer of the whole capacity
    /// becomes resident as the ring goes round, some 30 MB for the events of a gateway.
    std::deque<T> m_items;
    std::size_t m_capacity;
    int m_wake_fd;
    bool m_closed = false;
};

} // namespace cassiahub::runtime

#endif
