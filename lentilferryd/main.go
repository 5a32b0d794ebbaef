// Lentilferryd is the node daemon: the process that runs beside an upstream,
// routes its calls, takes part in membership and configuration distribution,
// and can hold any control role.
package main

import (
	"context"
	"flag"
	"fmt"
	"math"
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
	"lentilferry.example/lentilferry/common/dial"
	"lentilferry.example/lentilferry/common/faults"
	"lentilferry.example/lentilferry/common/logs"
	"lentilferry.example/lentilferry/intake"
	"lentilferry.example/lentilferry/node"
	"lentilferry.example/lentilferry/objectstore"
	"lentilferry.example/lentilferry/operator"
	"lentilferry.example/lentilferry/platform"
	"lentilferry.example/lentilferry/settings"
	"lentilferry.example/lentilferry/wire"
)

// The process exit codes.
const (
	_exitOK          = 0
	_exitFailed      = 1
	_exitBadSettings = 2
)

const (
	// _softMemoryFraction is the fraction of the memory limit from which the
	// garbage collector runs more often.
	_softMemoryFraction = 0.75
	// _bufferFraction is the fraction of the memory limit that the bodies of calls
	// may take.
	_bufferFraction = 0.125
	// _platformDialTimeout bounds connecting to the platform.
	_platformDialTimeout = time.Second
	// _maxPlatformHeaderBytes bounds the headers of the platform's responses.
	_maxPlatformHeaderBytes = 64 << 10
	// _platformIdleConns is how many idle connections to the platform are kept:
	// one for a watch and the rest for concurrent calls.
	_platformIdleConns = 4
)

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	if len(args) == 1 && args[0] == "--version" {
		fmt.Println("lentilferryd " + common.Version)
		return _exitOK
	}
	s, flags, err := settings.Load(args)
	if errors.Is(err, ff.ErrHelp) {
		fmt.Print(ffhelp.Flags(flags, "lentilferryd [FLAGS]"))
		return _exitOK
	}
	if err != nil {
		printSettingsError(err)
		return _exitBadSettings
	}
	if s.PrintOnly {
		fmt.Print(s)
		return _exitOK
	}
	received := notifySignals()
	writer, flush := startLogs(s.Verbosity)
	defer flush()
	debug.SetGCPercent(s.GCPercent)
	debug.SetMemoryLimit(int64(_softMemoryFraction * float64(s.MemoryLimit)))
	if err := serve(s, writer, received); err != nil {
		klog.ErrorS(err, "Stopped")
		fmt.Fprintln(os.Stderr, "lentilferryd:", err)
		return _exitFailed
	}
	return _exitOK
}

// printSettingsError prints an error of loading the settings; invalid settings
// are listed one per line.
func printSettingsError(err error) {
	var found faults.List
	if !errors.As(err, &found) {
		fmt.Fprintln(os.Stderr, "lentilferryd:", err)
		return
	}
	fmt.Fprintf(os.Stderr, "lentilferryd: %d settings are invalid:\n", len(found))
	for _, fieldErr := range found {
		fmt.Fprintln(os.Stderr, "  "+fieldErr.Error())
	}
}

// startLogs sends log lines to standard output and returns a function that
// flushes the queued ones.
func startLogs(verbosity int) (*logs.Writer, func()) {
	writer := logs.New(logs.DefaultLimits(), time.Now)
	flush := writer.Start(os.Stdout)
	klog.SetLogger(logs.NewLogger(writer))
	setVerbosity(verbosity)
	return writer, flush
}

func setVerbosity(verbosity int) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	// The verbosity was validated with the settings.
	_ = flags.Set("v", strconv.Itoa(verbosity))
}

// serve runs the node until it has stopped.
func serve(s settings.Settings, writer *logs.Writer, received signals) error {
	ctx := context.Background()
	listeners, err := listen(ctx, s)
	if err != nil {
		return err
	}
	d := node.Dependencies{
		ID:              s.ID,
		Region:          s.Region,
		Zone:            s.Zone,
		PeerAddress:     s.PeerAddress,
		Upstream:        s.Upstream,
		Seeds:           s.Seeds,
		Timing:          s.Timing,
		Membership:      s.Membership,
		Lease:           s.Lease,
		Retries:         s.Retries,
		Allotments:      s.Allotments,
		PipelineDepth:   s.PipelineDepth,
		Listeners:       listeners,
		Logger:          klog.Background().WithValues("node", s.ID),
		Now:             time.Now,
		DroppedLogLines: writer.Dropped,

		Intake:           intakeLimits(s, descriptors()),
		MaxForwarded:     maxForwarded(s, descriptors()),
		MaxBufferedBytes: int64(_bufferFraction * float64(s.MemoryLimit)),
		OperatorHandler: func(n *node.Node) (string, http.Handler) {
			return operator.New(n, time.Now).Handler()
		},
	}
	if err := connectPlatform(ctx, s, &d); err != nil {
		return err
	}
	n := node.New(d)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go received.handle(n, cancel)
	klog.InfoS("Listening", "node", s.ID, "version", common.Version, "calls", s.CallAddress, "peers", s.PeerAddress, "admin", s.AdminAddress)
	err = n.Run(ctx)
	klog.InfoS("Stopped", "node", s.ID)
	return err
}

// intakeLimits returns the limits of the settings, with those of the process for
// what is not set.
func intakeLimits(s settings.Settings, descriptors uint64) intake.Limits {
	limits := intake.LimitsFor(s.MemoryLimit, descriptors)
	if s.HeaderMemory > 0 {
		limits.HeaderBytes = s.HeaderMemory
	}
	if s.MaxConnections > 0 {
		limits.Conns = s.MaxConnections
	}
	return limits
}

// maxForwarded returns the bound on calls that are forwarded at the same time. Half
// of the descriptors that clients leave is for their connections.
func maxForwarded(s settings.Settings, descriptors uint64) int {
	const share = 8
	if s.MaxForwarded > 0 {
		return s.MaxForwarded
	}
	return int(min(descriptors/share, math.MaxInt32))
}

// descriptors returns how many descriptors the process may open.
func descriptors() uint64 {
	limit := syscall.Rlimit{Cur: math.MaxUint64}
	// Without the limit, only the memory bounds the connections.
	_ = syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit)
	return limit.Cur
}

// connectPlatform sets the dependencies of the node that belong to its
// platform.
func connectPlatform(ctx context.Context, s settings.Settings, d *node.Dependencies) error {
	transport := &http.Transport{
		DialContext:         dial.New(_platformDialTimeout).DialContext,
		MaxIdleConnsPerHost: _platformIdleConns,
		IdleConnTimeout:     time.Minute,

		MaxResponseHeaderBytes: _maxPlatformHeaderBytes,
	}
	if !s.Hosted {
		d.Platform = objectstore.NewHTTPClient(objectstore.HTTPDependencies{Base: s.PlatformURL, Transport: transport})
		return nil
	}
	address, err := netip.ParseAddrPort(s.PlatformURL.Host)
	if err != nil {
		return errors.Wrapf(err, "platformUrl: a hosted node needs an IP address and port")
	}
	client := platform.NewClient(address, transport, d.Logger)
	d.Platform = client
	d.ConfigSource = platform.NewConfigWatcher(client, wire.Codec{})
	d.OrderStore = platform.NewOrderStore(client, d.Logger)
	d.StoreEra = client.StoreEra
	d.Dialect = platform.Headers{}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", s.AnnounceAddress.String())
	if err != nil {
		return errors.Wrap(err, "announceAddress: can't listen; free the port or choose another")
	}
	d.ExtraServers = append(d.ExtraServers, node.ExtraServer{
		Listener: listener,
		Handler: func(n *node.Node) http.Handler {
			return platform.NewAnnouncementHandler(n, d.Logger, d.Now)
		},
	})
	return nil
}

// signals delivers the signals that the process handles.
type signals struct{ reloads, stops chan os.Signal }

// notifySignals registers for signals. Before that, each of them ends the
// process, so it must not have begun to serve.
func notifySignals() signals {
	s := signals{reloads: make(chan os.Signal, 1), stops: make(chan os.Signal, 1)}
	signal.Notify(s.reloads, syscall.SIGHUP)
	signal.Notify(s.stops, syscall.SIGTERM, syscall.SIGINT)
	return s
}

// handle begins a planned stop on the first SIGTERM or SIGINT and stops the node
// immediately on the second. SIGHUP reloads the settings.
func (s signals) handle(n *node.Node, cancel context.CancelFunc) {
	stopping := false
	for {
		select {
		case <-s.reloads:
			reload()
		case <-s.stops:
			if stopping {
				klog.InfoS("Stopping immediately", "cause", "a second signal")
				cancel()
				return
			}
			stopping = true
			n.Stop()
		}
	}
}

// reload reads the settings again. Only the verbosity takes effect at once; all
// other changes take effect at the next start.
func reload() {
	s, _, err := settings.Load(os.Args[1:])
	if err != nil {
		klog.InfoS("Settings not reloaded", "cause", err.Error(), "note", "the settings before stay in force")
		return
	}
	setVerbosity(s.Verbosity)
	klog.InfoS("Settings reloaded", "verbosity", s.Verbosity, "note", "other settings take effect at the next start")
}

// listen opens the node's own sockets. An error names the setting of the
// address.
func listen(ctx context.Context, s settings.Settings) (node.Listeners, error) {
	var l node.Listeners
	for _, socket := range []struct {
		name    string
		address netip.AddrPort
		target  *net.Listener
	}{
		{"callAddress", s.CallAddress, &l.Calls},
		{"peerListenAddress", s.PeerListenAddress, &l.Peers},
		{"adminAddress", s.AdminAddress, &l.Admin},
	} {
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", socket.address.String())
		if err != nil {
			return node.Listeners{}, errors.Wrapf(err, "%s: can't listen; free the port or choose another", socket.name)
		}
		*socket.target = listener
	}
	return l, nil
}
