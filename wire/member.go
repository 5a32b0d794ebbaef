package wire

import (
	"net/netip"
	"time"

	"lentilferry.example/lentilferry/config"
	lentilferryv1 "lentilferry.example/lentilferry/gen/lentilferry/v1"
	"lentilferry.example/lentilferry/membership"

	"github.com/cockroachdb/errors"
)

// EncodeMember maps a member to its message.
func EncodeMember(m membership.Member) *lentilferryv1.Member {
	// Ignored: an AddrPort always marshals.
	peer, _ := m.PeerAddress.MarshalBinary()
	return &lentilferryv1.Member{
		Id:          string(m.ID),
		Incarnation: m.Incarnation,
		Sequence:    m.Sequence,
		State:       lentilferryv1.MemberState(m.State),
		Suspected:   m.Suspected,
		Region:      string(m.Region),
		Zone:        string(m.Zone),
		Peer:        peer,
		Service:     string(m.Service),
		Version:     string(m.Version),
		Slots:       uint32(m.Slots),
		Revision:    m.Revision,
		Departed:    m.LastDeparture.Process,

		DepartedIncarnation: m.LastDeparture.Incarnation,
	}
}

// DecodeMember maps a message to its member. It returns ErrMalformed if the
// message has no ID, no zone, no valid peer address or an unknown state.
func DecodeMember(message *lentilferryv1.Member) (membership.Member, error) {
	var peer netip.AddrPort
	if err := peer.UnmarshalBinary(message.GetPeer()); err != nil {
		return membership.Member{}, errors.Mark(errors.Wrapf(err, "decode peer address of member %q", message.GetId()), ErrMalformed)
	}
	if !peer.IsValid() || peer.Port() == 0 {
		return membership.Member{}, errors.Wrapf(ErrMalformed, "member %q has no address and port", message.GetId())
	}
	state := membership.State(message.GetState())
	if message.GetId() == "" || message.GetZone() == "" || state < membership.Starting || state > membership.Failed {
		return membership.Member{}, errors.Wrapf(ErrMalformed, "member %q of zone %q lacks a field or has an unknown state", message.GetId(), message.GetZone())
	}
	return membership.Member{
		ID:            membership.NodeID(message.GetId()),
		Incarnation:   message.GetIncarnation(),
		Sequence:      message.GetSequence(),
		State:         state,
		Suspected:     message.GetSuspected(),
		Region:        membership.Region(message.GetRegion()),
		Zone:          membership.Zone(message.GetZone()),
		PeerAddress:   peer,
		Service:       config.ServiceName(message.GetService()),
		Version:       config.VersionName(message.GetVersion()),
		Slots:         int(message.GetSlots()),
		Revision:      message.GetRevision(),
		LastDeparture: membership.Departure{Process: message.GetDeparted(), Incarnation: message.GetDepartedIncarnation()},
	}, nil
}

// EncodeMembers maps members to their messages.
func EncodeMembers(members []membership.Member) []*lentilferryv1.Member {
	messages := make([]*lentilferryv1.Member, 0, len(members))
	for _, m := range members {
		messages = append(messages, EncodeMember(m))
	}
	return messages
}

// DecodeMembers maps messages to their members. It skips malformed ones.
func DecodeMembers(messages []*lentilferryv1.Member) []membership.Member {
	members := make([]membership.Member, 0, len(messages))
	for _, message := range messages {
		m, err := DecodeMember(message)
		if err == nil {
			members = append(members, m)
		}
	}
	return members
}

// EncodeDigests maps zone digests to their messages.
func EncodeDigests(digests []membership.ZoneDigest) []*lentilferryv1.ZoneDigest {
	messages := make([]*lentilferryv1.ZoneDigest, 0, len(digests))
	for _, d := range digests {
		messages = append(messages, &lentilferryv1.ZoneDigest{
			Zone:      string(d.Zone),
			Hash:      d.Hash,
			AgeMillis: uint64(max(0, d.Age.Milliseconds())),
		})
	}
	return messages
}

// DecodeDigests maps messages to their zone digests.
func DecodeDigests(messages []*lentilferryv1.ZoneDigest) []membership.ZoneDigest {
	digests := make([]membership.ZoneDigest, 0, len(messages))
	for _, message := range messages {
		digests = append(digests, membership.ZoneDigest{
			Zone: membership.Zone(message.GetZone()),
			Hash: message.GetHash(),
			Age:  time.Duration(message.GetAgeMillis()) * time.Millisecond,
		})
	}
	return digests
}

// EncodeZoneApplied maps the applied revisions of a zone's members to their
// message.
func EncodeZoneApplied(z membership.ZoneApplied) *lentilferryv1.ZoneAppliedResponse {
	message := &lentilferryv1.ZoneAppliedResponse{Lowest: z.Lowest, Newest: z.Newest, Behind: uint32(z.LaggingCount)}
	for _, h := range z.Lagging {
		message.HeldBack = append(message.HeldBack, &lentilferryv1.Member{Id: string(h.ID), Revision: h.Revision})
	}
	return message
}

// DecodeZoneApplied maps a message to the applied revisions of the given zone's
// members.
func DecodeZoneApplied(zone membership.Zone, message *lentilferryv1.ZoneAppliedResponse) membership.ZoneApplied {
	z := membership.ZoneApplied{
		Zone: zone, Reached: true, Lowest: message.GetLowest(), Newest: message.GetNewest(), LaggingCount: int(message.GetBehind()),
	}
	for _, h := range message.GetHeldBack() {
		z.Lagging = append(z.Lagging, membership.LaggingMember{ID: membership.NodeID(h.GetId()), Zone: zone, Revision: h.GetRevision()})
	}
	return z
}
