package commands

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/structpb"

	"lentilferry.example/lentilferry/common"
	"lentilferry.example/lentilferry/config"
	lentilferryv1 "lentilferry.example/lentilferry/gen/lentilferry/v1"
	"lentilferry.example/lentilferry/gen/lentilferry/v1/lentilferryv1connect"
	"lentilferry.example/lentilferry/membership"
	"lentilferry.example/lentilferry/wire"
)

func (c *cli) statusCommand(parent *ff.FlagSet) *ff.Command {
	flags := ff.NewFlagSet("status").SetParent(parent)
	service := flags.StringLong("service", "", "show only the rollout of this service")
	return &ff.Command{
		Name:      "status",
		Usage:     "lentilferry status [--service NAME]",
		ShortHelp: "show the revision in force and the state of rollouts",
		LongHelp:  "Example: lentilferry status --service archive-desk",
		Flags:     flags,
		Exec: func(ctx context.Context, _ []string) error {
			response, err := callAnyNode(ctx, c, &lentilferryv1.StatusRequest{Service: *service}, lentilferryv1connect.OperatorServiceClient.Status)
			if err != nil {
				return err
			}
			return c.print(response, func() string { return statusText(response) })
		},
	}
}

func statusText(s *lentilferryv1.StatusResponse) string {
	var text strings.Builder
	fmt.Fprintf(&text, "Revision %d is the newest this node has; revision %d is in force everywhere.\n", s.GetRevision(), s.GetInForce())
	for _, h := range s.GetHeldBack() {
		if h.GetNode() == "" {
			fmt.Fprintf(&text, "  held back: zone %s, which runs %d (0: its collector does not answer)\n", h.GetZone(), h.GetRevision())
			continue
		}
		fmt.Fprintf(&text, "  held back: %s in %s runs %d\n", h.GetNode(), h.GetZone(), h.GetRevision())
	}
	for _, zone := range s.GetLeftOutZones() {
		fmt.Fprintf(&text, "  zone %s is silent and not counted; it takes the newest revision when it is reachable again\n", zone)
	}
	if s.GetRefusedRevision() != 0 {
		fmt.Fprintf(&text, "Revision %d was refused: %s\n", s.GetRefusedRevision(), s.GetRefusedReason())
	}
	if s.GetPlatform() != "" {
		fmt.Fprintf(&text, "The platform can't be read, so rollouts are not shown: %s\n", s.GetPlatform())
	}
	if len(s.GetRollouts()) == 0 && s.GetPlatform() == "" {
		text.WriteString("No rollouts.\n")
	}
	for _, r := range s.GetRollouts() {
		text.WriteString(rolloutText(r))
	}
	return text.String()
}

func (c *cli) membersCommand(parent *ff.FlagSet) *ff.Command {
	return &ff.Command{
		Name:      "members",
		Usage:     "lentilferry members",
		ShortHelp: "list the nodes and upstreams that a node knows",
		LongHelp:  "Example: lentilferry members --output json",
		Flags:     ff.NewFlagSet("members").SetParent(parent),
		Exec: func(ctx context.Context, _ []string) error {
			response, err := callAnyNode(ctx, c, &lentilferryv1.MembersRequest{}, lentilferryv1connect.OperatorServiceClient.Members)
			if err != nil {
				return err
			}
			return c.print(response, func() string { return membersText(response) })
		},
	}
}

func membersText(response *lentilferryv1.MembersResponse) string {
	ages := make(map[membership.Zone]time.Duration, len(response.GetZones()))
	for _, z := range response.GetZones() {
		ages[membership.Zone(z.GetZone())] = time.Duration(z.GetAgeMillis()) * time.Millisecond
	}
	rows := make([][]string, 0, len(response.GetMembers()))
	for _, m := range wire.DecodeMembers(response.GetMembers()) {
		state := m.State.String()
		if m.Suspected && !m.State.Gone() {
			state += ", suspected"
		}
		rows = append(rows, []string{
			string(m.Zone), string(m.ID), state, string(m.Service), string(m.Version),
			fmt.Sprint(m.Slots), m.PeerAddress.String(), ages[m.Zone].Round(100 * time.Millisecond).String(),
		})
	}
	return "As known to " + response.GetSelf() + ":\n" +
		formatTable("ZONE\tNODE\tSTATE\tSERVICE\tVERSION\tSLOTS\tPEER\tAGE OF STATE", rows)
}

func (c *cli) versionCommand(parent *ff.FlagSet) *ff.Command {
	return &ff.Command{
		Name:      "version",
		Usage:     "lentilferry version",
		ShortHelp: "print this program's version",
		LongHelp:  "Example: lentilferry version --output json",
		Flags:     ff.NewFlagSet("version").SetParent(parent),
		Exec: func(context.Context, []string) error {
			return c.print(singleField("version", common.Version), func() string { return "lentilferry " + common.Version + "\n" })
		},
	}
}

func (c *cli) configCommand(parent *ff.FlagSet) *ff.Command {
	flags := ff.NewFlagSet("config").SetParent(parent)
	return &ff.Command{
		Name:      "config",
		Usage:     "lentilferry config validate|check|diff|apply|get",
		ShortHelp: "check, compare, apply or read the configuration",
		Flags:     flags,
		Subcommands: []*ff.Command{
			c.validateCommand(flags),
			c.checkCommand(flags),
			c.documentCommand(flags, "diff", "compare a file with the configuration in force", true),
			c.documentCommand(flags, "apply", "make a file the configuration in force", false),
			c.getCommand(flags),
		},
	}
}

func (c *cli) validateCommand(parent *ff.FlagSet) *ff.Command {
	return &ff.Command{
		Name:      "validate",
		Usage:     "lentilferry config validate FILE",
		ShortHelp: "check a file without contacting a node",
		LongHelp:  "Example: lentilferry config validate mesh.yaml",
		Flags:     ff.NewFlagSet("validate").SetParent(parent),
		Exec: func(_ context.Context, args []string) error {
			document, err := readDocument(args)
			if err != nil {
				return err
			}
			if _, err := config.ParseYAML(document, config.Config{}); err != nil {
				return errors.Wrapf(errUsage, "%s is not valid:\n  %s", args[0], strings.ReplaceAll(err.Error(), "\n", "\n  "))
			}
			return c.print(singleField("valid", args[0]), func() string { return args[0] + " is valid.\n" })
		},
	}
}

// singleField returns a message with one field, for commands that contact no
// node.
func singleField(name, value string) proto.Message {
	return &structpb.Struct{Fields: map[string]*structpb.Value{name: structpb.NewStringValue(value)}}
}

// documentCommand returns a command that sends a configuration file to a node.
func (c *cli) documentCommand(parent *ff.FlagSet, name, help string, dryRun bool) *ff.Command {
	return &ff.Command{
		Name:      name,
		Usage:     "lentilferry config " + name + " FILE",
		ShortHelp: help,
		LongHelp:  "Example: lentilferry config " + name + " mesh.yaml",
		Flags:     ff.NewFlagSet(name).SetParent(parent),
		Exec: func(ctx context.Context, args []string) error {
			document, err := readDocument(args)
			if err != nil {
				return err
			}
			request := &lentilferryv1.ApplyConfigRequest{Document: document, Operator: *c.operator, Operation: newOperationID(), DryRun: dryRun}
			response, err := callAnyNode(ctx, c, request, lentilferryv1connect.OperatorServiceClient.ApplyConfig)
			if err != nil {
				return err
			}
			return c.print(response, func() string { return appliedText(response, dryRun) })
		},
	}
}

func appliedText(response *lentilferryv1.ApplyConfigResponse, dryRun bool) string {
	var text strings.Builder
	for _, change := range response.GetChanges() {
		fmt.Fprintf(&text, "%s %s %s\n", change.GetChange(), change.GetKind(), change.GetName())
	}
	switch {
	case len(response.GetChanges()) == 0:
		fmt.Fprintf(&text, "No difference from revision %d.\n", response.GetRevision())
	case dryRun:
		fmt.Fprintf(&text, "%d differences from revision %d. Nothing was changed.\n", len(response.GetChanges()), response.GetRevision())
	default:
		fmt.Fprintf(&text, "Accepted as revision %d. Run 'lentilferry status' to see it in force everywhere.\n", response.GetRevision())
	}
	return text.String()
}

func (c *cli) getCommand(parent *ff.FlagSet) *ff.Command {
	return &ff.Command{
		Name:      "get",
		Usage:     "lentilferry config get",
		ShortHelp: "print the configuration that a node runs",
		LongHelp:  "Example: lentilferry config get > mesh.yaml",
		Flags:     ff.NewFlagSet("get").SetParent(parent),
		Exec: func(ctx context.Context, _ []string) error {
			response, err := callAnyNode(ctx, c, &lentilferryv1.GetConfigRequest{}, lentilferryv1connect.OperatorServiceClient.GetConfig)
			if err != nil {
				return err
			}
			return c.print(response, func() string {
				return fmt.Sprintf("# Revision %d\n%s", response.GetRevision(), response.GetDocument())
			})
		},
	}
}

// readDocument reads the file that the only argument names; "-" means standard
// input.
func readDocument(args []string) ([]byte, error) {
	name, err := oneArgument(args, "file")
	if err != nil {
		return nil, err
	}
	if name == "-" {
		document, err := io.ReadAll(io.LimitReader(os.Stdin, config.MaxDocumentBytes+1))
		return document, errors.Wrap(err, "read standard input")
	}
	document, err := os.ReadFile(name) //nolint:gosec // The operator names the file.
	if err != nil {
		return nil, errors.Wrapf(errUsage, "can't read the file: %s", err)
	}
	return document, nil
}
