package commands

import (
	"context"
	"fmt"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"

	lentilferryv1 "lentilferry.example/lentilferry/gen/lentilferry/v1"
	"lentilferry.example/lentilferry/gen/lentilferry/v1/lentilferryv1connect"
)

const (
	// _contentDigits is the length of a call's content in hexadecimal.
	_contentDigits = 32
	// _minContentPrefix is the shortest prefix that names a content.
	_minContentPrefix = 8
)

func (c *cli) blockedCommand(parent *ff.FlagSet) *ff.Command {
	return &ff.Command{
		Name:      "blocked",
		Usage:     "lentilferry blocked",
		ShortHelp: "list the calls that are refused because they crash upstreams",
		LongHelp: `Lists the calls that were running when upstreams crashed, as a node knows them:
those that were blocked most often first, at the end those that were cleared.

Example: lentilferry blocked --output json`,
		Flags: ff.NewFlagSet("blocked").SetParent(parent),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return errors.Wrapf(errUsage, "unexpected argument %q; see 'lentilferry blocked --help'", args[0])
			}
			response, err := c.listBlockedCalls(ctx)
			if err != nil {
				return err
			}
			return c.print(response, func() string { return blockedText(response) })
		},
	}
}

func (c *cli) listBlockedCalls(ctx context.Context) (*lentilferryv1.ListBlockedCallsResponse, error) {
	return callAnyNode(ctx, c, &lentilferryv1.ListBlockedCallsRequest{}, lentilferryv1connect.OperatorServiceClient.ListBlockedCalls)
}

func blockedText(response *lentilferryv1.ListBlockedCallsResponse) string {
	if len(response.GetCalls()) == 0 {
		return "As known to " + response.GetSelf() + ": no call was running when upstreams crashed in the last minutes.\n"
	}
	rows := make([][]string, 0, len(response.GetCalls()))
	for _, call := range response.GetCalls() {
		rows = append(rows, []string{
			call.GetContent(), blockedState(call), fmt.Sprint(call.GetCrashes()), fmt.Sprint(call.GetTrips()),
			roundedMillis(call.GetBlockEndsInMillis()), roundedMillis(call.GetAgeMillis()), runnersText(call.GetRunners()), orDash(call.GetLabel()),
		})
	}
	return "As known to " + response.GetSelf() + ":\n" +
		formatTable("CONTENT\tSTATE\tCRASHES\tTRIPS\tENDS IN\tCHANGED\tCRASHED\tCALL", rows)
}

// blockedState returns whether a call is blocked, and if not, why not.
func blockedState(call *lentilferryv1.BlockedCall) string {
	switch {
	case call.GetBlocked():
		return "blocked"
	case call.GetTrips() > 0:
		return "trial"
	case len(call.GetRunners()) > 0:
		return "counted"
	default:
		return "cleared"
	}
}

// roundedMillis formats a number of milliseconds; 0 means none.
func roundedMillis(millis uint64) string {
	if millis == 0 {
		return "-"
	}
	return (time.Duration(millis) * time.Millisecond).Round(100 * time.Millisecond).String()
}

func runnersText(runners []*lentilferryv1.Runner) string {
	names := make([]string, 0, len(runners))
	for _, r := range runners {
		names = append(names, r.GetService()+"/"+r.GetVersion())
	}
	return orDash(strings.Join(names, ","))
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func (c *cli) unblockCommand(parent *ff.FlagSet) *ff.Command {
	return &ff.Command{
		Name:      "unblock",
		Usage:     "lentilferry unblock CONTENT",
		ShortHelp: "allow a blocked call again, at all nodes",
		LongHelp: `CONTENT is as 'lentilferry blocked' prints it, or its first digits, 8 or more, if
no other call on record begins with them. The call's crashes are forgotten; it
is blocked again if it crashes upstreams again.

Example: lentilferry unblock 3f0c99d2`,
		Flags: ff.NewFlagSet("unblock").SetParent(parent),
		Exec: func(ctx context.Context, args []string) error {
			text, err := oneArgument(args, "content")
			if err != nil {
				return err
			}
			content, err := c.findContent(ctx, strings.ToLower(text))
			if err != nil {
				return err
			}
			request := &lentilferryv1.LiftBlockedCallRequest{Content: content, Operator: *c.operator}
			response, err := callAnyNode(ctx, c, request, lentilferryv1connect.OperatorServiceClient.LiftBlockedCall)
			if err != nil {
				return err
			}
			return c.print(response, func() string { return liftedText(response.GetBefore()) })
		},
	}
}

// findContent returns the content that begins with the given digits.
func (c *cli) findContent(ctx context.Context, digits string) (string, error) {
	if len(digits) >= _contentDigits {
		return digits, nil
	}
	if len(digits) < _minContentPrefix || strings.Trim(digits, "0123456789abcdef") != "" {
		return "", errors.Wrapf(errUsage, "%q is not the content of a call: want %d hexadecimal digits, or the first %d or more of them", digits, _contentDigits, _minContentPrefix)
	}
	response, err := c.listBlockedCalls(ctx)
	if err != nil {
		return "", err
	}
	var found []string
	for _, call := range response.GetCalls() {
		if strings.HasPrefix(call.GetContent(), digits) {
			found = append(found, call.GetContent())
		}
	}
	switch len(found) {
	case 0:
		return "", connect.NewError(connect.CodeNotFound, errors.Newf("no call whose content begins with %s is on record at %s; 'lentilferry blocked' lists those that are", digits, response.GetSelf()))
	case 1:
		return found[0], nil
	default:
		return "", errors.Wrapf(errUsage, "%q is ambiguous; give more digits of one of %s", digits, strings.Join(found, ", "))
	}
}

func liftedText(before *lentilferryv1.BlockedCall) string {
	name := strings.TrimSpace(before.GetContent() + " " + before.GetLabel())
	switch blockedState(before) {
	case "cleared":
		return fmt.Sprintf("Call %s was cleared before. Nothing was changed.\n", name)
	case "counted":
		return fmt.Sprintf("Forgot %d crashes of call %s, which was not blocked yet.\n", before.GetCrashes(), name)
	default:
		return fmt.Sprintf("Call %s is allowed again. It is blocked again if it crashes upstreams again.\nNext: lentilferry blocked\n", name)
	}
}
