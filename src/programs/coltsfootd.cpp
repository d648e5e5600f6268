// Daemon that runs beside each backend server.
#include "programs/DaemonMain.h"

int main(int argc, char **argv)
{
    return Coltsfootwell::daemonMain(argc, argv, {});
}
