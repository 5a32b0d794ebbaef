package pipeline_test

import (
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// randomRequest returns a random request and the body of its response.
func randomRequest(rnd *rand.Rand, n int) (method, text, response string) {
	path := fmt.Sprintf("/%d/%d", n, rnd.IntN(6000))
	if rnd.IntN(10) == 0 {
		path = "/once" + path
	}
	method, body, headers := http.MethodGet, "", ""
	switch rnd.IntN(8) {
	case 0:
		method = http.MethodHead
	case 1:
		method, body = http.MethodPost, strings.Repeat("\r\n\r\n", rnd.IntN(50))
		headers = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	case 2:
		method, body = http.MethodPost, strings.Repeat("ab", 1+rnd.IntN(2000))
		text := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
		return method, method + " " + path + " HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + text, expectedBody(path, body)
	case 3:
		headers = "X-Long: " + strings.Repeat("x", rnd.IntN(12_000)) + "\r\n"
	}
	response = expectedBody(path, body)
	if method == http.MethodHead {
		response = ""
	}
	return method, method + " " + path + " HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n" + body, response
}

// expectedBody returns the body of the response to a request: the path, as often as
// it says, and a hash of the request's body.
func expectedBody(path, body string) string {
	length := 0
	_, _ = fmt.Sscan(path[strings.LastIndex(path, "/")+1:], &length)
	return fmt.Sprintf("%s %x %s", path, sha256.Sum256([]byte(body)), strings.Repeat("z", length))
}

// Each of many random requests, cut into random parts, gets the response that the
// same handler gives to it alone, in the order of the requests.
func TestRandomPipelining(t *testing.T) {
	const connections, requests = 10, 1000
	s := newTestServer(t, _testDepth, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if n := rand.IntN(20); n < 2 {
			time.Sleep(time.Duration(n) * time.Millisecond)
		}
		text := expectedBody(r.URL.Path, string(body))
		for len(text) > 0 {
			n := min(len(text), 1+rand.IntN(3000))
			if _, err := io.WriteString(w, text[:n]); err != nil {
				return
			}
			text = text[n:]
			if rand.IntN(10) == 0 {
				_ = http.NewResponseController(w).Flush()
			}
		}
	})
	seed := uint64(time.Now().UnixNano())
	t.Log("seed", seed)
	t.Run("connections", func(t *testing.T) {
		for connection := range connections {
			t.Run(fmt.Sprint(connection), func(t *testing.T) {
				t.Parallel()
				rnd := rand.New(rand.NewPCG(seed, uint64(connection)))
				c := s.dial(t)
				assert.NilError(t, c.SetDeadline(time.Now().Add(2*time.Minute)))
				methods, responses := make([]string, requests), make([]string, requests)
				var text strings.Builder
				for n := range requests {
					var request string
					methods[n], request, responses[n] = randomRequest(rnd, n)
					text.WriteString(request)
				}
				go sendInParts(c, text.String(), rnd)
				for n := range requests {
					response, body := c.receive(methods[n])
					assert.Equal(t, response.StatusCode, http.StatusOK)
					assert.Check(t, body == responses[n], "response %d: %.80q, not %.80q", n, body, responses[n])
				}
			})
		}
	})
	t.Log("taken over", s.TakenOverCount(), "ahead", s.AheadCount(), "held", s.HeldCount())
	assert.Check(t, s.AheadCount() > requests)
}

// sendInParts sends a text in parts of random lengths with pauses.
func sendInParts(w io.Writer, text string, rnd *rand.Rand) {
	for len(text) > 0 {
		n := min(len(text), 1+rnd.IntN(1<<rnd.IntN(14)))
		if _, err := io.WriteString(w, text[:n]); err != nil {
			return
		}
		text = text[n:]
		if rnd.IntN(20) == 0 {
			time.Sleep(time.Millisecond)
		}
	}
}
