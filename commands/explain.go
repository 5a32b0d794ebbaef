package commands

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"
)

// _maxLogLineBytes bounds the length of a log line.
const _maxLogLineBytes = 1 << 20

// logLine is one structured log line. Its time, node and message are printed
// first, the other fields in the order of their names.
type logLine struct {
	time    string
	node    string
	message string
	fields  map[string]any
}

// explainCommand prints what the nodes logged about one call.
func (c *cli) explainCommand(parent *ff.FlagSet) *ff.Command {
	return &ff.Command{
		Name:      "explain",
		Usage:     "lentilferry explain CALL [FILE ...]",
		ShortHelp: "trace a call through the nodes' log files, or through standard input",
		LongHelp: `Prints, in order of time, what each node decided about the call and about the
calls that its upstream made for it, the data behind each decision, and the
outcome.`,
		Flags: ff.NewFlagSet("explain").SetParent(parent),
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return errors.Wrap(errUsage, "explain needs the call's ID, which is the value of \"call\" in the nodes' logs")
			}
			return c.explain(args[0], args[1:])
		},
	}
}

// explain reads the log files, or standard input if there are none, and prints
// the trace of the call.
func (c *cli) explain(call string, files []string) error {
	trace := newCallTrace(call)
	if len(files) == 0 {
		if err := trace.read(os.Stdin); err != nil {
			return errors.Wrap(err, "standard input")
		}
	}
	for _, name := range files {
		if err := trace.readFile(name); err != nil {
			return err
		}
	}
	if len(trace.lines) == 0 {
		return errors.Wrapf(errUsage, "no log line names call %s; under load, lines of successful calls are dropped first, see linesLeftOut", call)
	}
	_, err := io.WriteString(c.env.Stdout, trace.text())
	return errors.Wrap(err, "write the trace")
}

// callTrace collects the log lines about one call.
type callTrace struct {
	call  string
	lines []logLine
	// unparsed counts the lines that name the call but are not structured.
	unparsed int
}

func newCallTrace(call string) *callTrace {
	return &callTrace{call: call}
}

func (t *callTrace) readFile(name string) error {
	file, err := os.Open(name) //nolint:gosec // The operator names the file.
	if err != nil {
		return errors.Wrap(errUsage, err.Error())
	}
	defer func() { _ = file.Close() }()
	return errors.Wrap(t.read(file), name)
}

// read collects the lines of one log. Text before the opening brace of a line,
// such as a host name, is skipped.
func (t *callTrace) read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, _maxLogLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		if !strings.Contains(text, t.call) {
			continue
		}
		start := strings.IndexByte(text, '{')
		if start < 0 {
			t.unparsed++
			continue
		}
		var fields map[string]any
		decoder := json.NewDecoder(strings.NewReader(text[start:]))
		// Numbers are printed as they were logged: IDs are longer than the digits
		// of a float64.
		decoder.UseNumber()
		if err := decoder.Decode(&fields); err != nil {
			t.unparsed++
			continue
		}
		t.add(fields)
	}
	return errors.Wrap(scanner.Err(), "read the log")
}

// add keeps a line about the call, or about a call that was made for it. The ID
// of such a call begins with the ID of the first call and a dot.
func (t *callTrace) add(fields map[string]any) {
	id, _ := fields["call"].(string)
	if id != t.call && !strings.HasPrefix(id, t.call+".") {
		return
	}
	line := logLine{fields: fields}
	for name, target := range map[string]*string{"time": &line.time, "node": &line.node, "message": &line.message} {
		*target, _ = fields[name].(string)
		delete(fields, name)
	}
	delete(fields, "level")
	t.lines = append(t.lines, line)
}

// text returns the trace, oldest line first.
func (t *callTrace) text() string {
	w := new(strings.Builder)
	slices.SortStableFunc(t.lines, func(a, b logLine) int { return strings.Compare(a.time, b.time) })
	for _, line := range t.lines {
		fmt.Fprintf(w, "%s  %-24s %s", line.time, line.node, line.message)
		if id := line.fields["call"]; id != t.call {
			fmt.Fprintf(w, " (made for it: %v)", id)
		}
		fmt.Fprintln(w)
		delete(line.fields, "call")
		for _, name := range sortedNames(line.fields) {
			fmt.Fprintf(w, "    %s: %v\n", name, line.fields[name])
		}
	}
	if t.unparsed > 0 {
		fmt.Fprintf(w, "%d lines name the call but can't be parsed\n", t.unparsed)
	}
	fmt.Fprintf(w, "cause: %s\n", t.outcomeText())
	return w.String()
}

func sortedNames(fields map[string]any) []string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// _reasonTexts explains the reasons with which calls end.
var _reasonTexts = map[string]string{
	"too-late":         "no upstream could have run it before its deadline: all slots were taken by calls that are served first",
	"queue-full":       "the queue was full at each upstream that was tried",
	"displaced":        "the queue was full at each upstream that was tried, and calls that cost callers more to refuse took its place",
	"elsewhere":        "it would have taken much longer at the upstream than assumed, and no other could be tried",
	"draining":         "the upstreams that were tried take no new calls: they are leaving, or their version has no share",
	"no-upstream":      "no upstream of the allowed versions takes calls",
	"no-route":         "the configuration in force on the node has no route for it",
	"no-config":        "the node had no configuration yet",
	"missing-key":      "it had no key and its route isn't public",
	"unknown-key":      "its key is that of no workspace in the configuration in force on the node",
	"key-withdrawn":    "its key was withdrawn while it waited",
	"allotment":        "its workspace had used up its allotment",
	"unreachable":      "no connection could be made to the upstream or to the node that owns it",
	"wrong-owner":      "the upstream's node had restarted since it was chosen",
	"upstream-refused": "the upstream itself said that it did not run it",
	"deadline":         "its deadline passed while the upstream ran it, or before the answer arrived",
	"broken":           "the connection broke after it was sent, so it may have been run",
	"canceled":         "the caller disconnected",
	"duplicate":        "a call with the same ID had arrived before",
	"upstream-crashed": "the upstream's process ended after it was sent, so it may have been run",
	"crashes-upstreams": "it has crashed each upstream that ran it, so it is refused until a trial call is answered; 'lentilferry blocked' " +
		"lists such calls, 'lentilferry unblock' lifts the block",
}

// outcomeText says why the call ended as it did, by the last line that has an
// outcome or a reason.
func (t *callTrace) outcomeText() string {
	for i := len(t.lines) - 1; i >= 0; i-- {
		line := t.lines[i]
		outcome, _ := line.fields["outcome"].(string)
		reason, _ := line.fields["reason"].(string)
		switch {
		case outcome == "answered":
			return fmt.Sprintf("answered by %v, version %v", line.fields["upstream"], line.fields["version"])
		case reason == "":
			continue
		case _reasonTexts[reason] != "":
			return reason + ": " + _reasonTexts[reason]
		default:
			return reason
		}
	}
	return "the log lines do not show how the call ended; its node may have failed"
}
