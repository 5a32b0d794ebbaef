// Package logs writes structured log lines as JSON, one line each, without ever
// keeping its caller waiting and within a bound of lines a second.
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
	// _maxQueuedLines is how many lines wait to be written at most.
	_maxQueuedLines = 4_096
	// _initialLineBytes is what most lines need, in bytes.
	_initialLineBytes = 512
	// _maxLineBytes bounds one line, in bytes.
	_maxLineBytes = 4 << 10
	// _bufferBytes is the size of the buffer in front of the output.
	_bufferBytes = 16 << 10
)

// Limits bounds what is written.
type Limits struct {
	// VerbosePerSecond is how many lines of level 1 and above are written in
	// a second. Lines of level 0 are left out only when the output does not
	// take them.
	VerbosePerSecond int
}

// DefaultLimits returns limits that take about 60 KB a second.
func DefaultLimits() Limits {
	return Limits{VerbosePerSecond: 200}
}

// Writer takes log lines and writes them in the background. It is safe for
// concurrent use.
type Writer struct {
	limits Limits
	now    func() time.Time
	lines  chan []byte
	// dropped counts the lines that were not written.
	dropped atomic.Uint64
	// failed is set once the output could not be written to.
	failed atomic.Bool

	mu sync.Mutex
	// currentSecond is the currentSecond that routine counts the lines of.
	currentSecond int64
	verboseCount  int
	// reported is what leftOut was when it was last reported in the log.
	reported uint64
}

// New returns a writer without an output; see Run.
func New(limits Limits, now func() time.Time) *Writer {
	return &Writer{limits: limits, now: now, lines: make(chan []byte, _maxQueuedLines)}
}

// Dropped returns how many lines were not written so far.
func (w *Writer) Dropped() uint64 {
	return w.dropped.Load()
}

// Run writes lines to the output until the channel is closed, and then what is
// left of them.
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

// reportError says once, on standard error, that the output does not take lines.
func (w *Writer) reportError(err error) {
	if err != nil && !w.failed.Swap(true) {
		fmt.Fprintln(os.Stderr, "log lines are lost:", err)
	}
}

// enqueue hands a line over, or leaves it out. The line notes that others were left
// out; if it is so too, a later one notes them again.
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

func (w *Writer) allowed(level int) bool {
	if level == 0 {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if second := w.now().Unix(); second != w.currentSecond {
		w.currentSecond = second
		w.verboseCount = 0
	}
	w.verboseCount++
	return w.verboseCount <= w.limits.VerbosePerSecond
}

// unreportedDrops returns how many lines were left out since this was last asked.
func (w *Writer) unreportedDrops() uint64 {
	total := w.dropped.Load()
	w.mu.Lock()
	defer w.mu.Unlock()
	unreported := total - w.reported
	w.reported = total
	return unreported
}

// Sink is a logr.LogSink that hands lines to a Writer.
type Sink struct {
	writer *Writer
	// values is the encoded form of the sink's own values.
	values []byte
}

var _ logr.LogSink = Sink{}

// NewLogger returns a logger that writes through the writer.
func NewLogger(w *Writer) logr.Logger {
	return logr.New(Sink{writer: w})
}

// Init does nothing: lines do not name their place in the code.
func (Sink) Init(logr.RuntimeInfo) {}

// Enabled returns true: the level is set where lines are made.
func (Sink) Enabled(int) bool { return true }

// Info writes one line.
func (s Sink) Info(level int, message string, keysAndValues ...any) {
	s.writeLine(level, "info", message, keysAndValues)
}

// Error writes one line with its cause.
func (s Sink) Error(err error, message string, keysAndValues ...any) {
	cause := ""
	if err != nil {
		cause = err.Error()
	}
	s.writeLine(0, "error", message, append([]any{"cause", cause}, keysAndValues...))
}

// WithValues returns a sink that adds the values to each line.
func (s Sink) WithValues(keysAndValues ...any) logr.LogSink {
	values := append([]byte(nil), s.values...)
	return Sink{writer: s.writer, values: appendPairs(values, keysAndValues)}
}

// WithName returns the sink as it is: lines name their node.
func (s Sink) WithName(string) logr.LogSink { return s }

func (s Sink) writeLine(level int, severity, message string, keysAndValues []any) {
	if !s.writer.allowed(level) {
		s.writer.dropped.Add(1)
		return
	}
	line := make([]byte, 0, _initialLineBytes)
	line = append(line, `{"time":"`...)
	line = s.writer.now().UTC().AppendFormat(line, "2006-01-02T15:04:05.000000Z")
	line = append(line, `","level":"`...)
	line = append(line, severity...)
	line = append(line, `","message":`...)
	line = strconv.AppendQuote(line, message)
	line = append(line, s.values...)
	line = appendPairs(line, keysAndValues)
	drops := s.writer.unreportedDrops()
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
		// A string always encodes; what is lost is named at least.
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
