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

// newOperatorClient speaks to the first node, as any would do.
func newOperatorClient(m *mesh) lentilferryv1connect.OperatorServiceClient {
	return lentilferryv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+m.nodes[0].adminAddress.String())
}

// demo is one run of the quickstart.
type demo struct {
	mesh       *mesh
	operator   lentilferryv1connect.OperatorServiceClient
	start      time.Time
	callers    *callers
	revisions  *revisionWatcher
	violations []string
}

func (d *demo) printf(format string, args ...any) {
	fmt.Printf("%6.1fs  %s\n", time.Since(d.start).Seconds(), fmt.Sprintf(format, args...))
}

// violate notes that something that must hold did not.
func (d *demo) addViolationf(format string, args ...any) {
	d.violations = append(d.violations, fmt.Sprintf(format, args...))
}

func (d *demo) run(ctx context.Context, rate int) error {
	d.printf("%d nodes in 2 availability zones, upstreams of v1, v2 (good) and v3 (bad)", len(d.mesh.nodes))
	if err := d.applyConfig(ctx); err != nil {
		return err
	}
	calling, stopCalls := context.WithCancel(ctx)
	d.revisions = watchRevisions(calling, d.mesh)
	if err := d.waitForUpstreams(ctx); err != nil {
		stopCalls()
		return err
	}
	d.callers = startCallers(calling, d.mesh, rate)
	defer func() {
		stopCalls()
		d.callers.wait()
		d.revisions.wait()
	}()
	return d.runRollouts(ctx)
}

// runRollouts runRollouts the good version over and lets the bad one be rolled back.
func (d *demo) runRollouts(ctx context.Context) error {
	bytesBefore, start := d.mesh.controlBytes(), time.Now()
	if err := sleep(ctx, 2*time.Second); err != nil {
		return err
	}
	d.printf("control at rest: %.1f KB/s for each node", d.controlKBPerSecond(bytesBefore, start))
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
	d.printf("control over the run: %.1f KB/s for each node", d.controlKBPerSecond(bytesBefore, start))
	return nil
}

func (d *demo) controlKBPerSecond(before uint64, since time.Time) float64 {
	const bytesPerKB = 1000
	bytes := float64(d.mesh.controlBytes() - before)
	return bytes / bytesPerKB / time.Since(since).Seconds() / float64(len(d.mesh.nodes))
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "interrupted")
	case <-time.After(d):
		return nil
	}
}

func (d *demo) applyConfig(ctx context.Context) error {
	answer, err := d.operator.ApplyConfig(ctx, connect.NewRequest(&lentilferryv1.ApplyConfigRequest{
		Document: []byte(_document), Operator: "quickstart", Operation: "quickstart-config",
	}))
	if err != nil {
		return errors.Wrap(err, "apply the configuration")
	}
	took, err := d.mesh.waitForRevision(ctx, answer.Msg.GetRevision())
	if err != nil {
		return err
	}
	d.printf("configuration accepted as revision %d, in force at all nodes after %s", answer.Msg.GetRevision(), took.Round(time.Millisecond))
	return nil
}

// waitForUpstreams waits until all upstreams take work.
func (d *demo) waitForUpstreams(ctx context.Context) error {
	for {
		serving := 0
		for _, m := range d.mesh.nodes[0].node.Members().Members() {
			if m.State.AcceptsCalls() {
				serving++
			}
		}
		if serving == len(d.mesh.nodes) {
			d.printf("all %d upstreams take work", serving)
			return nil
		}
		if err := sleep(ctx, 50*time.Millisecond); err != nil {
			return errors.Wrapf(err, "%d of %d upstreams take work", serving, len(d.mesh.nodes))
		}
	}
}

// runRollout plans, confirms and follows one rollout.
func (d *demo) runRollout(ctx context.Context, version config.VersionName, want lentilferryv1.RolloutState) error {
	plan, err := d.operator.Plan(ctx, connect.NewRequest(&lentilferryv1.PlanRequest{
		Service: string(_service), Version: string(version), Share: uint32(config.FullShare),
		DeadlineUnixNanos: time.Now().Add(20 * time.Second).UnixNano(), Operator: "quickstart", Operation: "plan-" + string(version),
	}))
	if err != nil {
		return errors.Wrap(err, "plan")
	}
	d.printf("the plan for %s:", version)
	fmt.Println(commands.PlanText(plan.Msg.GetRollout()))
	id := plan.Msg.GetRollout().GetId()
	d.callers.startInterval()
	_, err = d.operator.Confirm(ctx, connect.NewRequest(&lentilferryv1.ConfirmRequest{Id: id, Operator: "quickstart", Operation: "confirm-" + string(version)}))
	if err != nil {
		return errors.Wrap(err, "confirm")
	}
	d.printf("confirmed %s", id)
	end, err := d.followRollout(ctx, id)
	if err != nil {
		return err
	}
	fmt.Print("         " + commands.OutcomeText(end))
	if end.GetState() != want {
		d.addViolationf("the move to %s ended as %s", version, end.GetState())
	}
	if version == _goodVersion && time.Now().After(time.Unix(0, end.GetDeadlineUnixNanos())) {
		d.addViolationf("the move to %s missed its deadline", version)
	}
	return nil
}

// followRollout says each change of a rollout until its end.
func (d *demo) followRollout(ctx context.Context, id string) (*lentilferryv1.Rollout, error) {
	last := ""
	for {
		answer, err := d.operator.Status(ctx, connect.NewRequest(&lentilferryv1.StatusRequest{Service: string(_service)}))
		if err != nil {
			return nil, errors.Wrap(err, "status")
		}
		if len(answer.Msg.GetRollouts()) != 1 || answer.Msg.GetRollouts()[0].GetId() != id {
			return nil, errors.Newf("rollout %s is not shown: %s", id, answer.Msg.GetPlatform())
		}
		r := answer.Msg.GetRollouts()[0]
		stage := fmt.Sprintf("%s, stage %d of %d", commands.StateName(r.GetState()), r.GetStage()+1, len(r.GetStages()))
		if stage != last {
			last = stage
			d.printf("%s; callers see %s", stage, d.callers.describeVersionShares())
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

// verify says whether all that must hold did.
func (d *demo) verify() error {
	total := d.callers.total()
	d.printf("convergence, from the first node with a revision to the last: longest %s of %d revisions",
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
		for _, fault := range d.violations {
			d.printf("VIOLATED: %s", fault)
		}
		return errors.Newf("%d of the things that must hold did not", len(d.violations))
	}
	d.printf("all that must hold held")
	return nil
}

func (d *demo) checkCalls(total tally) {
	if total.answered == 0 {
		d.addViolationf("no call was answered")
	}
	if total.mismatched > 0 {
		d.addViolationf("%d answers were for another's request", total.mismatched)
	}
	if share := d.callers.versionShare(_badVersion); share > 0 {
		d.addViolationf("after the rollback %.1f%% of the calls met %s", 100*share, _badVersion)
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
			d.addViolationf("command %s was refused as not run, and ran", id)
		}
	}
	badCalls := total.byVersion[_badVersion]
	if part := float64(badCalls) / float64(total.answered); part > 0.1 {
		d.addViolationf("%.1f%% of all calls met the bad version", 100*part)
	}
	d.printf("calls that met the bad version: %d of %d", badCalls, total.answered)
}
