#include "StandIns/ConnectionBook.h"

#include <catch2/catch.hpp>

#include <array>
#include <sys/socket.h>
#include <unistd.h>

using namespace almondscale::standin;

namespace {

class ConnectionBookFixture {
public:
    ConnectionBookFixture() { REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, m_sockets.data()) == 0); }

    ~ConnectionBookFixture()
    {
        for (const int socket : m_sockets)
            ::close(socket);
    }

protected:
    int served() const { return m_sockets[0]; }

    bool callerSeesEnd() const
    {
        char byte = 0;
        return ::recv(m_sockets[1], &byte, 1, MSG_DONTWAIT) == 0;
    }

    ConnectionBook m_book;

private:
    std::array<int, 2> m_sockets {};
};

} // namespace

TEST_CASE_METHOD(ConnectionBookFixture, "Connection, added while the book is closed, is ended", "[server]")
{
    m_book.close();
    m_book.add("late", served());
    CHECK(callerSeesEnd());
}

TEST_CASE_METHOD(
    ConnectionBookFixture, "Connection, added after the book was reopened, stays open", "[server]")
{
    m_book.close();
    m_book.reopen();
    m_book.add("new", served());
    CHECK_FALSE(callerSeesEnd());
}
