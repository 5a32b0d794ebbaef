// Package logs writes structured log lines as JSON, one per line. It never
// blocks its callers, and it limits how many verbose lines are written per
// second.
package logs

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
)

const (
	// _maxQueuedLines bounds the lines that wait to be written.
	_maxQueuedLines = 4_096
	// _initialLineBytes is the initial buffer size of a line, enough for most
	// lines.
	_initialLineBytes = 512
	// _maxLineBytes bounds the size of one line.
	_maxLineBytes = 4 << 10
	// _bufferBytes is the size of the output buffer.
	_bufferBytes = 16 << 10
	// _flushTimeout bounds writing the queued lines when the process ends.
	_flushTimeout = 100 * time.Millisecond
)

// Limits bounds the rate of written lines.
type Limits struct {
	// VerbosePerSecond is the maximum number of lines of level 1 and above that
	// are written per second.
	VerbosePerSecond int
	// PerSecond is that of lines of level 0, apart from errors; 0 for no maximum.
	// Errors are dropped only if the output can't keep up.
	PerSecond int
}

// DefaultLimits returns limits that allow about 60 KB of verbose lines per second
// and 300 KB of others.
func DefaultLimits() Limits {
	return Limits{VerbosePerSecond: 200, PerSecond: 1000}
}

// Writer queues log lines and writes them in the background. It is safe for
// concurrent use.
type Writer struct {
	limits Limits
	now    func() time.Time
	lines  chan []byte
	// dropped counts the lines that were not written.
	dropped atomic.Uint64
	// failed is set after the first failed write to the output.
	failed atomic.Bool

	mu sync.Mutex
	// currentSecond is the Unix second in which verboseCount counts the verbose
	// lines, and count those of level 0.
	currentSecond       int64
	verboseCount, count int
	// reported is the value of dropped that was last reported in a log line.
	reported uint64
}

// New returns a writer. Nothing is written before Run is called.
func New(limits Limits, now func() time.Time) *Writer {
	return &Writer{limits: limits, now: now, lines: make(chan []byte, _maxQueuedLines)}
}

// Dropped returns how many lines have been dropped.
func (w *Writer) Dropped() uint64 {
	return w.dropped.Load()
}

// Start runs the writer in the background. The returned function stops it and
// writes the queued lines. If the output blocks, it returns after _flushTimeout.
func (w *Writer) Start(out io.Writer) func() {
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		w.Run(out, stop)
	}()
	return func() {
		close(stop)
		select {
		case <-ended:
		case <-time.After(_flushTimeout):
		}
	}
}

// Run writes lines to the output until stop is closed, then writes the queued
// lines and returns.
func (w *Writer) Run(out io.Writer, stop <-chan struct{}) {
	buffer := bufio.NewWriterSize(out, _bufferBytes)
	for {
		select {
		case line := <-w.lines:
			w.write(buffer, line)
		case <-stop:
			for {
				select {
				case line := <-w.lines:
					w.write(buffer, line)
				default:
					w.reportError(buffer.Flush())
					return
				}
			}
		}
		if len(w.lines) == 0 {
			w.reportError(buffer.Flush())
		}
	}
}

func (w *Writer) write(buffer *bufio.Writer, line []byte) {
	_, err := buffer.Write(line)
	w.reportError(err)
}

// reportError reports the first write error on standard error.
func (w *Writer) reportError(err error) {
	if err != nil && !w.failed.Swap(true) {
		fmt.Fprintln(os.Stderr, "can't write log lines, some are lost:", err)
	}
}

// enqueue queues a line for writing, or drops it if the queue is full. The line
// reports the given number of drops; if it is dropped itself, a later line
// reports them again.
func (w *Writer) enqueue(line []byte, drops uint64) {
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
		w.mu.Lock()
		w.reported -= drops
		w.mu.Unlock()
	}
}

// allowed reports whether a line of the level may be written in the current
// second, and counts it.
func (w *Writer) allowed(level int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if second := w.now().Unix(); second != w.currentSecond {
		w.currentSecond = second
		w.verboseCount, w.count = 0, 0
	}
	if level == 0 {
		w.count++
		return w.limits.PerSecond == 0 || w.count <= w.limits.PerSecond
	}
	w.verboseCount++
	return w.verboseCount <= w.limits.VerbosePerSecond
}

// takeUnreportedDrops returns how many lines were dropped since its last call.
func (w *Writer) takeUnreportedDrops() uint64 {
	total := w.dropped.Load()
	w.mu.Lock()
	defer w.mu.Unlock()
	unreported := total - w.reported
	w.reported = total
	return unreported
}

// Sink is a logr.LogSink that passes lines to a Writer.
type Sink struct {
	writer *Writer
	// values is the encoded form of the key-value pairs of WithValues.
	values []byte
}

var _ logr.LogSink = Sink{}

// NewLogger returns a logger that writes through the writer.
func NewLogger(w *Writer) logr.Logger {
	return logr.New(Sink{writer: w})
}

// Init does nothing: lines do not include their source location.
func (Sink) Init(logr.RuntimeInfo) {}

// Enabled returns true: klog checks the verbosity before it creates a line.
func (Sink) Enabled(int) bool { return true }

// Info writes one line.
func (s Sink) Info(level int, message string, keysAndValues ...any) {
	if !s.writer.allowed(level) {
		s.writer.dropped.Add(1)
		return
	}
	s.writeLine("info", message, keysAndValues)
}

// Error writes one line with err as its cause.
func (s Sink) Error(err error, message string, keysAndValues ...any) {
	cause := ""
	if err != nil {
		cause = err.Error()
	}
	s.writeLine("error", message, append([]any{"cause", cause}, keysAndValues...))
}

// WithValues returns a sink that adds the key-value pairs to each line.
func (s Sink) WithValues(keysAndValues ...any) logr.LogSink {
	values := append([]byte(nil), s.values...)
	return Sink{writer: s.writer, values: appendPairs(values, keysAndValues)}
}

// WithName returns the sink unchanged: lines are identified by their node.
func (s Sink) WithName(string) logr.LogSink { return s }

// writeLine encodes a line and queues it. A line that is too long is replaced
// by one with only its message.
func (s Sink) writeLine(severity, message string, keysAndValues []any) {
	line := make([]byte, 0, _initialLineBytes)
	line = append(line, `{"time":"`...)
	line = s.writer.now().UTC().AppendFormat(line, "2006-01-02T15:04:05.000000Z")
	line = append(line, `","level":"`...)
	line = append(line, severity...)
	line = append(line, `","message":`...)
	line = strconv.AppendQuote(line, message)
	line = append(line, s.values...)
	line = appendPairs(line, keysAndValues)
	drops := s.writer.takeUnreportedDrops()
	if drops > 0 {
		line = append(line, `,"linesLeftOut":`...)
		line = strconv.AppendUint(line, drops, 10)
	}
	line = append(line, '}', '\n')
	if len(line) > _maxLineBytes {
		line = append([]byte(`{"level":"error","message":"Line too long","line":`+strconv.Quote(message)), '}', '\n')
	}
	s.writer.enqueue(line, drops)
}

func appendPairs(line []byte, keysAndValues []any) []byte {
	for i := 0; i+1 < len(keysAndValues); i += 2 {
		line = append(line, ',')
		line = appendString(line, fmt.Sprint(keysAndValues[i]))
		line = append(line, ':')
		line = appendValue(line, keysAndValues[i+1])
	}
	return line
}

// appendString appends a JSON string.
func appendString(line []byte, text string) []byte {
	encoded, err := json.Marshal(text)
	if err != nil {
		// Strings always encode; write a placeholder rather than break the
		// line.
		return append(line, `"not encodable"`...)
	}
	return append(line, encoded...)
}

func appendValue(line []byte, value any) []byte {
	switch v := value.(type) {
	case string:
		return appendString(line, v)
	case int:
		return strconv.AppendInt(line, int64(v), 10)
	case int64:
		return strconv.AppendInt(line, v, 10)
	case uint64:
		return strconv.AppendUint(line, v, 10)
	case bool:
		return strconv.AppendBool(line, v)
	case time.Duration:
		// Durations are in milliseconds.
		return strconv.AppendFloat(line, float64(v)/float64(time.Millisecond), 'f', 3, 64)
	case float64, uint32, int32:
		return fmt.Appendf(line, "%v", v)
	case error:
		return appendString(line, v.Error())
	default:
		return appendString(line, fmt.Sprint(v))
	}
}
