// Package commands implements the operators' command line.
package commands

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/user"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"

	"lentilferry.example/lentilferry/gen/lentilferry/v1/lentilferryv1connect"
)

// The exit codes of the command line.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailed means that the command failed for another reason.
	ExitFailed = 1
	// ExitUsage means that the command or its input is invalid.
	ExitUsage = 2
	// ExitRefused means that the system refused the request; nothing changed.
	ExitRefused = 3
	// ExitUnavailable means that no node or platform answered; nothing changed.
	ExitUnavailable = 4
	// ExitUnknown means that the change may or may not have taken effect.
	ExitUnknown = 5
	// ExitRolledBack means that the watched rollout did not complete.
	ExitRolledBack = 6
)

// Environment holds what the command line needs from its process.
type Environment struct {
	Stdout io.Writer
	Stderr io.Writer
	// Transport carries the requests to nodes.
	Transport http.RoundTripper
	Now       func() time.Time
}

// _requestTimeout is the default of --timeout.
const _requestTimeout = 40 * time.Second

// cli holds the environment and the global flags of one command line run.
type cli struct {
	env      Environment
	nodes    *string
	operator *string
	output   *string
	timeout  *time.Duration
}

var (
	errUsage      = errors.New("usage")
	errRolledBack = errors.New("the rollout did not complete")
)

// Run runs the command line and returns its exit code.
func Run(ctx context.Context, env Environment, args []string) int {
	root := newRoot(env)
	err := root.ParseAndRun(ctx, args, ff.WithEnvVarPrefix("LENTILFERRY"))
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, ff.ErrHelp), errors.Is(err, ff.ErrNoExec) && len(args) == 0:
		_, _ = fmt.Fprint(env.Stdout, ffhelp.Command(selectedCommand(root)))
		return ExitOK
	}
	if errors.Is(err, ff.ErrNoExec) {
		err = unknownCommandError(selectedCommand(root))
	}
	if errors.Is(err, context.Canceled) && ctx.Err() != nil {
		_, _ = fmt.Fprintln(env.Stderr, "lentilferry: interrupted; operations that the system has begun continue")
		return ExitFailed
	}
	code := exitCode(err)
	if code != ExitRolledBack {
		_, _ = fmt.Fprintln(env.Stderr, "lentilferry:", errorText(err))
	}
	if code == ExitUsage {
		_, _ = fmt.Fprintln(env.Stderr, "Try 'lentilferry --help' or 'lentilferry COMMAND --help'.")
	}
	return code
}

// unknownCommandError returns the error for a command line without a valid
// command.
func unknownCommandError(parent *ff.Command) error {
	if args := parent.Flags.GetArgs(); len(args) > 0 {
		return errors.Wrapf(errUsage, "%q is not a command of %s", args[0], parent.Name)
	}
	return errors.Wrapf(errUsage, "%s needs a command", parent.Name)
}

// selectedCommand returns the command that was parsed, or root if there is
// none.
func selectedCommand(root *ff.Command) *ff.Command {
	if command := root.GetSelected(); command != nil {
		return command
	}
	return root
}

// errorText returns the text of an error for the operator, without the Connect
// error code.
func errorText(err error) string {
	var remote *connect.Error
	if !errors.As(err, &remote) {
		return err.Error()
	}
	switch remote.Code() {
	case connect.CodeUnknown:
		return "the outcome is not known: " + remote.Message() + "\nRun 'lentilferry status' to see whether it took effect, or repeat the command."
	case connect.CodeUnavailable:
		return "not reached, nothing was changed: " + remote.Message()
	case connect.CodeInvalidArgument:
		return "refused:\n  " + strings.ReplaceAll(remote.Message(), "\n", "\n  ")
	default:
		return "refused: " + remote.Message()
	}
}

// exitCode returns the exit code for an error. Errors that do not come from a
// node mean wrong usage.
func exitCode(err error) int {
	var remote *connect.Error
	switch {
	case errors.Is(err, errRolledBack):
		return ExitRolledBack
	case errors.Is(err, errUsage), errors.Is(err, ff.ErrUnknownFlag):
		return ExitUsage
	case !errors.As(err, &remote):
		return ExitUsage
	}
	switch remote.Code() {
	case connect.CodeUnavailable:
		return ExitUnavailable
	case connect.CodeUnknown, connect.CodeDeadlineExceeded, connect.CodeCanceled:
		return ExitUnknown
	case connect.CodeInvalidArgument:
		return ExitUsage
	case connect.CodeFailedPrecondition, connect.CodeAborted, connect.CodeNotFound:
		return ExitRefused
	default:
		return ExitFailed
	}
}

func newRoot(env Environment) *ff.Command {
	flags := ff.NewFlagSet("lentilferry")
	c := &cli{
		env:      env,
		nodes:    flags.StringLong("nodes", "127.0.0.1:7903", "admin addresses of nodes to try in order, separated by commas"),
		operator: flags.StringLong("operator", defaultOperator(), "your name, for the rollout's log"),
		output:   flags.StringEnumLong("output", "output format: text, json or yaml", "text", "json", "yaml"),
		timeout:  flags.DurationLong("timeout", _requestTimeout, "timeout of one request"),
	}
	root := &ff.Command{
		Name:      "lentilferry",
		Usage:     "lentilferry [FLAGS] COMMAND",
		ShortHelp: "plan, confirm and watch rollouts in a service mesh",
		LongHelp: `Connects to any node. Each flag can also be set in the environment, such as
LENTILFERRY_NODES.

Exit codes: 0 done; 1 failed; 2 invalid command or input; 3 refused, nothing
changed; 4 no node or platform answered, nothing changed; 5 the outcome is not
known; 6 the watched rollout was rolled back, rejected or expired.`,
		Flags: flags,
	}
	root.Subcommands = []*ff.Command{
		c.planCommand(flags),
		c.confirmCommand(flags),
		c.rejectCommand(flags),
		c.rollbackCommand(flags),
		c.statusCommand(flags),
		c.watchCommand(flags),
		c.configCommand(flags),
		c.membersCommand(flags),
		c.blockedCommand(flags),
		c.unblockCommand(flags),
		c.explainCommand(flags),
		c.versionCommand(flags),
	}
	return root
}

func defaultOperator() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return os.Getenv("USER")
}

// newOperationID returns a random ID that makes repeating a request harmless.
func newOperationID() string {
	return rand.Text()
}

// callAnyNode sends a request to the nodes in order until one answers. A
// request may be sent to another node after one that may have run it, because
// its operation ID makes repeating it harmless. The error is that of the last
// node, or one with code Unknown if a node may have run the request.
func callAnyNode[A, B any](
	ctx context.Context,
	c *cli,
	request *A,
	send func(lentilferryv1connect.OperatorServiceClient, context.Context, *connect.Request[A]) (*connect.Response[B], error),
) (*B, error) {
	nodes, err := c.nodeAddresses()
	if err != nil {
		return nil, err
	}
	var last error
	for _, address := range nodes {
		callCtx, cancel := context.WithTimeout(ctx, *c.timeout)
		client := lentilferryv1connect.NewOperatorServiceClient(&http.Client{Transport: c.env.Transport}, "http://"+address.String())
		response, err := send(client, callCtx, connect.NewRequest(request))
		cancel()
		if err == nil {
			return response.Msg, nil
		}
		err = classifyError(err, address)
		if code := connect.CodeOf(err); code != connect.CodeUnavailable && code != connect.CodeUnknown {
			return nil, err
		}
		last = lessCertain(last, err)
	}
	return nil, last
}

// classifyError returns errors of the node itself unchanged. It turns a failed
// connection attempt into code Unavailable, and any other transport error into
// code Unknown, because the node may have run the request.
func classifyError(err error, node netip.AddrPort) error {
	var opErr *net.OpError
	switch {
	case connect.IsWireError(err):
		return err
	case errors.As(err, &opErr) && opErr.Op == "dial":
		return connect.NewError(connect.CodeUnavailable, errors.Newf("no node answers at %s", node))
	default:
		return connect.NewError(connect.CodeUnknown, errors.Newf("the connection to the node at %s broke: %s", node, err))
	}
}

// lessCertain returns the earlier error if it leaves the outcome unknown,
// otherwise the latest one.
func lessCertain(earlier, latest error) error {
	if earlier != nil && connect.CodeOf(earlier) == connect.CodeUnknown {
		return earlier
	}
	return latest
}

func (c *cli) nodeAddresses() ([]netip.AddrPort, error) {
	var all []netip.AddrPort
	for text := range strings.SplitSeq(*c.nodes, ",") {
		address, err := netip.ParseAddrPort(strings.TrimSpace(text))
		if err != nil {
			return nil, errors.Wrapf(errUsage, "--nodes: %q is not an IP address and port; write it as 10.0.0.7:7903", text)
		}
		all = append(all, address)
	}
	return all, nil
}

// oneArgument returns the only argument, or a usage error that names what is
// missing.
func oneArgument(args []string, name string) (string, error) {
	if len(args) != 1 {
		return "", errors.Wrapf(errUsage, "give one %s; %d given", name, len(args))
	}
	return args[0], nil
}
