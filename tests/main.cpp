#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <csignal>

int main(int argument_count, char** arguments)
{
    // As in the program: a write to a connection that its peer has reset.
    std::signal(SIGPIPE, SIG_IGN);
    return doctest::Context(argument_count, arguments).run();
}
