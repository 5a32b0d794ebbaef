package pipeline_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against differences between the parsing of pipelined requests and that of
// an http.Server, by which a request could be hidden in another: unusual requests get
// the same responses whether or not their connection is taken over.
func TestUnusualRequestsAreTakenAsByHTTPServer(t *testing.T) {
	for _, unusual := range []string{
		"GET /x HTTP/1.1\r\nHost: h\r\nA: b\x01c\r\n\r\n",
		"GET /x HTTP/1.1\r\nHost: h\r\nA: b\rc\r\n\r\n",
		"GET /x HTTP/1.1\r\nHost: h\r\nA: b\r\n c\r\n\r\n",
		"GET /x HTTP/1.1\r\nHost: h\r\nA(: b\r\n\r\n",
		"GET /x HTTP/1.1\r\nHost: h\r\nA : b\r\n\r\n",
		"GET /x HTTP/1.1\r\nHost: h\r\n: b\r\n\r\n",
		"GET /x HTTP/1.1\r\n Host: h\r\n\r\n",
		"GET /x HTTP/1.1\r\nHost: h\r\nHost: g\r\n\r\n",
		"GET /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
		"GET /x HTTP/1.1\r\nHost: h\r\nContent-Length: +1\r\n\r\na",
		"GET /x HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"GET /x HTTP/1.1\r\nHost: h\r\nConnection: Keep-Alive\r\n\r\n",
		"GET /x HTTP/1.1\r\nHost: h\r\nConnection: close, x\r\n\r\n",
		"GET /x HTTP/1.1\r\nHost: h\r\nTrailer: X\r\n\r\n",
		"GET /x%zz HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET /x#f HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET /x HTTP/1.2\r\nHost: h\r\n\r\n",
		"GET http://g/x HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET //g/x HTTP/1.1\r\nHost: h\r\n\r\n",
		"G(T /x HTTP/1.1\r\nHost: h\r\n\r\n",
		"\r\nGET /x HTTP/1.1\r\nHost: h\r\n\r\n",
		"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
	} {
		t.Run(fmt.Sprintf("%q", unusual), func(t *testing.T) {
			assert.Equal(t, responsesTo(t, true, unusual), responsesTo(t, false, unusual))
		})
	}
}

// responsesTo returns the responses to an unusual request between others, on a
// connection that is taken over or not.
func responsesTo(t *testing.T, isTakenOver bool, unusual string) string {
	t.Helper()
	s := newTestServer(t, _testDepth, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		_, _ = fmt.Fprint(w, r.Method, r.URL, r.Host, r.RequestURI, r.Header, string(body), err, r.Close)
	})
	if !isTakenOver {
		assert.Check(t, s.budget.Reserve(_testBudgetBytes))
		defer s.budget.Release(_testBudgetBytes)
	}
	c := s.dial(t)
	c.send(get("/1", "/2") + unusual + get("/3"))
	var all strings.Builder
	for range 4 {
		response, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			break
		}
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		_, _ = fmt.Fprintln(&all, response.StatusCode, response.Close, string(body))
	}
	assert.Equal(t, s.TakenOverCount() > 0, isTakenOver)
	return all.String()
}
