package wire

import (
	"net/netip"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/evidence"
	lentilferryv1 "lentilferry.example/lentilferry/gen/lentilferry/v1"
	"lentilferry.example/lentilferry/lease"
	"lentilferry.example/lentilferry/membership"
)

// EncodeTallies maps tallies to their messages.
func EncodeTallies(tallies []evidence.Tally) []*lentilferryv1.Tally {
	messages := make([]*lentilferryv1.Tally, 0, len(tallies))
	for _, t := range tallies {
		messages = append(messages, &lentilferryv1.Tally{
			Version:  string(t.Key.Version),
			Route:    string(t.Key.Route),
			Calls:    t.Calls,
			Failures: t.Failures,
			Latency:  t.Latency,
		})
	}
	return messages
}

// DecodeTallies maps messages to their tallies. It lowers a number of failures
// that exceeds the calls to that of the calls.
func DecodeTallies(messages []*lentilferryv1.Tally) []evidence.Tally {
	tallies := make([]evidence.Tally, 0, len(messages))
	for _, message := range messages {
		tallies = append(tallies, evidence.Tally{
			Key: evidence.TallyKey{
				Version: config.VersionName(message.GetVersion()),
				Route:   config.RouteName(message.GetRoute()),
			},
			Calls:    message.GetCalls(),
			Failures: min(message.GetFailures(), message.GetCalls()),
			Latency:  message.GetLatency(),
		})
	}
	return tallies
}

// EncodeReport maps a report to its message.
func EncodeReport(r evidence.Report) *lentilferryv1.ReportRequest {
	return &lentilferryv1.ReportRequest{
		From:        string(r.Node),
		Incarnation: r.Incarnation,
		Sequence:    r.Sequence,
		Rollout:     r.Rollout,
		Tallies:     EncodeTallies(r.Tallies),
		Applied:     r.AppliedRevision,
		Running:     uint32(r.InFlight),
	}
}

// DecodeReport maps a message to its report.
func DecodeReport(message *lentilferryv1.ReportRequest) evidence.Report {
	return evidence.Report{
		Rollout:         message.GetRollout(),
		Node:            membership.NodeID(message.GetFrom()),
		Incarnation:     message.GetIncarnation(),
		Sequence:        message.GetSequence(),
		Tallies:         DecodeTallies(message.GetTallies()),
		AppliedRevision: message.GetApplied(),
		InFlight:        int(message.GetRunning()),
	}
}

// MarshalLease returns the stored form of a lease.
func MarshalLease(r lease.Record) ([]byte, error) {
	value, err := proto.Marshal(&lentilferryv1.Lease{Holder: r.Holder, Epoch: r.Epoch, Beat: r.RenewalCount})
	return value, errors.Wrap(err, "encode lease")
}

// UnmarshalLease returns the lease with the given stored form. Its error is
// ErrMalformed.
func UnmarshalLease(value []byte) (lease.Record, error) {
	var message lentilferryv1.Lease
	if err := proto.Unmarshal(value, &message); err != nil {
		return lease.Record{}, errors.Mark(errors.Wrap(err, "lease"), ErrMalformed)
	}
	return lease.Record{Holder: message.GetHolder(), Epoch: message.GetEpoch(), RenewalCount: message.GetBeat()}, nil
}

// MarshalRoster returns the stored form of a zone's roster: the addresses that
// starting nodes contact first.
func MarshalRoster(peers []netip.AddrPort) ([]byte, error) {
	message := &lentilferryv1.Roster{}
	for _, p := range peers {
		// Ignored: an AddrPort always marshals.
		peer, _ := p.MarshalBinary()
		message.Peers = append(message.Peers, peer)
	}
	value, err := proto.Marshal(message)
	return value, errors.Wrap(err, "encode roster")
}

// UnmarshalRoster returns the addresses in a stored roster. Its error is
// ErrMalformed.
func UnmarshalRoster(value []byte) ([]netip.AddrPort, error) {
	var message lentilferryv1.Roster
	if err := proto.Unmarshal(value, &message); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "roster"), ErrMalformed)
	}
	var peers []netip.AddrPort
	for _, p := range message.GetPeers() {
		var peer netip.AddrPort
		if err := peer.UnmarshalBinary(p); err != nil {
			return nil, errors.Mark(errors.Wrap(err, "roster"), ErrMalformed)
		}
		peers = append(peers, peer)
	}
	return peers, nil
}
