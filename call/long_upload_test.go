package call_test

import (
	"bufio"
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	_uploads    = flag.Int("uploads", 24, "uploads that each case of TestLongUploadsWithResets sends")
	_uploadSeed = flag.Uint64("uploadSeed", 1, "seed of TestLongUploadsWithResets")
)

// upload is one call of TestLongUploadsWithResets.
type upload struct {
	id                          string
	requestBytes, responseBytes int
	// pause is the time between the two halves of the response, after which the
	// connection is reset instead if reset is set.
	pause time.Duration
	reset bool
	// closesEarly is set if the upstream ends the response before it has read the
	// request's body.
	closesEarly bool
}

// response returns the response's body.
func (u upload) response() []byte {
	return bytes.Repeat([]byte(u.id), u.responseBytes/len(u.id))
}

// drawUploads returns uploads of 1 to 8 MB, of which every other one is reset. Their
// responses are short enough to be held until they are whole, or are passed on.
func drawUploads(rnd *rand.Rand, n int) map[string]upload {
	uploads := make(map[string]upload, n)
	for i := range n {
		u := upload{
			id:            fmt.Sprintf("u%07d", i),
			requestBytes:  1<<20 + rnd.IntN(7<<20),
			responseBytes: []int{3 << 10, 60 << 10, 900 << 10}[rnd.IntN(3)],
			pause:         time.Duration(rnd.IntN(20_000)) * time.Microsecond,
			reset:         i%2 == 0,
			closesEarly:   rnd.IntN(3) == 0,
		}
		uploads[u.id] = u
	}
	return uploads
}

// serveUploads answers uploads at once with responses without a length.
func serveUploads(uploads map[string]upload) script {
	return func(s *scriptedUpstream, conn net.Conn, r *bufio.Reader) {
		request := s.readHeaders(r)
		if request == nil {
			return
		}
		u := uploads[request.Header.Get("X-Attempt-Id")]
		var reading sync.WaitGroup
		reading.Go(func() { _, _ = io.Copy(io.Discard, request.Body) })
		defer reading.Wait()
		text := u.response()
		writeText(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\n"+_partHead+"\r\n%s", u.id, text[:len(text)/2]))
		time.Sleep(u.pause)
		if u.reset {
			resetConn(conn)
			return
		}
		_, _ = conn.Write(text[len(text)/2:])
		if u.closesEarly {
			closeConnWrite(conn)
		}
	}
}

// Guards against responses to long uploads that reach their callers as whole though
// the upstream's connection was reset, and that are whole and don't reach them.
func TestLongUploadsWithResets(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		for _, local := range []bool{false, true} {
			t.Run(fmt.Sprintf("chunked %t/local %t", chunked, local), func(t *testing.T) {
				uploads := drawUploads(rand.New(rand.NewPCG(*_uploadSeed, 1)), *_uploads)
				upstream := newScriptedUpstream(t, serveUploads(uploads))
				cluster := newHostedCluster(t, _longTimeout, upstream.address)
				if local {
					cluster.useLocalOwner(t)
				}
				var cut, whole, missing atomic.Int64
				var sending sync.WaitGroup
				turns := make(chan struct{}, _testSlots)
				for _, u := range uploads {
					sending.Go(func() {
						turns <- struct{}{}
						defer func() { <-turns }()
						got := sendUpload(t, cluster, u, chunked)
						isSuccess := !got.broken && got.status == http.StatusOK
						switch {
						case isSuccess && got.body != string(u.response()):
							cut.Add(1)
							t.Logf("cut success: %d of %d bytes, %+v", len(got.body), len(u.response()), u)
						case isSuccess:
							whole.Add(1)
						case !u.reset:
							missing.Add(1)
							t.Logf("whole response is missing: status %d, broken %t, reason %q, %+v", got.status, got.broken, got.reason, u)
						}
					})
				}
				sending.Wait()
				t.Logf("%d cut successes, %d whole ones, %d missing of %d uploads", cut.Load(), whole.Load(), missing.Load(), len(uploads))
				assert.Equal(t, cut.Load(), int64(0))
				assert.Equal(t, missing.Load(), int64(0))
			})
		}
	}
}

// sendUpload sends one upload on a connection of its own.
func sendUpload(t *testing.T, cluster *testCluster, u upload, chunked bool) callResult {
	t.Helper()
	var body io.Reader = strings.NewReader(strings.Repeat("b", u.requestBytes))
	if chunked {
		body = io.MultiReader(body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), _longTimeout)
	defer cancel()
	request := newRequest(t, http.MethodPost, cluster.url+"/commands", body).WithContext(ctx)
	request.Header.Set("X-Attempt-Id", u.id)
	return sendRequest(t, request)
}
