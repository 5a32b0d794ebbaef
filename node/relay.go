package node

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"lentilferry.example/lentilferry/membership"
	"lentilferry.example/lentilferry/objectstore"
	"lentilferry.example/lentilferry/revision"
	"lentilferry.example/lentilferry/wire"
)

const (
	// _initialBackoff is the delay after the first failed call to the platform.
	_initialBackoff = 200 * time.Millisecond
	// _maxPlatformBackoff bounds the delay after failed calls to the platform.
	_maxPlatformBackoff = 10 * time.Second
	// _relayCheckInterval is how often a node checks whether it has become a
	// relay.
	_relayCheckInterval = time.Second
	// _minRosterInterval is the time between a relay's first two checks of the
	// rosters; it doubles up to _maxRosterInterval.
	_minRosterInterval = time.Second
	_maxRosterInterval = time.Minute
	// _joinContacts is how many peers must have responded before a starting
	// node contacts no more. Each sends all members that it knows; the second
	// may know others than the first.
	_joinContacts = 2
	// _rosterSize is how many first-contact addresses a roster lists. It is
	// rewritten when fewer than _minLiveInRoster of them belong to live
	// members.
	_rosterSize      = 8
	_minLiveInRoster = 3
	// _loadTimeout bounds loading a revision from the platform.
	_loadTimeout = 30 * time.Second
)

// watchHead follows the head object while this node is a relay. Each watch is
// followed by a read, because its events only hint at a change.
func (n *Node) watchHead(ctx context.Context) {
	retryDelay := backoff.NewExponentialBackOff()
	retryDelay.InitialInterval = _initialBackoff
	retryDelay.MaxInterval = _maxPlatformBackoff
	retryDelay.RandomizationFactor = 1
	var schedule rosterSchedule
	for ctx.Err() == nil {
		if !n.isRelay() {
			sleep(ctx, _relayCheckInterval)
			continue
		}
		err := n.syncHead(ctx, &schedule)
		if err == nil {
			retryDelay.Reset()
			continue
		}
		if ctx.Err() == nil {
			n.deps.Logger.Info("Platform request failed", "cause", err.Error())
		}
		sleep(ctx, retryDelay.NextBackOff())
	}
}

// syncHead loads the head, maintains the rosters, and waits until the head may
// have changed.
func (n *Node) syncHead(ctx context.Context, schedule *rosterSchedule) error {
	watchFrom, err := n.readHead(ctx)
	if err != nil {
		return err
	}
	if _, err := n.maintainRoster(ctx, schedule); err != nil {
		return err
	}
	watchCtx, cancel := context.WithTimeout(ctx, schedule.interval)
	defer cancel()
	_, err = n.deps.Platform.Watch(watchCtx, objectstore.KindHead, watchFrom)
	if watchCtx.Err() != nil && ctx.Err() == nil {
		// The rosters are due for another check.
		return nil
	}
	if errors.Is(err, objectstore.ErrCompacted) {
		return nil
	}
	return errors.Wrap(err, "watch head")
}

// sleep waits for the duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// readHead loads the head revision if it is newer than the current one, and
// returns the version to watch from. An invalid revision is refused and
// recorded; it is not returned as an error, so it causes no backoff.
func (n *Node) readHead(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, _loadTimeout)
	defer cancel()
	heads, watchFrom, err := n.deps.Platform.List(ctx, objectstore.KindHead)
	if err != nil {
		return 0, errors.Wrap(err, "read head")
	}
	if len(heads) == 0 {
		return watchFrom, nil
	}
	snapshot, err := revision.Load(ctx, n.deps.Platform, wire.Codec{}, heads[0], n.holder.Current())
	if errors.Is(err, revision.ErrInvalid) {
		n.refuseHead(heads[0], err)
		return watchFrom, nil
	}
	if err != nil {
		return 0, errors.Wrap(err, "load head")
	}
	if n.holder.Offer(snapshot) == revision.Applied {
		n.deps.Logger.Info("Applied revision", "revision", snapshot.Manifest.Number, "peer", "platform")
	}
	return watchFrom, nil
}

// refuseHead records an invalid head revision so that it is reported and not
// applied.
func (n *Node) refuseHead(head objectstore.Object, cause error) {
	n.deps.Logger.Info("Refused revision", "peer", "platform", "cause", cause.Error())
	if m, err := (wire.Codec{}).DecodeManifest(head.Value); err == nil {
		n.holder.Refuse(m.Number, cause.Error())
	}
}

// rosterSchedule tracks when a relay next has to check the rosters.
type rosterSchedule struct {
	checkedAt time.Time
	// interval is the time until the next check; it doubles up to
	// _maxRosterInterval.
	interval time.Duration
}

// due reports whether it is time to check the rosters, and if so schedules the
// next check.
func (s *rosterSchedule) due(now time.Time) bool {
	if !s.checkedAt.IsZero() && now.Sub(s.checkedAt) < s.interval {
		return false
	}
	s.checkedAt = now
	s.interval = min(_maxRosterInterval, max(_minRosterInterval, 2*s.interval))
	return true
}

// maintainRoster lists some members of the zone on the platform so that
// starting nodes find them. Before it replaces an address that it does not
// know, it contacts that address: otherwise nodes that start together would
// overwrite each other's addresses and remain separate clusters. It reports
// whether the roster was seen or written; not while no check is due.
func (n *Node) maintainRoster(ctx context.Context, schedule *rosterSchedule) (isListed bool, err error) {
	if !schedule.due(n.deps.Now()) {
		return false, nil
	}
	objects, _, err := n.deps.Platform.ListStale(ctx, objectstore.KindRoster)
	if err != nil {
		return false, errors.Wrap(err, "list rosters")
	}
	own := objectstore.Object{Key: objectstore.Key{Kind: objectstore.KindRoster, Name: string(n.deps.Zone)}}
	for _, object := range objects {
		n.contactUnknown(ctx, n.decodeRoster(object))
		if object.Key == own.Key {
			own = object
		}
	}
	return n.writeRoster(ctx, own)
}

// contactUnknown exchanges state with those peers that are not known as live
// members.
func (n *Node) contactUnknown(ctx context.Context, peers []netip.AddrPort) {
	known := make(map[netip.AddrPort]bool)
	for _, m := range n.members.Members() {
		known[m.PeerAddress] = known[m.PeerAddress] || !m.State.Gone()
	}
	for _, address := range peers {
		if address == n.deps.PeerAddress || known[address] {
			continue
		}
		if err := n.gossip.Exchange(ctx, "", address); err != nil {
			n.deps.Logger.V(1).Info("First contact failed", "peer", address, "cause", err.Error())
		}
	}
}

// writeRoster lists members of the zone in its roster, unless enough of those
// already listed are live. It reports whether the store then has the roster. A
// failed write is retried at the next check.
func (n *Node) writeRoster(ctx context.Context, stored objectstore.Object) (isListed bool, err error) {
	peers := n.rosterPeers()
	live := 0
	if stored.Version != 0 {
		for _, p := range n.decodeRoster(stored) {
			if slices.ContainsFunc(n.members.ZoneMembers(n.deps.Zone), func(m membership.Member) bool { return m.PeerAddress == p && !m.State.Gone() }) {
				live++
			}
		}
	}
	if live >= min(_minLiveInRoster, len(peers)) {
		return true, nil
	}
	value, err := wire.MarshalRoster(peers)
	if err != nil {
		return false, err
	}
	var outcome objectstore.WriteOutcome
	if stored.Version == 0 {
		outcome = n.deps.Platform.Create(ctx, stored.Key, value)
	} else {
		outcome = n.deps.Platform.Update(ctx, stored.Key, stored.Version, value)
	}
	n.deps.Logger.Info("Roster write finished", "zone", n.deps.Zone, "members", len(peers), "result", outcome.Result.String())
	return outcome.Result == objectstore.Written, nil
}

// decodeRoster returns the addresses that a roster lists. It logs a roster that
// can't be decoded.
func (n *Node) decodeRoster(object objectstore.Object) []netip.AddrPort {
	peers, err := wire.UnmarshalRoster(object.Value)
	if err != nil {
		n.deps.Logger.Info("Roster not read", "zone", object.Key.Name, "cause", err.Error())
	}
	return peers
}

// rosterPeers returns the addresses to list in the zone's roster, sorted.
func (n *Node) rosterPeers() []netip.AddrPort {
	chosen := membership.RoleHolders(n.members.ZoneMembers(n.deps.Zone), _roleRelay, _rosterSize)
	peers := make([]netip.AddrPort, 0, len(chosen))
	for _, m := range chosen {
		peers = append(peers, m.PeerAddress)
	}
	slices.SortFunc(peers, netip.AddrPort.Compare)
	return peers
}

// join makes first contact with other nodes: the seeds and the peers that the
// platform's rosters list, those of its own zone first. It retries until one
// answers.
func (n *Node) join(ctx context.Context) {
	retryDelay := backoff.NewExponentialBackOff()
	retryDelay.InitialInterval = _initialBackoff
	retryDelay.MaxInterval = _maxPlatformBackoff
	retryDelay.RandomizationFactor = 1
	for ctx.Err() == nil {
		// Rosters change rarely, so a stale list is good enough at first.
		own, others := n.listRosters(ctx, n.isStartingUp())
		// A peer that answers sends all members that it knows.
		if n.contactAny(ctx, append(slices.Clone(n.deps.Seeds), own...)) || n.contactAny(ctx, others) {
			n.joined.Store(true)
			if n.upstreamRegistry != nil {
				n.syncUpstreamState(n.deps.Now())
			}
			return
		}
		sleep(ctx, retryDelay.NextBackOff())
	}
}

// contactAny exchanges state with the peers in random order until _joinContacts
// of them have answered, and reports whether any has.
func (n *Node) contactAny(ctx context.Context, peers []netip.AddrPort) bool {
	reached := 0
	peers = slices.Clone(peers)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, address := range peers {
		if address == n.deps.PeerAddress {
			continue
		}
		if err := n.gossip.Exchange(ctx, "", address); err == nil {
			reached++
		}
		if reached >= _joinContacts {
			break
		}
	}
	return reached > 0
}

// listRosters returns the first-contact addresses of the node's own zone and of
// the other zones, nil if they can't be read.
func (n *Node) listRosters(ctx context.Context, allowStale bool) (own, others []netip.AddrPort) {
	list := n.deps.Platform.List
	if allowStale {
		list = n.deps.Platform.ListStale
	}
	objects, _, err := list(ctx, objectstore.KindRoster)
	if err != nil {
		n.deps.Logger.V(1).Info("Rosters not read", "cause", err.Error())
		return nil, nil
	}
	for _, object := range objects {
		if object.Key.Name == string(n.deps.Zone) {
			own = append(own, n.decodeRoster(object)...)
		} else {
			others = append(others, n.decodeRoster(object)...)
		}
	}
	n.allotments.rosterSize.Store(int64(len(own) + len(others)))
	return own, others
}
