package pipeline_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// benchHandler answers with a body of 1 KB.
func benchHandler(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Content-Length", "1024")
	_, _ = w.Write(_benchBody)
}

var _benchBody = []byte(strings.Repeat("x", 1<<10))

// processorTime returns how long the process has used processors.
func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// measure runs the function of a benchmark, and reports the processor time of the
// process too, which depends less on what else the machine does.
func measure(b *testing.B, f func()) {
	b.ReportAllocs()
	b.ResetTimer()
	began := processorTime()
	for range b.N {
		f()
	}
	b.ReportMetric(float64(processorTime()-began)/float64(b.N), "cpu-ns/op")
}

// benchConn sends requests and reads responses with as little work as possible.
type benchConn struct {
	net.Conn
	reader *bufio.Reader
}

func dialBench(b *testing.B, address net.Addr) *benchConn {
	conn, err := net.Dial("tcp", address.String())
	assert.NilError(b, err)
	b.Cleanup(func() { _ = conn.Close() })
	return &benchConn{conn, bufio.NewReader(conn)}
}

// exchange sends a text with the given number of requests and reads the responses.
func (c *benchConn) exchange(b *testing.B, text string, count int) {
	if _, err := io.WriteString(c, text); err != nil {
		b.Error(err)
		return
	}
	for range count {
		response, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			b.Error(err)
			return
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
}

// BenchmarkOrdinary compares connections that don't pipeline on an http.Server
// alone with such connections where a pipeline.Server is attached.
func BenchmarkOrdinary(b *testing.B) {
	body := strings.Repeat("y", 1<<10)
	for name, text := range map[string]string{
		"GET":       get("/x"),
		"POST":      "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1024\r\n\r\n" + body,
		"long POST": "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 65536\r\n\r\n" + strings.Repeat(body, 64),
	} {
		for _, isAttached := range []bool{false, true} {
			b.Run(fmt.Sprintf("%s/attached=%t", name, isAttached), func(b *testing.B) {
				var address net.Addr
				if isAttached {
					address = newTestServer(b, 16, benchHandler).http.Listener.Addr()
				} else {
					server := httptest.NewServer(http.HandlerFunc(benchHandler))
					b.Cleanup(server.Close)
					address = server.Listener.Addr()
				}
				c := dialBench(b, address)
				measure(b, func() { c.exchange(b, text, 1) })
			})
		}
	}
}

// BenchmarkEight compares eight requests on one connection with one request on each
// of eight connections, of a handler that takes no time and one that takes 2 ms.
func BenchmarkEight(b *testing.B) {
	const count = 8
	for _, takes := range []time.Duration{0, 2 * time.Millisecond} {
		handler := func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(takes)
			benchHandler(w, r)
		}
		b.Run(fmt.Sprintf("takes=%s/one connection, one after the other", takes), func(b *testing.B) {
			server := httptest.NewServer(http.HandlerFunc(handler))
			b.Cleanup(server.Close)
			c, text := dialBench(b, server.Listener.Addr()), strings.Repeat(get("/x"), count)
			measure(b, func() { c.exchange(b, text, count) })
		})
		b.Run(fmt.Sprintf("takes=%s/one connection", takes), func(b *testing.B) {
			c, text := dialBench(b, newTestServer(b, 16, handler).http.Listener.Addr()), strings.Repeat(get("/x"), count)
			measure(b, func() { c.exchange(b, text, count) })
		})
		b.Run(fmt.Sprintf("takes=%s/eight connections", takes), func(b *testing.B) {
			address := newTestServer(b, 16, handler).http.Listener.Addr()
			conns, text := make([]*benchConn, count), get("/x")
			for i := range conns {
				conns[i] = dialBench(b, address)
			}
			measure(b, func() {
				var exchanges sync.WaitGroup
				for _, c := range conns {
					exchanges.Go(func() { c.exchange(b, text, 1) })
				}
				exchanges.Wait()
			})
		})
	}
}
