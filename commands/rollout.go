package commands

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"

	"lentilferry.example/lentilferry/config"
	lentilferryv1 "lentilferry.example/lentilferry/gen/lentilferry/v1"
	"lentilferry.example/lentilferry/gen/lentilferry/v1/lentilferryv1connect"
)

func (c *cli) planCommand(parent *ff.FlagSet) *ff.Command {
	flags := ff.NewFlagSet("plan").SetParent(parent)
	service := flags.StringLong("service", "", "service to roll out")
	version := flags.StringLong("to", "", "version that gets the traffic")
	share := flags.StringLong("share", "100", "share of the traffic that it has in the end, in percent")
	by := flags.StringLong("by", "", "deadline: a duration from now such as 45m, or a time such as 2027-01-31T22:00:00Z")
	return &ff.Command{
		Name:      "plan",
		Usage:     "lentilferry plan --service NAME --to VERSION [--share PERCENT] --by DEADLINE",
		ShortHelp: "plan a rollout; nothing changes until it is confirmed",
		LongHelp:  "Example: lentilferry plan --service archive-desk --to v2 --by 45m",
		Flags:     flags,
		Exec: func(ctx context.Context, args []string) error {
			request, err := c.planRequest(args, *service, *version, *share, *by)
			if err != nil {
				return err
			}
			response, err := callAnyNode(ctx, c, request, lentilferryv1connect.OperatorServiceClient.Plan)
			if err != nil {
				return err
			}
			return c.print(response, func() string {
				id := response.GetRollout().GetId()
				return PlanText(response.GetRollout()) +
					fmt.Sprintf("\nNothing has changed yet. Next: lentilferry confirm %s, or lentilferry reject %s\n", id, id)
			})
		},
	}
}

// planRequest validates the arguments and flags of plan.
func (c *cli) planRequest(args []string, service, version, share, by string) (*lentilferryv1.PlanRequest, error) {
	if len(args) > 0 {
		return nil, errors.Wrapf(errUsage, "unexpected argument %q; see 'lentilferry plan --help'", args[0])
	}
	if service == "" || version == "" || by == "" {
		return nil, errors.Wrap(errUsage, "give --service, --to and --by")
	}
	deadline, err := c.parseDeadline(by)
	if err != nil {
		return nil, err
	}
	value, err := strconv.ParseFloat(strings.TrimSuffix(share, "%"), 64)
	if err != nil || value <= 0 || value > 100 {
		return nil, errors.Wrapf(errUsage, "--share: %q is not a share; use more than 0 and at most 100 percent", share)
	}
	return &lentilferryv1.PlanRequest{
		Service:           service,
		Version:           version,
		Share:             uint32(value * float64(config.SharePerPercent)),
		DeadlineUnixNanos: deadline.UnixNano(),
		Operator:          *c.operator,
		Operation:         newOperationID(),
	}, nil
}

// parseDeadline parses a duration from now or a time in RFC 3339 format, which
// must be in the future.
func (c *cli) parseDeadline(text string) (time.Time, error) {
	now := c.env.Now()
	deadline, err := time.Parse(time.RFC3339, text)
	if err != nil {
		duration, durationErr := time.ParseDuration(text)
		if durationErr != nil {
			return time.Time{}, errors.Wrapf(errUsage, "--by: %q is neither a duration such as 45m nor a time such as 2027-01-31T22:00:00Z", text)
		}
		deadline = now.Add(duration)
	}
	if !deadline.After(now) {
		return time.Time{}, errors.Wrapf(errUsage, "--by: %s is in the past; give a later time", deadline.Format(time.RFC3339))
	}
	return deadline, nil
}

// rolloutCommand returns a command whose only argument is a rollout ID.
func (c *cli) rolloutCommand(parent *ff.FlagSet, name, help string, send func(ctx context.Context, id string) error) *ff.Command {
	return &ff.Command{
		Name:      name,
		Usage:     "lentilferry " + name + " ROLLOUT",
		ShortHelp: help,
		LongHelp:  "Example: lentilferry " + name + " archive-desk.1f2e3d4c",
		Flags:     ff.NewFlagSet(name).SetParent(parent),
		Exec: func(ctx context.Context, args []string) error {
			id, err := oneArgument(args, "rollout")
			if err != nil {
				return err
			}
			return send(ctx, id)
		},
	}
}

func (c *cli) confirmCommand(parent *ff.FlagSet) *ff.Command {
	return c.rolloutCommand(parent, "confirm", "start a planned rollout", func(ctx context.Context, id string) error {
		request := &lentilferryv1.ConfirmRequest{Id: id, Operator: *c.operator, Operation: newOperationID()}
		response, err := callAnyNode(ctx, c, request, lentilferryv1connect.OperatorServiceClient.Confirm)
		if err != nil {
			return err
		}
		return c.print(response, func() string {
			return fmt.Sprintf("Confirmed %s. The system moves %s to %s now.\nNext: lentilferry watch %s\n",
				id, response.GetRollout().GetService(), response.GetRollout().GetCandidate(), id)
		})
	})
}

func (c *cli) rejectCommand(parent *ff.FlagSet) *ff.Command {
	return c.rolloutCommand(parent, "reject", "reject a planned rollout; nothing changes", func(ctx context.Context, id string) error {
		request := &lentilferryv1.RejectRequest{Id: id, Operator: *c.operator, Operation: newOperationID()}
		response, err := callAnyNode(ctx, c, request, lentilferryv1connect.OperatorServiceClient.Reject)
		if err != nil {
			return err
		}
		return c.print(response, func() string { return fmt.Sprintf("Rejected %s. Nothing was changed.\n", id) })
	})
}

func (c *cli) rollbackCommand(parent *ff.FlagSet) *ff.Command {
	return c.rolloutCommand(parent, "rollback", "roll a running rollout back", func(ctx context.Context, id string) error {
		request := &lentilferryv1.RollbackRequest{Id: id, Operator: *c.operator, Operation: newOperationID()}
		response, err := callAnyNode(ctx, c, request, lentilferryv1connect.OperatorServiceClient.Rollback)
		if err != nil {
			return err
		}
		return c.print(response, func() string {
			return fmt.Sprintf("Rolling back %s: %s gets all traffic of %s again.\nNext: lentilferry watch %s\n",
				id, response.GetRollout().GetBaseline(), response.GetRollout().GetService(), id)
		})
	})
}

// _watchInterval is the time between requests for the state of a watched
// rollout.
const _watchInterval = time.Second

func (c *cli) watchCommand(parent *ff.FlagSet) *ff.Command {
	return c.rolloutCommand(parent, "watch", "follow a rollout to its end", func(ctx context.Context, id string) error {
		last := ""
		for {
			r, err := c.waitForRollout(ctx, id)
			if err != nil {
				return err
			}
			if line := watchLine(c.env.Now(), r); line != last {
				_, _ = fmt.Fprintf(c.env.Stdout, "%s %s\n", c.env.Now().Format(time.TimeOnly), line)
				last = line
			}
			if done, err := watchResult(r); done {
				_, _ = fmt.Fprint(c.env.Stdout, OutcomeText(r))
				return err
			}
			select {
			case <-ctx.Done():
				return errors.Wrap(ctx.Err(), "watch")
			case <-time.After(_watchInterval):
			}
		}
	})
}

// waitForRollout returns the rollout with the given ID, which must be the last
// one of its service. It waits while the platform can't be read.
func (c *cli) waitForRollout(ctx context.Context, id string) (*lentilferryv1.Rollout, error) {
	service := id[:max(0, strings.LastIndexByte(id, '.'))]
	warned := false
	for {
		response, err := callAnyNode(ctx, c, &lentilferryv1.StatusRequest{Service: service}, lentilferryv1connect.OperatorServiceClient.Status)
		if err != nil {
			return nil, err
		}
		for _, r := range response.GetRollouts() {
			if r.GetId() == id {
				return r, nil
			}
		}
		if response.GetPlatform() == "" {
			return nil, errors.Wrapf(errUsage, "rollout %q is not the last one of %q; see 'lentilferry status'", id, service)
		}
		if !warned {
			_, _ = fmt.Fprintf(c.env.Stderr, "the platform can't be read; waiting: %s\n", response.GetPlatform())
			warned = true
		}
		select {
		case <-ctx.Done():
			return nil, errors.Wrap(ctx.Err(), "watch")
		case <-time.After(_watchInterval):
		}
	}
}

// watchLine describes the progress of a rollout on one line.
func watchLine(now time.Time, r *lentilferryv1.Rollout) string {
	line := fmt.Sprintf("%s: stage %d of %d, share %s; %s had %d calls, %d failed",
		StateName(r.GetState()), r.GetStage()+1, len(r.GetStages()), formatPercent(currentShare(r)),
		r.GetCandidate(), r.GetCandidateCalls(), r.GetCandidateFailures())
	if r.GetState() == lentilferryv1.RolloutState_ROLLOUT_STATE_RUNNING {
		left := time.Unix(0, r.GetDeadlineUnixNanos()).Sub(now).Truncate(10 * time.Second)
		if left > 0 {
			line += fmt.Sprintf("; %s left", left)
		} else {
			line += "; DEADLINE MISSED"
		}
	}
	if r.GetWaitingFor() != "" {
		line += "; waits for " + r.GetWaitingFor()
	}
	return line
}

// Ended reports whether the state is final.
func Ended(s lentilferryv1.RolloutState) bool {
	switch s {
	case lentilferryv1.RolloutState_ROLLOUT_STATE_COMPLETE,
		lentilferryv1.RolloutState_ROLLOUT_STATE_ROLLED_BACK,
		lentilferryv1.RolloutState_ROLLOUT_STATE_REJECTED,
		lentilferryv1.RolloutState_ROLLOUT_STATE_EXPIRED:
		return true
	default:
		return false
	}
}

// watchResult reports whether a rollout has ended. The error is errRolledBack
// if it did not complete.
func watchResult(r *lentilferryv1.Rollout) (bool, error) {
	switch {
	case !Ended(r.GetState()):
		return false, nil
	case r.GetState() == lentilferryv1.RolloutState_ROLLOUT_STATE_COMPLETE:
		return true, nil
	default:
		return true, errRolledBack
	}
}

// OutcomeText says how a rollout ended and what to do next.
func OutcomeText(r *lentilferryv1.Rollout) string {
	switch r.GetState() {
	case lentilferryv1.RolloutState_ROLLOUT_STATE_COMPLETE:
		return fmt.Sprintf("COMPLETE: %s has %s of %s. It had %d calls, of which %d failed. Upstreams of %s can be stopped now unless they still have a share.\n",
			r.GetCandidate(), formatPercent(r.GetTargetShare()), r.GetService(), r.GetCandidateCalls(), r.GetCandidateFailures(), r.GetBaseline())
	case lentilferryv1.RolloutState_ROLLOUT_STATE_ROLLED_BACK:
		return fmt.Sprintf("ROLLED BACK: %s has all traffic of %s. Reason: %s. %d calls reached %s, of which %d failed. Fix %s and plan again.\n",
			r.GetBaseline(), r.GetService(), r.GetReason(), r.GetCandidateCalls(), r.GetCandidate(), r.GetCandidateFailures(), r.GetCandidate())
	default:
		return fmt.Sprintf("%s: %s. Nothing was changed.\n", strings.ToUpper(StateName(r.GetState())), r.GetReason())
	}
}
