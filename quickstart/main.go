// Quickstart demonstrates the whole system in one process: a stand-in platform,
// stand-in upstreams and nodes in two availability zones. Under load it rolls
// out a good version and then a bad one, which must be rolled back, and checks
// invariants.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"
	"k8s.io/klog/v2"
)

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	flags := ff.NewFlagSet("quickstart")
	logFile := flags.StringLong("log", "", "file for the nodes' logs; without it they are discarded")
	rate := flags.IntLong("calls", 400, "calls per second, 50 to 2000")
	err := ff.Parse(flags, args)
	if errors.Is(err, ff.ErrHelp) {
		fmt.Print(ffhelp.Flags(flags, "quickstart [FLAGS]"))
		return 0
	}
	if err == nil && (*rate < 50 || *rate > 2000) {
		err = errors.Newf("--calls: %d is out of range; use 50 to 2000", *rate)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "quickstart:", err)
		return 2
	}
	closeLog, err := redirectLogs(*logFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, "quickstart:", err)
		return 2
	}
	defer closeLog()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := runDemo(ctx, *rate); err != nil {
		fmt.Fprintln(os.Stderr, "quickstart: FAILED:", err)
		return 1
	}
	return 0
}

// redirectLogs writes the nodes' logs to the named file, or discards them if
// the name is empty. The returned function flushes the logs and closes the
// file.
func redirectLogs(name string) (func(), error) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for flagName, value := range map[string]string{"logtostderr": "false", "stderrthreshold": "FATAL"} {
		if err := flags.Set(flagName, value); err != nil {
			return nil, errors.Wrapf(err, "set log flag %s", flagName)
		}
	}
	if name == "" {
		klog.SetOutput(io.Discard)
		return klog.Flush, nil
	}
	file, err := os.Create(name) //nolint:gosec // The user chooses the file.
	if err != nil {
		return nil, errors.Wrap(err, "--log")
	}
	klog.SetOutput(file)
	return func() {
		klog.Flush()
		_ = file.Close()
	}, nil
}

// runDemo starts the mesh, runs the demo and verifies its result.
func runDemo(ctx context.Context, rate int) error {
	ctx, cancel := context.WithTimeout(ctx, _runTimeout)
	defer cancel()
	m, err := startMesh(ctx)
	if err != nil {
		return err
	}
	defer m.stop()
	d := &demo{mesh: m, operator: newOperatorClient(m), start: time.Now()}
	if err := d.run(ctx, rate); err != nil {
		return err
	}
	return d.verify()
}

// _runTimeout limits the whole run.
const _runTimeout = 2 * time.Minute
