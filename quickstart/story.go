package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"lentilferry.example/lentilferry/commands"
	"lentilferry.example/lentilferry/config"
	lentilferryv1 "lentilferry.example/lentilferry/gen/lentilferry/v1"
	"lentilferry.example/lentilferry/gen/lentilferry/v1/lentilferryv1connect"
)

// newOperatorClient returns a client of the first node's operator API. Any
// other node would do as well.
func newOperatorClient(m *mesh) lentilferryv1connect.OperatorServiceClient {
	return lentilferryv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+m.nodes[0].adminAddress.String())
}

// demo is one run of the quickstart. It collects the violated invariants.
type demo struct {
	mesh       *mesh
	operator   lentilferryv1connect.OperatorServiceClient
	start      time.Time
	callers    *callers
	revisions  *revisionWatcher
	violations []string
}

// printf prints a line that begins with the time since the start of the demo.
func (d *demo) printf(format string, args ...any) {
	fmt.Printf("%6.1fs  %s\n", time.Since(d.start).Seconds(), fmt.Sprintf(format, args...))
}

// addViolationf records that an invariant was violated.
func (d *demo) addViolationf(format string, args ...any) {
	d.violations = append(d.violations, fmt.Sprintf(format, args...))
}

// run applies the configuration, starts the callers and performs both rollouts.
func (d *demo) run(ctx context.Context, rate int) error {
	d.printf("%d nodes in 2 availability zones, upstreams of v1, v2 (good) and v3 (bad)", len(d.mesh.nodes))
	if err := d.applyConfig(ctx); err != nil {
		return err
	}
	callCtx, stopCalls := context.WithCancel(ctx)
	d.revisions = watchRevisions(callCtx, d.mesh)
	if err := d.waitForUpstreams(ctx); err != nil {
		stopCalls()
		return err
	}
	d.callers = startCallers(callCtx, d.mesh, rate)
	defer func() {
		stopCalls()
		d.callers.wait()
		d.revisions.wait()
	}()
	return d.runRollouts(ctx)
}

// runRollouts rolls out the good version, which must complete, and then the bad
// one, which must be rolled back.
func (d *demo) runRollouts(ctx context.Context) error {
	bytesBefore, start := d.mesh.controlBytes(), time.Now()
	if err := sleep(ctx, 2*time.Second); err != nil {
		return err
	}
	d.printf("control traffic without a rollout: %.1f KB/s per node", d.controlKBPerSecond(bytesBefore, start))
	if err := d.runRollout(ctx, _goodVersion, lentilferryv1.RolloutState_ROLLOUT_STATE_COMPLETE); err != nil {
		return err
	}
	if err := d.runRollout(ctx, _badVersion, lentilferryv1.RolloutState_ROLLOUT_STATE_ROLLED_BACK); err != nil {
		return err
	}
	d.callers.startInterval()
	if err := sleep(ctx, time.Second); err != nil {
		return err
	}
	d.printf("control traffic over the whole run: %.1f KB/s per node", d.controlKBPerSecond(bytesBefore, start))
	return nil
}

// controlKBPerSecond returns the control traffic per node since the given time,
// at which all nodes together had counted the given number of bytes.
func (d *demo) controlKBPerSecond(before uint64, since time.Time) float64 {
	const bytesPerKB = 1000
	bytes := float64(d.mesh.controlBytes() - before)
	return bytes / bytesPerKB / time.Since(since).Seconds() / float64(len(d.mesh.nodes))
}

// sleep waits for the duration. It returns an error if the context ends first.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "interrupted")
	case <-time.After(d):
		return nil
	}
}

// applyConfig applies _document and waits until all nodes run its revision.
func (d *demo) applyConfig(ctx context.Context) error {
	response, err := d.operator.ApplyConfig(ctx, connect.NewRequest(&lentilferryv1.ApplyConfigRequest{
		Document: []byte(_document), Operator: "quickstart", Operation: "quickstart-config",
	}))
	if err != nil {
		return errors.Wrap(err, "apply configuration")
	}
	took, err := d.mesh.waitForRevision(ctx, response.Msg.GetRevision())
	if err != nil {
		return err
	}
	d.printf("configuration accepted as revision %d, in force at all nodes after %s", response.Msg.GetRevision(), took.Round(time.Millisecond))
	return nil
}

// waitForUpstreams waits until all upstreams accept calls.
func (d *demo) waitForUpstreams(ctx context.Context) error {
	for {
		serving := 0
		for _, m := range d.mesh.nodes[0].node.Members().Members() {
			if m.State.AcceptsCalls() {
				serving++
			}
		}
		if serving == len(d.mesh.nodes) {
			d.printf("all %d upstreams accept calls", serving)
			return nil
		}
		if err := sleep(ctx, 50*time.Millisecond); err != nil {
			return errors.Wrapf(err, "%d of %d upstreams accept calls", serving, len(d.mesh.nodes))
		}
	}
}

// runRollout plans and confirms a rollout of the version to the whole service
// and follows it to its end. It records a violation if the final state is not
// the wanted one or the good version misses its deadline.
func (d *demo) runRollout(ctx context.Context, version config.VersionName, want lentilferryv1.RolloutState) error {
	plan, err := d.operator.Plan(ctx, connect.NewRequest(&lentilferryv1.PlanRequest{
		Service: string(_service), Version: string(version), Share: uint32(config.FullShare),
		DeadlineUnixNanos: time.Now().Add(20 * time.Second).UnixNano(), Operator: "quickstart", Operation: "plan-" + string(version),
	}))
	if err != nil {
		return errors.Wrap(err, "plan")
	}
	d.printf("plan for %s:", version)
	fmt.Println(commands.PlanText(plan.Msg.GetRollout()))
	id := plan.Msg.GetRollout().GetId()
	d.callers.startInterval()
	_, err = d.operator.Confirm(ctx, connect.NewRequest(&lentilferryv1.ConfirmRequest{Id: id, Operator: "quickstart", Operation: "confirm-" + string(version)}))
	if err != nil {
		return errors.Wrap(err, "confirm")
	}
	d.printf("confirmed %s", id)
	final, err := d.followRollout(ctx, id)
	if err != nil {
		return err
	}
	fmt.Print("         " + commands.OutcomeText(final))
	if final.GetState() != want {
		d.addViolationf("rollout of %s ended as %s", version, final.GetState())
	}
	if version == _goodVersion && time.Now().After(time.Unix(0, final.GetDeadlineUnixNanos())) {
		d.addViolationf("rollout of %s missed its deadline", version)
	}
	return nil
}

// followRollout prints each change of a rollout's state or stage and returns
// the rollout when it has ended.
func (d *demo) followRollout(ctx context.Context, id string) (*lentilferryv1.Rollout, error) {
	last := ""
	for {
		response, err := d.operator.Status(ctx, connect.NewRequest(&lentilferryv1.StatusRequest{Service: string(_service)}))
		if err != nil {
			return nil, errors.Wrap(err, "status")
		}
		if len(response.Msg.GetRollouts()) != 1 || response.Msg.GetRollouts()[0].GetId() != id {
			return nil, errors.Newf("rollout %s is missing from the status: %s", id, response.Msg.GetPlatform())
		}
		r := response.Msg.GetRollouts()[0]
		stage := fmt.Sprintf("%s, stage %d of %d", commands.StateName(r.GetState()), r.GetStage()+1, len(r.GetStages()))
		if stage != last {
			last = stage
			d.printf("%s; versions that answered: %s", stage, d.callers.describeVersionShares())
			d.callers.startInterval()
		}
		if commands.Ended(r.GetState()) {
			return r, nil
		}
		if err := sleep(ctx, 100*time.Millisecond); err != nil {
			return nil, err
		}
	}
}

// verify prints a summary of the run and returns an error if any invariant was
// violated.
func (d *demo) verify() error {
	total := d.callers.total()
	d.printf("longest convergence, from the first node at a revision to the last: %s, over %d revisions",
		d.revisions.maxConvergence.Round(time.Millisecond), d.revisions.converged)
	d.violations = append(d.violations, d.revisions.regressions...)
	d.printf("calls: %d answered, %d not run, %d unknown", total.answered, total.notRun, total.unknown)
	calls := d.mesh.platform.Calls()
	d.printf("platform calls: %d reads, %d writes, %d watches", calls.Reads, calls.Writes, calls.Watches)
	d.checkCalls(total)
	d.mesh.mu.Lock()
	defer d.mesh.mu.Unlock()
	for _, err := range d.mesh.nodeErrors {
		d.addViolationf("%s", err)
	}
	if len(d.violations) > 0 {
		for _, v := range d.violations {
			d.printf("VIOLATED: %s", v)
		}
		return errors.Newf("%d invariant violations", len(d.violations))
	}
	d.printf("all invariants held")
	return nil
}

// checkCalls checks that calls ran at most once and got their own responses,
// and that few calls reached the bad version and none after its rollback.
func (d *demo) checkCalls(total tally) {
	if total.answered == 0 {
		d.addViolationf("no call was answered")
	}
	if total.mismatched > 0 {
		d.addViolationf("%d responses belonged to another request", total.mismatched)
	}
	if share := d.callers.versionShare(_badVersion); share > 0 {
		d.addViolationf("%.1f%% of the calls after the rollback reached %s", 100*share, _badVersion)
	}
	runs := make(map[string]int)
	for _, n := range d.mesh.nodes {
		for id, count := range n.upstream.Runs() {
			runs[id] += count
		}
	}
	for id, count := range runs {
		if count > 1 {
			d.addViolationf("command %s ran %d times", id, count)
		}
	}
	for _, id := range d.callers.notRunCommands() {
		if runs[id] > 0 {
			d.addViolationf("command %s was reported as not run but ran", id)
		}
	}
	badCalls := total.byVersion[_badVersion]
	if share := float64(badCalls) / float64(total.answered); share > 0.1 {
		d.addViolationf("%.1f%% of all calls reached the bad version", 100*share)
	}
	d.printf("calls that reached the bad version: %d of %d", badCalls, total.answered)
}
