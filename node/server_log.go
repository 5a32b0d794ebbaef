package node

import (
	"io"
	"strings"

	"k8s.io/klog/v2"
)

// _maxStackBytes bounds the stack in a log line, so that the line is not
// dropped for its length.
const _maxStackBytes = 2 << 10

// serverLog writes what an http.Server reports as log lines: a panic of a
// handler, which closes its connection, or a failure to accept connections.
type serverLog struct{ logger klog.Logger }

var _ io.Writer = serverLog{}

// Write logs one report. Its lines after the first are the stack of a panic.
func (l serverLog) Write(p []byte) (int, error) {
	cause, stack, _ := strings.Cut(strings.TrimSpace(string(p)), "\n")
	l.logger.Error(nil, "Server fault", "fault", cause, "stack", stack[:min(len(stack), _maxStackBytes)])
	return len(p), nil
}
