package wire_test

import (
	"testing"

	"gotest.tools/v3/assert"

	lentilferryv1 "lentilferry.example/lentilferry/gen/lentilferry/v1"
	"lentilferry.example/lentilferry/wire"
)

// A member record without an address to call names no member; the others do.
func TestMemberWithoutAddressIsSkipped(t *testing.T) {
	member := func(peer ...byte) *lentilferryv1.Member {
		return &lentilferryv1.Member{Id: "n", Zone: "a", State: lentilferryv1.MemberState_MEMBER_STATE_SERVING, Peer: peer}
	}
	good := member(10, 0, 0, 7, 0x90, 0x1f)
	assert.Equal(t, len(wire.DecodeMembers([]*lentilferryv1.Member{good})), 1)
	for _, odd := range []*lentilferryv1.Member{nil, {}, member(), member(1), member(0x90, 0x1f), member(10, 0, 0, 7, 0, 0), member(make([]byte, 99)...)} {
		members := wire.DecodeMembers([]*lentilferryv1.Member{good, odd, good})
		assert.Equal(t, len(members), 2, "%v", odd)
	}
}
