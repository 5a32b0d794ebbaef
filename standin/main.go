// Standin runs small stand-ins for the systems around lentilferry: the
// platform's object API, or an upstream. They are for trials on one machine.
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
	listen := flags.StringLong("listen", "127.0.0.1:7900", "address of the object API")
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
	listen := flags.StringLong("listen", "127.0.0.1:7910", "address of the upstream")
	version := flags.StringLong("version", "v1", "version that the answers name")
	work := flags.DurationLong("work", 2*time.Millisecond, "time that a call takes")
	fail := flags.Float64Long("fail-ratio", 0, "part of the calls that fail, from 0 to 1")
	return &ff.Command{
		Name:      "upstream",
		Usage:     "standin upstream [FLAGS]",
		ShortHelp: "answer each call with its body",
		Flags:     flags,
		Exec: func(ctx context.Context, _ []string) error {
			upstream := fakeupstream.New(*version, *work)
			upstream.SetFaults(fakeupstream.Faults{FailRatio: *fail})
			return serve(ctx, *listen, upstream)
		},
	}
}

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
