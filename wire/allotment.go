package wire

import (
	"time"

	"github.com/cockroachdb/errors"

	"lentilferry.example/lentilferry/allotment"
	lentilferryv1 "lentilferry.example/lentilferry/gen/lentilferry/v1"
)

const (
	// _fractionUnit is the number of units of a fraction in messages.
	_fractionUnit = 10_000
	// _recentCounts is the number of recent counts of a workspace in messages.
	_recentCounts = 10
)

// EncodeAllotmentReport maps a report of a node or, with zoneTotal set, of a zone
// to its message.
func EncodeAllotmentReport(r allotment.Report, zoneTotal bool) *lentilferryv1.ReportAllotmentsRequest {
	message := &lentilferryv1.ReportAllotmentsRequest{
		From:          r.Source,
		Zone:          r.Zone,
		ZoneTotal:     zoneTotal,
		Epoch:         r.Epoch,
		Sequence:      r.Sequence,
		Nodes:         uint32(r.Nodes),
		VouchedMillis: uint32(r.Vouched.Milliseconds()),
		Full:          r.Full,
		Workspaces:    make([]uint64, 0, len(r.Counts)),
		Asked:         make([]uint64, 0, len(r.Counts)),
		Admitted:      make([]uint64, 0, len(r.Counts)),
	}
	for _, c := range r.Counts {
		message.Workspaces = append(message.Workspaces, uint64(c.Workspace))
		message.Asked = append(message.Asked, c.Asked)
		message.Admitted = append(message.Admitted, c.Admitted)
		if r.Full {
			var recent [_recentCounts]uint32
			copy(recent[:], c.Recent)
			message.Recent = append(message.Recent, recent[:]...)
		}
	}
	return message
}

// DecodeAllotmentReport maps a message to its report. Its error is ErrMalformed.
func DecodeAllotmentReport(message *lentilferryv1.ReportAllotmentsRequest) (allotment.Report, error) {
	ids, recent := message.GetWorkspaces(), message.GetRecent()
	r := allotment.Report{
		Source:   message.GetFrom(),
		Zone:     message.GetZone(),
		Epoch:    message.GetEpoch(),
		Sequence: message.GetSequence(),
		Nodes:    int(message.GetNodes()),
		Vouched:  time.Duration(message.GetVouchedMillis()) * time.Millisecond,
		Full:     message.GetFull(),
		Counts:   make([]allotment.Count, 0, len(ids)),
	}
	sameLength := len(message.GetAsked()) == len(ids) && len(message.GetAdmitted()) == len(ids)
	if !sameLength || r.Full && len(recent) != len(ids)*_recentCounts {
		return r, errors.Mark(errors.New("allotment report: lists of different lengths"), ErrMalformed)
	}
	for i, id := range ids {
		c := allotment.Count{Workspace: allotment.WorkspaceID(id), Asked: message.GetAsked()[i], Admitted: message.GetAdmitted()[i]}
		if r.Full {
			c.Recent = recent[i*_recentCounts : (i+1)*_recentCounts]
		}
		r.Counts = append(r.Counts, c)
	}
	return r, nil
}

// EncodeAllotmentState maps a state to its message.
func EncodeAllotmentState(st allotment.State) *lentilferryv1.ReportAllotmentsResponse {
	message := &lentilferryv1.ReportAllotmentsResponse{
		Resend:    st.Resend,
		Ready:     st.Ready,
		AgeMillis: uint32(st.Age.Milliseconds()),
	}
	for _, f := range st.Scarce {
		message.Workspaces = append(message.Workspaces, uint64(f.Workspace))
		message.Fractions = append(message.Fractions, uint32(f.Value*_fractionUnit))
	}
	return message
}

// DecodeAllotmentState maps a message to its state. Its error is ErrMalformed.
func DecodeAllotmentState(message *lentilferryv1.ReportAllotmentsResponse) (allotment.State, error) {
	st := allotment.State{
		Resend: message.GetResend(),
		Ready:  message.GetReady(),
		Age:    time.Duration(message.GetAgeMillis()) * time.Millisecond,
	}
	fractions := message.GetFractions()
	if len(fractions) != len(message.GetWorkspaces()) {
		return allotment.State{}, errors.Mark(errors.New("allotment state: lists of different lengths"), ErrMalformed)
	}
	for i, id := range message.GetWorkspaces() {
		st.Scarce = append(st.Scarce, allotment.Fraction{Workspace: allotment.WorkspaceID(id), Value: float64(fractions[i]) / _fractionUnit})
	}
	return st, nil
}
