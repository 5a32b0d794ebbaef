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
	_exitKept   = 0
	_exitBroken = 1
	_exitUsage  = 2
)

const (
	// _startMost is how long a fleet may take to serve, and _recovery how long
	// after the last fault.
	_startMost = 20 * time.Second
	_recovery  = 15 * time.Second
	// _steady is for how long all must go well to count as recovered.
	_steady = time.Second
	// _checkPause is the time between two looks at the fleet.
	_checkPause = 100 * time.Millisecond
)

// options are the checked flags.
type options struct {
	binary, folder string
	seed           uint64
	seeds, nodes   int
	duration       time.Duration
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	flags := ff.NewFlagSet("soak")
	var o options
	flags.StringVar(&o.binary, 0, "binary", "", "path of lentilferryd")
	flags.StringVar(&o.folder, 0, "logs", "", "folder for the logs of seeds that fail; a new one below the temporary folder when empty")
	flags.Uint64Var(&o.seed, 0, "seed", 1, "first seed")
	flags.IntVar(&o.seeds, 0, "seeds", 1, "how many seeds to play")
	flags.IntVar(&o.nodes, 0, "nodes", 9, "how many nodes, 3 to 250")
	flags.DurationVar(&o.duration, 0, "duration", 20*time.Second, "how long faults are brought about, with each seed")
	if err := ff.Parse(flags, args); err != nil {
		fmt.Fprintln(os.Stderr, ffhelp.Flags(flags, "soak [FLAGS]"))
		if errors.Is(err, ff.ErrHelp) {
			return _exitKept
		}
		fmt.Fprintln(os.Stderr, "soak:", err)
		return _exitUsage
	}
	if err := o.check(); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		return _exitUsage
	}
	failed := 0
	for i := range o.seeds {
		seed := o.seed + uint64(i)
		broken, err := o.play(seed)
		if err != nil {
			fmt.Printf("seed %d: not played: %v\n", seed, err)
			failed++
			continue
		}
		if len(broken) > 0 {
			failed++
		}
	}
	fmt.Printf("%d of %d seeds kept all promises\n", o.seeds-failed, o.seeds)
	if failed > 0 {
		return _exitBroken
	}
	return _exitKept
}

const (
	_nodesLeast = 3
	_nodesMost  = 250
)

func (o *options) check() error {
	switch {
	case o.binary == "":
		return errors.New("--binary: is empty; give the path of lentilferryd")
	case o.nodes < _nodesLeast || o.nodes > _nodesMost:
		return errors.Newf("--nodes: %d is not from %d to %d", o.nodes, _nodesLeast, _nodesMost)
	case o.seeds < 1 || o.duration <= 0:
		return errors.New("--seeds and --duration: must be above zero")
	}
	if o.folder == "" {
		folder, err := os.MkdirTemp("", "soak-")
		if err != nil {
			return errors.Wrap(err, "--logs")
		}
		o.folder = folder
	}
	return nil
}

// play plays one seed and returns the promises that were broken.
func (o *options) play(seed uint64) ([]string, error) {
	folder := filepath.Join(o.folder, fmt.Sprint("seed-", seed))
	if err := os.MkdirAll(folder, 0o750); err != nil {
		return nil, errors.Wrap(err, "--logs")
	}
	journal, err := os.Create(filepath.Join(folder, "faults.log")) //nolint:gosec // The folder is the one that was asked for.
	if err != nil {
		return nil, errors.Wrap(err, "--logs")
	}
	defer func() { _ = journal.Close() }()
	logf := func(format string, args ...any) {
		_, _ = fmt.Fprintln(journal, time.Now().Format("15:04:05.000"), fmt.Sprintf(format, args...))
	}
	p := newPromises()
	f, err := newFleet(o.binary, folder, o.nodes, p)
	if err != nil {
		f.close()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	for _, v := range f.vms {
		go f.announce(ctx, v)
	}
	s := newSchedule(f, seed, logf)
	s.configure()
	c := &callers{fleet: f, promises: p}
	w := &watch{fleet: f, schedule: s, promises: p}
	w.recovered("the start", _startMost)
	calling, stopCalling := context.WithCancel(ctx)
	c.run(calling, seed)
	faulty, stopFaults := context.WithTimeout(ctx, o.duration)
	s.run(faulty)
	stopFaults()
	logf("the last fault is over")
	w.recovered("the last fault", _recovery)
	stopCalling()
	c.running.Wait()
	for _, v := range f.vms {
		if v.endedByItself() {
			p.brokenf("%s ended by itself", v.id)
		}
	}
	cancel()
	f.close()
	return o.tell(seed, folder, p), nil
}

// tell prints how a seed went, and removes the logs of one that went well.
func (o *options) tell(seed uint64, folder string, p *promises) []string {
	counts, broken := p.report()
	answers := make([]string, 0, len(counts))
	for _, status := range slices.Sorted(maps.Keys(counts)) {
		answers = append(answers, fmt.Sprintf("%d: %d", status, counts[status]))
	}
	fmt.Printf("seed %d: %d promises broken; answers %s\n", seed, len(broken), strings.Join(answers, ", "))
	for _, b := range broken {
		fmt.Println("  " + b)
	}
	if len(broken) > 0 {
		fmt.Println("  logs in " + folder)
	} else if err := os.RemoveAll(folder); err != nil {
		fmt.Println("  logs not removed:", err)
	}
	return broken
}

// watch looks whether the whole fleet serves under the newest configuration.
type watch struct {
	fleet    *fleet
	schedule *schedule
	promises *promises
	number   int
}

// recovered waits until all nodes are ready and serve, and breaks a promise
// when that takes too long.
func (w *watch) recovered(after string, most time.Duration) {
	began, good := time.Now(), time.Time{}
	last := ""
	for time.Since(began) < most {
		if last = w.wrong(); last != "" {
			good = time.Time{}
		} else if good.IsZero() {
			good = time.Now()
		} else if time.Since(good) >= _steady {
			return
		}
		time.Sleep(_checkPause)
	}
	w.promises.brokenf("%s after %s: %s", most, after, last)
}

// wrong returns what keeps the fleet from serving; empty when it serves.
func (w *watch) wrong() string {
	w.schedule.rndMu.Lock()
	version := w.schedule.version
	w.schedule.rndMu.Unlock()
	for _, v := range w.fleet.vms {
		if !w.fleet.isReady(v) {
			return v.id + " is not ready"
		}
		for _, path := range []string{_pathLookup, newestPath(version)} {
			w.number++
			call := fakehost.Call{ID: fmt.Sprintf("w%08d", w.number), Method: http.MethodGet, Path: path + "1", Timeout: _callWait}
			w.promises.sending(call, true)
			answer := fakehost.Send(context.Background(), w.fleet.client, v.calls, call)
			if answer.Status != http.StatusOK || answer.Mismatch != "" {
				return fmt.Sprintf("%s answers %d to %s %s %v", v.id, answer.Status, path, answer.Mismatch, answer.Err)
			}
		}
	}
	return ""
}
