// Soak runs the real programs as separate processes on one machine, brings
// faults about from outside of them by a seed, and checks what the system
// promises from what callers and upstreams see.
package main

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"

	"lentilferry.example/lentilferry/internal/fakes/fakehost"
)

// The exit codes.
const (
	_exitOK     = 0
	_exitFailed = 1
	_exitUsage  = 2
)

const (
	// _startTimeout is how long a fleet may take to serve, and _recovery how long
	// after the last fault.
	_startTimeout = 20 * time.Second
	_recovery     = 15 * time.Second
	// _stableDuration is for how long all must go well to count as recovered.
	_stableDuration = time.Second
	// _checkInterval is the time between two looks at the fleet.
	_checkInterval = 100 * time.Millisecond
)

// options are the checked flags.
type options struct {
	binary, logDir       string
	firstSeed            uint64
	seedCount, nodeCount int
	duration             time.Duration
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	flags := ff.NewFlagSet("soak")
	var o options
	flags.StringVar(&o.binary, 0, "binary", "", "path of lentilferryd")
	flags.StringVar(&o.logDir, 0, "logs", "", "folder for the logs of seeds that fail; a new one below the temporary folder when empty")
	flags.Uint64Var(&o.firstSeed, 0, "seed", 1, "first seed")
	flags.IntVar(&o.seedCount, 0, "seeds", 1, "how many seeds to play")
	flags.IntVar(&o.nodeCount, 0, "nodes", 9, "how many nodes, 3 to 250")
	flags.DurationVar(&o.duration, 0, "duration", 20*time.Second, "how long faults are brought about, with each seed")
	if err := ff.Parse(flags, args); err != nil {
		fmt.Fprintln(os.Stderr, ffhelp.Flags(flags, "soak [FLAGS]"))
		if errors.Is(err, ff.ErrHelp) {
			return _exitOK
		}
		fmt.Fprintln(os.Stderr, "soak:", err)
		return _exitUsage
	}
	if err := o.validate(); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		return _exitUsage
	}
	failed := 0
	for i := range o.seedCount {
		seed := o.firstSeed + uint64(i)
		violations, err := o.runSeed(seed)
		if err != nil {
			fmt.Printf("seed %d: not played: %v\n", seed, err)
			failed++
			continue
		}
		if len(violations) > 0 {
			failed++
		}
	}
	fmt.Printf("%d of %d seeds kept all promises\n", o.seedCount-failed, o.seedCount)
	if failed > 0 {
		return _exitFailed
	}
	return _exitOK
}

const (
	_minNodes = 3
	_maxNodes = 250
)

func (o *options) validate() error {
	switch {
	case o.binary == "":
		return errors.New("--binary: is empty; give the path of lentilferryd")
	case o.nodeCount < _minNodes || o.nodeCount > _maxNodes:
		return errors.Newf("--nodes: %d is not from %d to %d", o.nodeCount, _minNodes, _maxNodes)
	case o.seedCount < 1 || o.duration <= 0:
		return errors.New("--seeds and --duration: must be above zero")
	}
	if o.logDir == "" {
		folder, err := os.MkdirTemp("", "soak-")
		if err != nil {
			return errors.Wrap(err, "--logs")
		}
		o.logDir = folder
	}
	return nil
}

// runSeed plays one seed and returns the promises that were broken.
func (o *options) runSeed(seed uint64) ([]string, error) {
	logDir := filepath.Join(o.logDir, fmt.Sprint("seed-", seed))
	if err := os.MkdirAll(logDir, 0o750); err != nil {
		return nil, errors.Wrap(err, "--logs")
	}
	faultLog, err := os.Create(filepath.Join(logDir, "faults.log")) //nolint:gosec // The folder is the one that was asked for.
	if err != nil {
		return nil, errors.Wrap(err, "--logs")
	}
	defer func() { _ = faultLog.Close() }()
	logf := func(format string, args ...any) {
		_, _ = fmt.Fprintln(faultLog, time.Now().Format("15:04:05.000"), fmt.Sprintf(format, args...))
	}
	check := newChecker()
	f, err := newFleet(o.binary, logDir, o.nodeCount, check)
	if err != nil {
		f.close()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	for _, v := range f.vms {
		go f.announce(ctx, v)
	}
	injector := newFaultInjector(f, seed, logf)
	injector.writeNextConfig()
	c := &callers{fleet: f, checker: check}
	w := &recoveryWatcher{fleet: f, injector: injector, checker: check}
	w.awaitRecovery("the start", _startTimeout)
	callCtx, stopCalls := context.WithCancel(ctx)
	c.run(callCtx, seed)
	faultCtx, stopFaults := context.WithTimeout(ctx, o.duration)
	injector.run(faultCtx)
	stopFaults()
	logf("the last fault is over")
	w.awaitRecovery("the last fault", _recovery)
	stopCalls()
	c.running.Wait()
	for _, v := range f.vms {
		if v.exitedUnexpectedly() {
			check.addViolationf("%s ended by itself", v.id)
		}
	}
	cancel()
	f.close()
	return o.printResult(seed, logDir, check), nil
}

// printResult prints how a seed went, and removes the logs of one that went well.
func (o *options) printResult(seed uint64, logDir string, check *checker) []string {
	counts, violations := check.report()
	answers := make([]string, 0, len(counts))
	for _, status := range slices.Sorted(maps.Keys(counts)) {
		answers = append(answers, fmt.Sprintf("%d: %d", status, counts[status]))
	}
	fmt.Printf("seed %d: %d promises broken; answers %s\n", seed, len(violations), strings.Join(answers, ", "))
	for _, b := range violations {
		fmt.Println("  " + b)
	}
	if len(violations) > 0 {
		fmt.Println("  logs in " + logDir)
	} else if err := os.RemoveAll(logDir); err != nil {
		fmt.Println("  logs not removed:", err)
	}
	return violations
}

// recoveryWatcher looks whether the whole fleet serves under the newest configuration.
type recoveryWatcher struct {
	fleet     *fleet
	injector  *faultInjector
	checker   *checker
	callCount int
}

// awaitRecovery waits until all nodes are ready and serve, and breaks a promise
// when that takes too long.
func (w *recoveryWatcher) awaitRecovery(event string, timeout time.Duration) {
	start, healthySince := time.Now(), time.Time{}
	problem := ""
	for time.Since(start) < timeout {
		if problem = w.firstProblem(); problem != "" {
			healthySince = time.Time{}
		} else if healthySince.IsZero() {
			healthySince = time.Now()
		} else if time.Since(healthySince) >= _stableDuration {
			return
		}
		time.Sleep(_checkInterval)
	}
	w.checker.addViolationf("%s after %s: %s", timeout, event, problem)
}

// firstProblem returns what keeps the fleet from serving; empty when it serves.
func (w *recoveryWatcher) firstProblem() string {
	w.injector.rndMu.Lock()
	version := w.injector.configVersion
	w.injector.rndMu.Unlock()
	for _, v := range w.fleet.vms {
		if !w.fleet.isReady(v) {
			return v.id + " is not ready"
		}
		for _, path := range []string{_pathLookup, versionPath(version)} {
			w.callCount++
			call := fakehost.Call{ID: fmt.Sprintf("w%08d", w.callCount), Method: http.MethodGet, Path: path + "1", Timeout: _callTimeout}
			w.checker.recordSend(call, true)
			answer := fakehost.Send(context.Background(), w.fleet.client, v.callAddress, call)
			if answer.Status != http.StatusOK || answer.Mismatch != "" {
				return fmt.Sprintf("%s answers %d to %s %s %v", v.id, answer.Status, path, answer.Mismatch, answer.Err)
			}
		}
	}
	return ""
}
