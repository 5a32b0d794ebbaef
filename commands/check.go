package commands

import (
	"context"
	"fmt"
	"strings"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"
	"google.golang.org/protobuf/types/known/structpb"

	"lentilferry.example/lentilferry/common/faults"
	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/control"
	lentilferryv1 "lentilferry.example/lentilferry/gen/lentilferry/v1"
	"lentilferry.example/lentilferry/gen/lentilferry/v1/lentilferryv1connect"
	"lentilferry.example/lentilferry/revision"
	"lentilferry.example/lentilferry/wire"
)

// checkReport is the result of 'config check'.
type checkReport struct {
	file   string
	review config.Review
	// notCompared says why the file was not compared with a node's
	// configuration; empty if it was.
	notCompared string
	revision    uint64
	differences []difference
}

// difference is a change of one resource, without the keys of a workspace.
type difference struct {
	control.ConfigChange
	keysAdded, keysRemoved int
}

func (c *cli) checkCommand(parent *ff.FlagSet) *ff.Command {
	flags := ff.NewFlagSet("check").SetParent(parent)
	offline := flags.BoolLong("offline", "do not compare the file with the configuration of a node")
	return &ff.Command{
		Name:      "check",
		Usage:     "lentilferry config check [--offline] FILE",
		ShortHelp: "find errors, entries without effect and differences in a file before it is applied",
		LongHelp: `Changes nothing. Errors give exit code 2; warnings alone give 0. If no node
answers, the file is checked without the comparison, and the report says so.

Example: lentilferry config check mesh.yaml`,
		Flags: flags,
		Exec: func(ctx context.Context, args []string) error {
			document, err := readDocument(args)
			if err != nil {
				return err
			}
			report := checkReport{file: args[0]}
			if err := c.check(ctx, &report, document, *offline); err != nil {
				return err
			}
			return c.printReport(report)
		},
	}
}

// check reviews a document and, unless offline is set, compares it with the
// configuration of a node.
func (c *cli) check(ctx context.Context, report *checkReport, document []byte, offline bool) error {
	var current *config.Config
	if offline {
		report.notCompared = "--offline is set"
	} else {
		if _, err := c.nodeAddresses(); err != nil {
			return err
		}
		current, report.revision, report.notCompared = c.readCurrent(ctx)
	}
	if ctx.Err() != nil {
		return errors.Wrap(ctx.Err(), "check")
	}
	report.review = config.ReviewYAML(document, current)
	if current == nil {
		return nil
	}
	if len(report.review.Errors) > 0 {
		report.notCompared = "the file has errors"
		return nil
	}
	desired := report.review.Config
	changes, err := control.Compare(wire.Codec{}, *current, desired)
	for _, change := range changes {
		d := difference{ConfigChange: change}
		if change.Key.Kind == revision.KindWorkspace {
			name := config.WorkspaceName(change.Key.Name)
			d.keysAdded, d.keysRemoved = config.CountNewKeys(*current, desired, name), config.CountNewKeys(desired, *current, name)
		}
		report.differences = append(report.differences, d)
	}
	return errors.Wrap(err, "compare")
}

// readCurrent returns the configuration that a node runs and its revision; an
// empty one if the node has none yet. It returns nil and the reason if no node
// gives its configuration.
func (c *cli) readCurrent(ctx context.Context) (current *config.Config, number uint64, reason string) {
	response, err := callAnyNode(ctx, c, &lentilferryv1.GetConfigRequest{}, lentilferryv1connect.OperatorServiceClient.GetConfig)
	var remote *connect.Error
	switch {
	case errors.As(err, &remote) && remote.Code() == connect.CodeNotFound:
		return &config.Config{}, 0, ""
	case errors.As(err, &remote):
		return nil, 0, "no node gave its configuration: " + remote.Message()
	case err != nil:
		return nil, 0, "no node gave its configuration: " + err.Error()
	}
	parsed, err := config.ParseYAML(response.GetDocument(), config.Config{})
	if err != nil {
		return nil, 0, "this program can't read the node's configuration: " + err.Error()
	}
	return &parsed, response.GetRevision(), ""
}

// printReport prints the report. The error says how many errors the file has.
func (c *cli) printReport(r checkReport) error {
	message, err := r.message()
	if err != nil {
		return errors.Wrap(err, "format report")
	}
	if err := c.print(message, r.text); err != nil {
		return err
	}
	if count := len(r.review.Errors); count > 0 {
		return errors.Wrapf(errUsage, "%s is not valid: errors: %d", r.file, count)
	}
	return nil
}

func (r checkReport) text() string {
	var text strings.Builder
	for _, fault := range r.review.Errors {
		fmt.Fprintf(&text, "error: %s\n", fault)
	}
	for _, fault := range r.review.Warnings {
		fmt.Fprintf(&text, "warning: %s\n", fault)
	}
	fmt.Fprintf(&text, "%s: errors: %d, warnings: %d.\n", r.file, len(r.review.Errors), len(r.review.Warnings))
	if r.notCompared != "" {
		fmt.Fprintf(&text, "Not compared with the configuration in force: %s.\n", r.notCompared)
		return text.String()
	}
	for _, d := range r.differences {
		fmt.Fprintf(&text, "%s %s %s", d.Kind, d.Key.Kind, d.Key.Name)
		if d.keysAdded+d.keysRemoved > 0 {
			fmt.Fprintf(&text, " (keys added: %d, removed: %d)", d.keysAdded, d.keysRemoved)
		}
		text.WriteString("\n")
	}
	fmt.Fprintf(&text, "Differences from revision %d: %d. Nothing was changed.\n", r.revision, len(r.differences))
	return text.String()
}

// message returns the report for the output as JSON and YAML.
func (r checkReport) message() (*structpb.Struct, error) {
	fields := map[string]any{
		"file":     r.file,
		"errors":   faultValues(r.review.Errors),
		"warnings": faultValues(r.review.Warnings),
	}
	if r.notCompared != "" {
		fields["notCompared"] = r.notCompared
		return structpb.NewStruct(fields)
	}
	differences := make([]any, 0, len(r.differences))
	for _, d := range r.differences {
		value := map[string]any{"change": string(d.Kind), "kind": d.Key.Kind.String(), "name": d.Key.Name}
		if d.Key.Kind == revision.KindWorkspace {
			value["keysAdded"], value["keysRemoved"] = d.keysAdded, d.keysRemoved
		}
		differences = append(differences, value)
	}
	fields["revision"], fields["differences"] = r.revision, differences
	return structpb.NewStruct(fields)
}

func faultValues(found faults.List) []any {
	values := make([]any, 0, len(found))
	for _, fault := range found {
		value := map[string]any{"field": fault.Field, "problem": fault.Problem}
		if fault.Line > 0 {
			value["line"] = fault.Line
		}
		values = append(values, value)
	}
	return values
}
