package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// RoleHolders returns the n members of a zone that hold a role, chosen by
// rendezvous hashing over the live members (Thaler and Ravishankar, 1998).
// Nodes whose member tables differ may temporarily choose different members,
// which the roles must tolerate.
func RoleHolders(members []Member, role string, n int) []Member {
	type candidate struct {
		member Member
		weight uint64
	}
	candidates := make([]candidate, 0, len(members))
	for _, m := range members {
		if m.State.Gone() || m.Suspected {
			continue
		}
		weight := xxhash.Sum64String(role + "\x00" + string(m.ID))
		candidates = append(candidates, candidate{member: m, weight: weight})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.member.ID, b.member.ID))
	})
	holders := make([]Member, 0, n)
	for _, c := range candidates[:min(n, len(candidates))] {
		holders = append(holders, c.member)
	}
	return holders
}

// HoldsRole reports whether a member is among the n holders of a role.
func HoldsRole(members []Member, role string, n int, id NodeID) bool {
	for _, m := range RoleHolders(members, role, n) {
		if m.ID == id {
			return true
		}
	}
	return false
}
