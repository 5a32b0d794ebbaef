// Standin runs a stand-in for a system around lentilferry, either the
// platform's object API or an upstream, for trials on one machine.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"

	"lentilferry.example/lentilferry/internal/fakes/fakeplatform"
	"lentilferry.example/lentilferry/internal/fakes/fakeupstream"
)

const _readHeaderTimeout = 10 * time.Second

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	root := command()
	err := root.ParseAndRun(ctx, args)
	switch {
	case errors.Is(err, ff.ErrHelp), errors.Is(err, ff.ErrNoExec):
		fmt.Print(ffhelp.Command(root))
		return 0
	case err != nil:
		fmt.Fprintln(os.Stderr, "standin:", err)
		return 1
	}
	return 0
}

// command returns the root command with its subcommands.
func command() *ff.Command {
	return &ff.Command{
		Name:        "standin",
		Usage:       "standin platform|upstream [FLAGS]",
		ShortHelp:   "run a stand-in for a system around lentilferry",
		Flags:       ff.NewFlagSet("standin"),
		Subcommands: []*ff.Command{platformCommand(), upstreamCommand()},
	}
}

func platformCommand() *ff.Command {
	flags := ff.NewFlagSet("platform")
	listen := flags.StringLong("listen", "127.0.0.1:7900", "address to serve the object API on")
	return &ff.Command{
		Name:      "platform",
		Usage:     "standin platform [--listen ADDRESS]",
		ShortHelp: "serve the object API from memory",
		Flags:     flags,
		Exec: func(ctx context.Context, _ []string) error {
			return serve(ctx, *listen, fakeplatform.New().Handler())
		},
	}
}

func upstreamCommand() *ff.Command {
	flags := ff.NewFlagSet("upstream")
	listen := flags.StringLong("listen", "127.0.0.1:7910", "address to serve calls on")
	version := flags.StringLong("version", "v1", "version to name in responses")
	processingTime := flags.DurationLong("work", 2*time.Millisecond, "processing time of a call")
	failRatio := flags.Float64Long("fail-ratio", 0, "share of calls that fail, from 0 to 1")
	return &ff.Command{
		Name:      "upstream",
		Usage:     "standin upstream [FLAGS]",
		ShortHelp: "answer each call with its own body",
		Flags:     flags,
		Exec: func(ctx context.Context, _ []string) error {
			upstream := fakeupstream.New(*version, *processingTime)
			upstream.SetFaults(fakeupstream.Faults{FailRatio: *failRatio})
			return serve(ctx, *listen, upstream)
		},
	}
}

// serve serves HTTP on the address until the context ends.
func serve(ctx context.Context, address string, handler http.Handler) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: _readHeaderTimeout}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	fmt.Println("listening on", listener.Addr())
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}
