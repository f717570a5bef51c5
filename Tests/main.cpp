// Entry point of every test program.

#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest.h>
#include <glog/logging.h>

int main(int argc, char** argv)
{
    FLAGS_logtostderr = true;
    FLAGS_minloglevel = google::GLOG_ERROR;
    google::InitGoogleLogging(argv[0]);
    doctest::Context context(argc, argv);
    return context.run();
}
