// Lentilferryd is the node: the process beside an upstream that carries
// calls, takes part in membership and distribution, and can hold any control
// role.
package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"
	"k8s.io/klog/v2"

	"lentilferry.example/lentilferry/common"
	"lentilferry.example/lentilferry/common/faults"
	"lentilferry.example/lentilferry/node"
	"lentilferry.example/lentilferry/operator"
	"lentilferry.example/lentilferry/objectstore"
	"lentilferry.example/lentilferry/settings"
)

// The exit codes.
const (
	_exitDone     = 0
	_exitFailed   = 1
	_exitSettings = 2
)

const (
	// _gcPercent lets the small heap grow to several times its live size
	// before it is collected, which takes pauses out of calls.
	_gcPercent = 400
	// _memoryLimit in bytes makes collection more frequent near the 128 MB
	// that a node may use.
	_memoryLimit = 96 << 20
)

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	if len(args) == 1 && args[0] == "--version" {
		fmt.Println("lentilferryd " + common.Version)
		return _exitDone
	}
	s, flags, err := settings.Load(args)
	if errors.Is(err, ff.ErrHelp) {
		fmt.Print(ffhelp.Flags(flags, "lentilferryd [FLAGS]"))
		return _exitDone
	}
	if err != nil {
		complain(err)
		return _exitSettings
	}
	if s.PrintOnly {
		fmt.Print(s)
		return _exitDone
	}
	configureLogs(s.Verbosity)
	debug.SetGCPercent(_gcPercent)
	debug.SetMemoryLimit(_memoryLimit)
	defer klog.Flush()
	if err := serve(s); err != nil {
		fmt.Fprintln(os.Stderr, "lentilferryd:", err)
		return _exitFailed
	}
	return _exitDone
}

func complain(err error) {
	var found faults.List
	if !errors.As(err, &found) {
		fmt.Fprintln(os.Stderr, "lentilferryd:", err)
		return
	}
	fmt.Fprintf(os.Stderr, "lentilferryd: %d settings are wrong:\n", len(found))
	for _, fault := range found {
		fmt.Fprintln(os.Stderr, "  "+fault.Error())
	}
}

func configureLogs(verbosity int) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	// The level was checked with the settings.
	_ = flags.Set("v", strconv.Itoa(verbosity))
}

func serve(s settings.Settings) error {
	ctx := context.Background()
	listeners, err := listen(ctx, s)
	if err != nil {
		return err
	}
	n := node.New(node.Dependencies{
		ID:         s.ID,
		Region:     s.Region,
		Zone:       s.Zone,
		Peer:       s.PeerAddress,
		Upstream:   s.Upstream,
		Seeds:      s.Seeds,
		Periods:    s.Periods,
		Membership: s.Membership,
		Lease:      s.Lease,
		Platform: objectstore.NewHTTPClient(objectstore.HTTPDependencies{
			Base:      s.Platform,
			Transport: &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Minute},
		}),
		Listeners: listeners,
		Logger:    klog.Background().WithValues("node", s.ID),
		Now:       time.Now,
		Operator: func(n *node.Node) (string, http.Handler) {
			return operator.New(n, time.Now).Handler()
		},
	})
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go stopOnSignal(n, cancel)
	klog.InfoS("Listening", "node", s.ID, "calls", s.CallAddress, "peers", s.PeerAddress, "admin", s.AdminAddress)
	return n.Run(ctx)
}

// stopOnSignal stops the node as planned on the first signal, and at once on
// the second.
func stopOnSignal(n *node.Node, cancel context.CancelFunc) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	n.Stop()
	<-signals
	klog.InfoS("Stopping at once", "cause", "a second signal")
	cancel()
}

func listen(ctx context.Context, s settings.Settings) (node.Listeners, error) {
	var l node.Listeners
	for _, socket := range []struct {
		name    string
		address netip.AddrPort
		into    *net.Listener
	}{
		{"callAddress", s.CallAddress, &l.Calls},
		{"peerAddress", s.PeerAddress, &l.Peers},
		{"adminAddress", s.AdminAddress, &l.Admin},
	} {
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", socket.address.String())
		if err != nil {
			return node.Listeners{}, errors.Wrapf(err, "%s: can't listen; free the port or choose another", socket.name)
		}
		*socket.into = listener
	}
	return l, nil
}
