package objectstore_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"lentilferry.example/lentilferry/objectstore"
)

// Guards against statuses that are none in responses of the object API: such a
// response ends its connection, and whether a write took effect is unknown.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		// reused counts the requests on connections that had an invalid status.
		var reused atomic.Int64
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go func() {
					defer func() { _ = conn.Close() }()
					r := bufio.NewReader(conn)
					for n := 0; ; n++ {
						request, err := http.ReadRequest(r)
						if err != nil {
							return
						}
						if n > 0 {
							reused.Add(1)
						}
						_, _ = io.Copy(io.Discard, request.Body)
						_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" x\r\nContent-Length: 0\r\n\r\n")
					}
				}()
			}
		}()
		transport := &http.Transport{}
		c := objectstore.NewHTTPClient(objectstore.HTTPDependencies{Base: &url.URL{Scheme: "http", Host: listener.Addr().String()}, Transport: transport})
		for range 2 {
			_, err = c.Get(context.Background(), _key)
			assert.Assert(t, errors.Is(err, objectstore.ErrUnavailable), "%s: %v", status, err)
			outcome := c.Update(context.Background(), _key, 1, []byte("v"))
			assert.Equal(t, outcome.Result, objectstore.Unknown, status)
		}
		assert.Equal(t, reused.Load(), int64(0), status)
		transport.CloseIdleConnections()
		assert.NilError(t, listener.Close())
	}
}
