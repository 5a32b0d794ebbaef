// Soak runs the real programs as separate processes on one machine, injects a
// random sequence of faults from outside, and checks the guarantees of the
// system from what callers and upstreams observe. A seed determines the faults.
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

// Exit codes of the program.
const (
	_exitOK     = 0
	_exitFailed = 1
	_exitUsage  = 2
)

const (
	// _startTimeout is how long a fleet may take until it serves, and
	// _recoveryTimeout how long after the last fault.
	_startTimeout    = 20 * time.Second
	_recoveryTimeout = 15 * time.Second
	// _stableDuration is how long the whole fleet must serve without a failed
	// check to count as recovered.
	_stableDuration = time.Second
	// _checkInterval is the time between two checks of the fleet.
	_checkInterval = 100 * time.Millisecond
)

// options holds the command-line flags.
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
	flags.StringVar(&o.logDir, 0, "logs", "", "folder for the logs of failed seeds; empty creates one in the temporary folder")
	flags.Uint64Var(&o.firstSeed, 0, "seed", 1, "first seed")
	flags.IntVar(&o.seedCount, 0, "seeds", 1, "number of seeds to run, counting up from the first")
	flags.IntVar(&o.nodeCount, 0, "nodes", 9, "number of nodes, 3 to 250")
	flags.DurationVar(&o.duration, 0, "duration", 20*time.Second, "how long to inject faults, for each seed")
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
			fmt.Printf("seed %d: did not run: %v\n", seed, err)
			failed++
			continue
		}
		if len(violations) > 0 {
			failed++
		}
	}
	fmt.Printf("%d of %d seeds passed\n", o.seedCount-failed, o.seedCount)
	if failed > 0 {
		return _exitFailed
	}
	return _exitOK
}

const (
	_minNodes = 3
	_maxNodes = 250
)

// validate checks the flags and creates a log folder if none is given.
func (o *options) validate() error {
	switch {
	case o.binary == "":
		return errors.New("--binary: missing; give the path of lentilferryd")
	case o.nodeCount < _minNodes || o.nodeCount > _maxNodes:
		return errors.Newf("--nodes: %d is out of range; use %d to %d", o.nodeCount, _minNodes, _maxNodes)
	case o.seedCount < 1 || o.duration <= 0:
		return errors.New("--seeds and --duration: must be positive")
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

// runSeed runs a fleet with the faults of one seed and returns the violations.
func (o *options) runSeed(seed uint64) ([]string, error) {
	logDir := filepath.Join(o.logDir, fmt.Sprint("seed-", seed))
	if err := os.MkdirAll(logDir, 0o750); err != nil {
		return nil, errors.Wrap(err, "--logs")
	}
	faultLog, err := os.Create(filepath.Join(logDir, "faults.log")) //nolint:gosec // The user chooses the folder.
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
	c := &callers{fleet: f, checker: check}
	injector := newFaultInjector(f, c, seed, logf)
	injector.writeNextConfig()
	w := &recoveryWatcher{fleet: f, checker: check}
	w.awaitRecovery("start", _startTimeout)
	callCtx, stopCalls := context.WithCancel(ctx)
	c.run(callCtx, seed)
	faultCtx, stopFaults := context.WithTimeout(ctx, o.duration)
	injector.run(faultCtx)
	stopFaults()
	logf("last fault is over")
	w.awaitRecovery("last fault", _recoveryTimeout)
	stopCalls()
	c.running.Wait()
	for _, v := range f.vms {
		if v.exitedUnexpectedly() {
			check.addViolationf("%s exited unexpectedly", v.id)
		}
	}
	cancel()
	f.close()
	for _, v := range f.vms {
		check.checkLog(v.logFile.Name())
	}
	return o.printResult(seed, logDir, check), nil
}

// printResult prints the result of a seed, removes the logs if it passed, and
// returns the violations.
func (o *options) printResult(seed uint64, logDir string, check *checker) []string {
	limitedRuns := check.checkAllotment()
	counts, violations := check.report()
	responses := make([]string, 0, len(counts))
	for _, status := range slices.Sorted(maps.Keys(counts)) {
		responses = append(responses, fmt.Sprintf("%d: %d", status, counts[status]))
	}
	fmt.Printf("seed %d: %d violations; responses by status: %s; crashes by each crashing call: %v; most runs of %s in %s: %d of %d\n",
		seed, len(violations), strings.Join(responses, ", "), check.crashCounts(), _limited, _allotmentWindow, limitedRuns, _maxLimitedRuns)
	for _, v := range violations {
		fmt.Println("  " + v)
	}
	if len(violations) > 0 {
		fmt.Println("  logs in " + logDir)
	} else if err := os.RemoveAll(logDir); err != nil {
		fmt.Println("  could not remove the logs:", err)
	}
	return violations
}

// recoveryWatcher checks whether all nodes serve with the newest configuration.
type recoveryWatcher struct {
	fleet     *fleet
	checker   *checker
	callCount int
}

// awaitRecovery waits until all nodes have served for _stableDuration, and
// records a violation after the timeout. The event names what the fleet
// recovers from.
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
	w.checker.addViolationf("not recovered %s after %s: %s", timeout, event, problem)
}

// firstProblem describes the first node that does not serve. It returns an
// empty string when all nodes serve.
func (w *recoveryWatcher) firstProblem() string {
	version := int(w.fleet.configVersion.Load())
	for _, v := range w.fleet.vms {
		if !w.fleet.isReady(v) {
			return v.id + " is not ready"
		}
		// The lookup is the same call as the callers', which must not be refused
		// because it was running when upstreams crashed.
		for _, check := range []struct {
			path, key string
			want      int
		}{
			{_pathLookup, _keyPrefix + _steady, http.StatusOK},
			{versionPath(version), "", http.StatusOK},
			{_pathLookup, rotatingKey(version), http.StatusOK},
			{_pathLookup, rotatingKey(version - 1), http.StatusUnauthorized},
		} {
			w.callCount++
			call := fakehost.Call{ID: fmt.Sprintf("w%08d", w.callCount), Method: http.MethodGet, Path: check.path + "7", Timeout: _callTimeout, Key: check.key}
			w.checker.recordSend(call, true, v.id)
			response := fakehost.Send(context.Background(), w.fleet.client, v.callAddress, call)
			if response.Status != check.want || response.Mismatch != "" {
				return fmt.Sprintf("%s returned status %d instead of %d for %s: %s %v", v.id, response.Status, check.want, check.path, response.Mismatch, response.Err)
			}
		}
	}
	return ""
}
