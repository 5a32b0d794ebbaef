package main

import (
	"net"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// _runAsDaemon makes the test binary run the daemon in place of the tests.
const _runAsDaemon = "TEST_RUN_AS_DAEMON"

func TestMain(m *testing.M) {
	if os.Getenv(_runAsDaemon) != "" {
		os.Exit(run(os.Args[1:]))
	}
	code := m.Run()
	_ = os.RemoveAll(_buildFolder)
	os.Exit(code)
}

// freeAddress returns a loopback address with a port that is free just now.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func TestSignalWhileStartingEndsProcess(t *testing.T) {
	for range 12 {
		calls := freeAddress(t)
		daemon := exec.Command(os.Args[0], "--id", "n", "--region", "r", "--zone", "z", "--call-address", calls,
			"--peer-address", freeAddress(t), "--admin-address", freeAddress(t), "--platform-url", "http://"+freeAddress(t), "--leave-notice", "10ms")
		daemon.Env = append(os.Environ(), _runAsDaemon+"=1")
		assert.NilError(t, daemon.Start())
		for began := time.Now(); time.Since(began) < 10*time.Second; {
			if conn, err := net.Dial("tcp", calls); err == nil {
				_ = conn.Close()
				break
			}
		}
		assert.NilError(t, daemon.Process.Signal(syscall.SIGHUP))
		time.Sleep(100 * time.Millisecond)
		assert.NilError(t, daemon.Process.Signal(syscall.SIGTERM))
		assert.NilError(t, daemon.Wait())
	}
}
