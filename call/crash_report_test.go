package call

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A process that has lost a connection still runs.
func TestEndedProcessIsToldFromBrokenConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	client := NewUpstreamClient(1, NativeDialect{})
	first, err := client.Dial(t.Context(), address)
	assert.NilError(t, err)
	accepted, err := listener.Accept()
	assert.NilError(t, err)
	assert.NilError(t, accepted.Close())
	assert.Assert(t, !client.HasEnded(t.Context(), address, first.process))

	assert.NilError(t, listener.Close())
	assert.Assert(t, client.HasEnded(t.Context(), address, first.process))
	listener, err = net.Listen("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	next, err := client.Dial(t.Context(), address)
	assert.NilError(t, err)
	assert.Assert(t, next.process > first.process)
	assert.Assert(t, client.HasEnded(t.Context(), address, first.process), "the process was replaced")
	assert.Assert(t, !client.HasEnded(t.Context(), address, next.process))
	_, _ = first.Close(), next.Close()
}

func TestUpstreamCrashHeader(t *testing.T) {
	want := upstreamCrash{process: 0xfedcba9876543210, ranFor: 1250 * time.Millisecond}
	got, err := parseUpstreamCrash(want.String())
	assert.NilError(t, err)
	assert.Equal(t, got, want)
	for _, text := range []string{"", "12", "x 12", "12 x", "12 -1", "12 1 1"} {
		_, err := parseUpstreamCrash(text)
		assert.Assert(t, err != nil, "%q", text)
	}
}
