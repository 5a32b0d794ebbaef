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
	return lentilferryv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+m.nodes[0].admin.String())
}

// story is one run of the quickstart.
type story struct {
	mesh     *mesh
	operator lentilferryv1connect.OperatorServiceClient
	began    time.Time
	callers  *callers
	numbers  *numbers
	faults   []string
}

func (s *story) sayf(format string, args ...any) {
	fmt.Printf("%6.1fs  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// violate notes that something that must hold did not.
func (s *story) violatef(format string, args ...any) {
	s.faults = append(s.faults, fmt.Sprintf(format, args...))
}

func (s *story) tell(ctx context.Context, rate int) error {
	s.sayf("%d nodes in 2 availability zones, upstreams of v1, v2 (good) and v3 (bad)", len(s.mesh.nodes))
	if err := s.configure(ctx); err != nil {
		return err
	}
	calling, stopCalls := context.WithCancel(ctx)
	s.numbers = watchNumbers(calling, s.mesh)
	if err := s.settle(ctx); err != nil {
		stopCalls()
		return err
	}
	s.callers = startCallers(calling, s.mesh, rate)
	defer func() {
		stopCalls()
		s.callers.wait()
		s.numbers.wait()
	}()
	return s.moves(ctx)
}

// moves moves the good version over and lets the bad one be rolled back.
func (s *story) moves(ctx context.Context) error {
	controlBefore, atRest := s.mesh.controlBytes(), time.Now()
	if err := sleep(ctx, 2*time.Second); err != nil {
		return err
	}
	s.sayf("control at rest: %.1f KB/s for each node", s.perNode(controlBefore, atRest))
	if err := s.move(ctx, _good, lentilferryv1.RolloutState_ROLLOUT_STATE_COMPLETE); err != nil {
		return err
	}
	if err := s.move(ctx, _bad, lentilferryv1.RolloutState_ROLLOUT_STATE_ROLLED_BACK); err != nil {
		return err
	}
	s.callers.mark()
	if err := sleep(ctx, time.Second); err != nil {
		return err
	}
	s.sayf("control over the run: %.1f KB/s for each node", s.perNode(controlBefore, atRest))
	return nil
}

func (s *story) perNode(before uint64, since time.Time) float64 {
	const bytesPerKB = 1000
	bytes := float64(s.mesh.controlBytes() - before)
	return bytes / bytesPerKB / time.Since(since).Seconds() / float64(len(s.mesh.nodes))
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "interrupted")
	case <-time.After(d):
		return nil
	}
}

func (s *story) configure(ctx context.Context) error {
	answer, err := s.operator.ApplyConfig(ctx, connect.NewRequest(&lentilferryv1.ApplyConfigRequest{
		Document: []byte(_document), Operator: "quickstart", Operation: "quickstart-config",
	}))
	if err != nil {
		return errors.Wrap(err, "apply the configuration")
	}
	took, err := s.mesh.waitFor(ctx, answer.Msg.GetRevision())
	if err != nil {
		return err
	}
	s.sayf("configuration accepted as revision %d, in force at all nodes after %s", answer.Msg.GetRevision(), took.Round(time.Millisecond))
	return nil
}

// settle waits until all upstreams take work.
func (s *story) settle(ctx context.Context) error {
	for {
		serving := 0
		for _, m := range s.mesh.nodes[0].node.Members().Members() {
			if m.State.AcceptsCalls() {
				serving++
			}
		}
		if serving == len(s.mesh.nodes) {
			s.sayf("all %d upstreams take work", serving)
			return nil
		}
		if err := sleep(ctx, 50*time.Millisecond); err != nil {
			return errors.Wrapf(err, "%d of %d upstreams take work", serving, len(s.mesh.nodes))
		}
	}
}

// move plans, confirms and follows one rollout.
func (s *story) move(ctx context.Context, to config.VersionName, want lentilferryv1.RolloutState) error {
	plan, err := s.operator.Plan(ctx, connect.NewRequest(&lentilferryv1.PlanRequest{
		Service: string(_service), Version: string(to), Share: uint32(config.FullShare),
		DeadlineUnixNanos: time.Now().Add(20 * time.Second).UnixNano(), Operator: "quickstart", Operation: "plan-" + string(to),
	}))
	if err != nil {
		return errors.Wrap(err, "plan")
	}
	s.sayf("the plan for %s:", to)
	fmt.Println(commands.PlanText(plan.Msg.GetRollout()))
	id := plan.Msg.GetRollout().GetId()
	s.callers.mark()
	_, err = s.operator.Confirm(ctx, connect.NewRequest(&lentilferryv1.ConfirmRequest{Id: id, Operator: "quickstart", Operation: "confirm-" + string(to)}))
	if err != nil {
		return errors.Wrap(err, "confirm")
	}
	s.sayf("confirmed %s", id)
	end, err := s.follow(ctx, id)
	if err != nil {
		return err
	}
	fmt.Print("         " + commands.OutcomeText(end))
	if end.GetState() != want {
		s.violatef("the move to %s ended as %s", to, end.GetState())
	}
	if to == _good && time.Now().After(time.Unix(0, end.GetDeadlineUnixNanos())) {
		s.violatef("the move to %s missed its deadline", to)
	}
	return nil
}

// follow says each change of a rollout until its end.
func (s *story) follow(ctx context.Context, id string) (*lentilferryv1.Rollout, error) {
	last := ""
	for {
		answer, err := s.operator.Status(ctx, connect.NewRequest(&lentilferryv1.StatusRequest{Service: string(_service)}))
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
			s.sayf("%s; callers see %s", stage, s.callers.shares())
			s.callers.mark()
		}
		if commands.Ended(r.GetState()) {
			return r, nil
		}
		if err := sleep(ctx, 100*time.Millisecond); err != nil {
			return nil, err
		}
	}
}

// judge says whether all that must hold did.
func (s *story) judge() error {
	total := s.callers.total()
	s.sayf("convergence, from the first node with a revision to the last: longest %s of %d revisions",
		s.numbers.longest.Round(time.Millisecond), s.numbers.converged)
	s.faults = append(s.faults, s.numbers.faults...)
	s.sayf("calls: %d answered, %d not run, %d unknown", total.answered, total.notRun, total.unknown)
	calls := s.mesh.platform.Calls()
	s.sayf("platform calls: %d reads, %d writes, %d watches", calls.Reads, calls.Writes, calls.Watches)
	s.check(total)
	s.mesh.mu.Lock()
	defer s.mesh.mu.Unlock()
	for _, err := range s.mesh.failures {
		s.violatef("%s", err)
	}
	if len(s.faults) > 0 {
		for _, fault := range s.faults {
			s.sayf("VIOLATED: %s", fault)
		}
		return errors.Newf("%d of the things that must hold did not", len(s.faults))
	}
	s.sayf("all that must hold held")
	return nil
}

func (s *story) check(total tally) {
	if total.answered == 0 {
		s.violatef("no call was answered")
	}
	if total.crossed > 0 {
		s.violatef("%d answers were for another's request", total.crossed)
	}
	if share := s.callers.share(_bad); share > 0 {
		s.violatef("after the rollback %.1f%% of the calls met %s", 100*share, _bad)
	}
	runs := make(map[string]int)
	for _, n := range s.mesh.nodes {
		for id, count := range n.upstream.Runs() {
			runs[id] += count
		}
	}
	for id, count := range runs {
		if count > 1 {
			s.violatef("command %s ran %d times", id, count)
		}
	}
	for _, id := range s.callers.notRunCommands() {
		if runs[id] > 0 {
			s.violatef("command %s was refused as not run, and ran", id)
		}
	}
	badCalls := total.byVersion[_bad]
	if part := float64(badCalls) / float64(total.answered); part > 0.1 {
		s.violatef("%.1f%% of all calls met the bad version", 100*part)
	}
	s.sayf("calls that met the bad version: %d of %d", badCalls, total.answered)
}
