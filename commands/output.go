package commands

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"lentilferry.example/lentilferry/config"
	lentilferryv1 "lentilferry.example/lentilferry/gen/lentilferry/v1"
	"lentilferry.example/lentilferry/wire"
)

// print writes a message in the format that --output selects; text returns its
// text form.
func (c *cli) print(message proto.Message, text func() string) error {
	if *c.output == "text" {
		_, err := fmt.Fprint(c.env.Stdout, text())
		return errors.Wrap(err, "write output")
	}
	document, err := protojson.Marshal(message)
	if err == nil && *c.output == "yaml" {
		document, err = yaml.JSONToYAML(document)
	} else if err == nil {
		document, err = indentJSON(document)
	}
	if err != nil {
		return errors.Wrap(err, "format output")
	}
	_, err = fmt.Fprintln(c.env.Stdout, strings.TrimRight(string(document), "\n"))
	return errors.Wrap(err, "write output")
}

// indentJSON formats JSON deterministically, which protojson does not.
func indentJSON(document []byte) ([]byte, error) {
	var out bytes.Buffer
	err := json.Indent(&out, document, "", "  ")
	return out.Bytes(), errors.Wrap(err, "indent")
}

// formatTable aligns rows of cells in columns below a header.
func formatTable(header string, rows [][]string) string {
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, header)
	for _, row := range rows {
		_, _ = fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	_ = w.Flush()
	return text.String()
}

func formatPercent(share uint32) string {
	return fmt.Sprintf("%g%%", config.Share(share).Percent())
}

// formatTime formats a time in Unix nanoseconds; 0 means none.
func formatTime(nanos int64) string {
	if nanos == 0 {
		return "-"
	}
	return time.Unix(0, nanos).Format(time.RFC3339)
}

// StateName returns the name of a rollout's state.
func StateName(s lentilferryv1.RolloutState) string {
	switch s {
	case lentilferryv1.RolloutState_ROLLOUT_STATE_PLANNED:
		return "planned"
	case lentilferryv1.RolloutState_ROLLOUT_STATE_RUNNING:
		return "running"
	case lentilferryv1.RolloutState_ROLLOUT_STATE_ROLLING_BACK:
		return "rolling back"
	case lentilferryv1.RolloutState_ROLLOUT_STATE_COMPLETE:
		return "complete"
	case lentilferryv1.RolloutState_ROLLOUT_STATE_ROLLED_BACK:
		return "rolled back"
	case lentilferryv1.RolloutState_ROLLOUT_STATE_REJECTED:
		return "rejected"
	case lentilferryv1.RolloutState_ROLLOUT_STATE_EXPIRED:
		return "expired"
	default:
		return "unknown"
	}
}

// PlanText returns a plan as a table of stages and a table of capacities by
// zone.
func PlanText(r *lentilferryv1.Rollout) string {
	var text strings.Builder
	fmt.Fprintf(&text, "Plan %s: %s of %s from %s to %s by %s\n", r.GetId(), formatPercent(r.GetTargetShare()),
		r.GetService(), r.GetBaseline(), r.GetCandidate(), formatTime(r.GetDeadlineUnixNanos()))
	fmt.Fprintf(&text, "Computed from revision %d; can be confirmed until %s\n\n", r.GetBaseRevision(), formatTime(r.GetExpiresUnixNanos()))
	rows := make([][]string, 0, len(r.GetStages()))
	for i, s := range r.GetStages() {
		rows = append(rows, []string{fmt.Sprint(i + 1), formatPercent(s.GetShare()), time.Duration(s.GetDwellNanos()).Round(time.Millisecond).String()})
	}
	rows = append(rows, []string{"end", formatPercent(r.GetTargetShare()), "-"})
	text.WriteString(formatTable("STAGE\tSHARE\tOBSERVED FOR", rows))
	fmt.Fprintf(&text, "\nFinishes at %s if nothing delays it.\n\n", formatTime(r.GetFinishUnixNanos()))
	rows = nil
	for _, z := range r.GetCapacity() {
		rows = append(rows, []string{
			z.GetZone(),
			fmt.Sprintf("%d upstreams, %d slots", z.GetBaselineUpstreams(), z.GetBaselineSlots()),
			fmt.Sprintf("%d upstreams, %d slots", z.GetCandidateUpstreams(), z.GetCandidateSlots()),
		})
	}
	text.WriteString(formatTable("ZONE\tNOW\t"+r.GetCandidate(), rows))
	return text.String()
}

// rolloutText describes the state of a rollout.
func rolloutText(r *lentilferryv1.Rollout) string {
	var text strings.Builder
	fmt.Fprintf(&text, "Rollout %s: %s from %s to %s is %s\n", r.GetId(), r.GetService(), r.GetBaseline(), r.GetCandidate(), StateName(r.GetState()))
	fmt.Fprintf(&text, "  stage %d of %d, share %s, deadline %s\n", r.GetStage()+1, len(r.GetStages()), formatPercent(currentShare(r)), formatTime(r.GetDeadlineUnixNanos()))
	fmt.Fprintf(&text, "  calls seen: %s %d (%d failed), %s %d\n", r.GetCandidate(), r.GetCandidateCalls(), r.GetCandidateFailures(), r.GetBaseline(), r.GetBaselineCalls())
	if r.GetWaitingFor() != "" {
		fmt.Fprintf(&text, "  waits for %s\n", r.GetWaitingFor())
	}
	if r.GetReason() != "" {
		fmt.Fprintf(&text, "  reason: %s\n", r.GetReason())
	}
	for _, e := range r.GetEvents() {
		fmt.Fprintf(&text, "  %s %s\n", formatTime(e.GetAtUnixNanos()), e.GetText())
	}
	for _, h := range r.GetHistory() {
		fmt.Fprintf(&text, "  previous: %s to %s %s at %s (%s)\n", h.GetId(), h.GetCandidate(), StateName(h.GetState()), formatTime(h.GetEndedUnixNanos()), h.GetReason())
	}
	return text.String()
}

// currentShare returns the share that the candidate should have now, or 0 for a
// malformed rollout.
func currentShare(r *lentilferryv1.Rollout) uint32 {
	decoded, err := wire.DecodeRollout(r)
	if err != nil {
		return 0
	}
	return uint32(decoded.Share())
}
