package node

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"k8s.io/klog/v2"

	"lentilferry.example/lentilferry/common/logs"
)

// A panic in a handler closes the caller's connection; the log must say why.
func TestPanicOfHandlerIsLogged(t *testing.T) {
	var output bytes.Buffer
	writer := logs.New(logs.DefaultLimits(), time.Now)
	n := &Node{deps: Dependencies{Logger: klog.New(logs.NewLogger(writer).GetSink())}}
	server := httptest.NewUnstartedServer(nil)
	server.Config = n.newServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("broken invariant") }))
	server.Start()
	response, err := http.Get(server.URL)
	if err == nil {
		_ = response.Body.Close()
	}
	assert.Assert(t, err != nil)
	server.Close()
	stop := make(chan struct{})
	close(stop)
	writer.Run(&output, stop)
	assert.Assert(t, strings.Contains(output.String(), "Server fault"), output.String())
	assert.Assert(t, strings.Contains(output.String(), "broken invariant"), output.String())
}
