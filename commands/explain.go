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

// _maxLogLineBytes bounds one log line that is read, in bytes.
const _maxLogLineBytes = 1 << 20

// logLine is one structured log line. Its own fields come first in a story, the
// others as they stand.
type logLine struct {
	time    string
	node    string
	message string
	fields  map[string]any
}

// explainCommand tells the story of one call from the logs of the nodes.
func (c *cli) explainCommand(parent *ff.FlagSet) *ff.Command {
	return &ff.Command{
		Name:      "explain",
		Usage:     "lentilferry explain CALL [FILE ...]",
		ShortHelp: "tell a call's story from the nodes' log files, or from standard input",
		LongHelp: `Prints what each node decided on the call and on the calls that its upstream
made for it, in order, what was known at each decision, and how the call ended.`,
		Flags: ff.NewFlagSet("explain").SetParent(parent),
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return errors.Wrap(errUsage, "explain needs the call's id, as the nodes log it under \"call\"")
			}
			return c.explain(args[0], args[1:])
		},
	}
}

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
		return errors.Wrapf(errUsage, "no line of the logs names call %s; lines of calls that went well are left out first, see linesLeftOut", call)
	}
	_, err := io.WriteString(c.env.Stdout, trace.text())
	return errors.Wrap(err, "write the story")
}

// callTrace collects the lines about one call.
type callTrace struct {
	call  string
	lines []logLine
	// unparsed counts the lines that are not structured.
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

// read takes in the lines of one log. What comes before a line's brace, such as
// the name of a host, is passed over.
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
		if err := json.Unmarshal([]byte(text[start:]), &fields); err != nil {
			t.unparsed++
			continue
		}
		t.add(fields)
	}
	return errors.Wrap(scanner.Err(), "read the log")
}

// add keeps a line that is about the call or about one made for it, whose ID
// begins with the call's.
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

// text returns the story, oldest line first.
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
		fmt.Fprintf(w, "%d lines name the call and can't be read\n", t.unparsed)
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

// _reasonTexts says in a sentence what the reasons of ended calls mean.
var _reasonTexts = map[string]string{
	"too-late":         "no upstream could have run it within its time: all slots were taken by calls that go before it",
	"queue-full":       "too many calls waited at each upstream that was asked",
	"draining":         "the upstreams that were asked take no new calls: they leave, or their version has no share",
	"no-upstream":      "no upstream of the allowed versions takes calls",
	"no-route":         "the configuration in force on the node has no route for it",
	"no-config":        "the node had no configuration yet",
	"unreachable":      "the owner of the upstream, or the upstream, took no connection",
	"wrong-owner":      "the upstream's node had restarted since it was chosen",
	"upstream-refused": "the upstream itself said that it did not run it",
	"deadline":         "its time ended while the upstream ran it, or while its answer was awaited",
	"broken":           "the connection broke after it was sent, so that it may have been run",
	"canceled":         "the caller went away",
	"duplicate":        "it had arrived before",
}

// outcomeText names why the call ended as it did, by its last line.
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
	return "the lines do not say how the call ended; its node may have died"
}
