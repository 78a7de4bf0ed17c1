// Package serverview holds one node's view of the backend servers: their entries in the platform's list, the states
// that the holders of model servers publish, and the outcomes of the node's own requests. All methods take the time as
// an argument and are safe for concurrent use.
package serverview

import (
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingcleat.example/waxwingcleat/internal/brittle"
	"waxwingcleat.example/waxwingcleat/internal/evictions"
	"waxwingcleat.example/waxwingcleat/internal/requestlimit"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

const (
	// publishedLifetime is how long a published state is valid; holders publish every 500 ms.
	publishedLifetime = 1500 * time.Millisecond
	// holderSilentAfter is the age of the latest publication above which a holder gets no more load requests.
	holderSilentAfter = 800 * time.Millisecond
	// ejectThreshold is the number of consecutive failures after which a server is ejected for ejectTime. The time
	// doubles with each ejection, up to maximumEjectTime.
	ejectThreshold   = 2
	ejectTime        = 400 * time.Millisecond
	maximumEjectTime = 3 * time.Second
	// stallTimeout is how long at least minStalledStreams concurrent requests may receive no byte before their server
	// counts as stalled. Streams of a healthy server pause for at most 250 to 300 ms.
	stallTimeout      = 600 * time.Millisecond
	minStalledStreams = 2
	// idleConnectionLifetime is how long after a request an idle connection to its server is assumed to be open. This
	// process closes idle connections after 60 s, and servers may close them sooner.
	idleConnectionLifetime = 30 * time.Second
	// failureWeight is the weight of one outcome in the moving average of failures.
	failureWeight = 0.1
)

type server struct {
	entry serving.Server
	// removedAt is when the entry disappeared; zero while it is present. goneAt is when the server counts as removed then.
	removedAt, goneAt time.Time
	// leaving is true when the entry says that the server leaves, leavingAt is since when.
	leaving   bool
	leavingAt time.Time
	// changedAt is when the entry last changed or disappeared.
	changedAt time.Time

	published   Published
	publishedAt time.Time
	// full is the latest full publication, on which deltas are based.
	full Published
	// evicted holds the adapters that the server evicted recently, which it loads fast.
	evicted *evictions.Memory
	// sentSince counts requests sent since the published state was received.
	sentSince int

	inFlight int
	// lastRequestAt is when this node last sent a request to the server.
	lastRequestAt time.Time
	// lastByteAt is when a stream of this node last received bytes from the server, or when a request began while none
	// was in flight.
	lastByteAt   time.Time
	failures     int
	failureRate  float64
	ejectedUntil time.Time
	ejectTime    time.Duration

	reach reach

	limit requestlimit.Belief
	// noRoomUntil is when the limit probably leaves room for a request of this node; it's meaningless without a limit.
	noRoomUntil time.Time
	tolerance   tolerance
	// room is what the rejections of the server show about its room while it is brittle.
	room brittle.Room
	// soundAt is when the latest request whose answer named no tolerance was sent.
	soundAt time.Time

	// saidLeavingAt is when an answer of the server first said that it leaves; zero before. Only another incarnation ends it.
	saidLeavingAt time.Time
	// restUntil is until when the server wants no requests from this node, and restNotedAt when it last asked for that.
	restUntil, restNotedAt time.Time
}

// View is the aggregate of all servers.
type View struct {
	mu      sync.Mutex
	servers map[string]*server
	// reachedAt is when an unreachable server was last reached again.
	reachedAt time.Time
	changed   chan struct{}
	declared  map[serving.Adapter]declaration
	// tolerances holds the latest named tolerance of each service's servers.
	tolerances map[string]tolerance
	versions   versionHistory
}

type declaration struct {
	version int
	at      time.Time
}

// New returns an empty view.
func New() *View {
	return &View{
		servers: make(map[string]*server), changed: make(chan struct{}), declared: make(map[serving.Adapter]declaration),
		versions: make(versionHistory), tolerances: make(map[string]tolerance),
	}
}

// Changed returns a channel that is closed at the next change that may allow a waiting request to proceed.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

func (v *View) notify() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// PutCopiedEntry is PutEntry for an entry of a store that has just returned from an older copy. It doesn't bring back an incarnation that
// leaves or counts as removed, as the entry may be from before that; if the server lives, it writes again.
func (v *View) PutCopiedEntry(now time.Time, entry serving.Server) (changed bool) {
	v.mu.Lock()
	srv := v.servers[entry.ID]
	departed := srv != nil && srv.isIncarnation(entry) && (srv.leaving || srv.isGone(now))
	v.mu.Unlock()
	return !departed && v.PutEntry(now, entry)
}

// isIncarnation reports whether an entry is one of the server's present incarnation.
func (s *server) isIncarnation(entry serving.Server) bool {
	return s.entry.Born == entry.Born && s.entry.Address == entry.Address && s.entry.SoftwareVersion == entry.SoftwareVersion
}

// PutEntry stores a server's entry. It returns true when the server is new or restarted, changed its address or whether
// it is leaving, or had no entry before. An incarnation that has begun to leave goes on leaving: an entry that says otherwise is an older
// one, of a store that has returned from a copy.
func (v *View) PutEntry(now time.Time, entry serving.Server) (changed bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	srv := v.servers[entry.ID]
	if srv == nil || !srv.isIncarnation(entry) {
		v.versions.lastSeen(now, srv)
		srv = &server{entry: entry, evicted: evictions.New(evictedLimit)}
		v.servers[entry.ID] = srv
		changed = true
	}
	// Other nodes get the entry from this one.
	entry.Draining = entry.Draining || srv.leaving && entry.Born != 0
	leaving := entry.Draining || entry.LeavesIn > 0
	changed = changed || srv.leaving != leaving || !srv.removedAt.IsZero()
	if leaving && !srv.leaving {
		srv.leavingAt = now
	}
	srv.entry = entry
	srv.leaving = leaving
	srv.removedAt = time.Time{}
	if changed {
		srv.changedAt = now
		v.notify()
	}
	return changed
}

// RemoveEntry records that a server's entry disappeared. The server stays in use until goneAt, as an entry that lapsed in an outage of
// the store reappears. It returns false when the server had no entry.
func (v *View) RemoveEntry(now time.Time, id string, goneAt time.Time) (removed bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	srv := v.servers[id]
	return srv != nil && srv.remove(now, goneAt)
}

// KeepOnly is RemoveEntry for every server outside ids. It returns the IDs of those that had an entry.
func (v *View) KeepOnly(now time.Time, ids map[string]bool, goneAt time.Time) (removed []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for id, srv := range v.servers {
		if !ids[id] && srv.remove(now, goneAt) {
			removed = append(removed, id)
		}
	}
	return removed
}

// remove records that the entry disappeared, or that it's known by now to count as removed earlier than it did.
func (s *server) remove(now, goneAt time.Time) (removed bool) {
	if s.removedAt.IsZero() {
		s.removedAt, s.changedAt, s.goneAt = now, now, goneAt
		return true
	}
	s.goneAt = minTime(s.goneAt, goneAt)
	return false
}

// Gone records that servers without an entry don't come back, as another node knows.
func (v *View) Gone(now time.Time, ids []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, id := range ids {
		if srv := v.servers[id]; srv != nil && !srv.removedAt.IsZero() {
			srv.goneAt = minTime(srv.goneAt, now)
		}
	}
}

// Prune deletes servers whose entry has been missing for longer than after and which have no request in flight.
func (v *View) Prune(now time.Time, after time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for id, srv := range v.servers {
		if !srv.removedAt.IsZero() && now.Sub(srv.removedAt) > after && srv.inFlight == 0 {
			v.versions.lastSeen(srv.removedAt, srv)
			delete(v.servers, id)
		}
	}
}

// Publish applies the states that a holder published, except outdated ones. It returns true when any was applied.
// Waiting requests are notified once for all of them.
func (v *View) Publish(now time.Time, states ...Published) (applied bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, state := range states {
		applied = v.apply(now, state) || applied
	}
	if applied {
		v.notify()
	}
	return applied
}

func (v *View) apply(now time.Time, state Published) bool {
	srv := v.incarnation(state.ServerID, state.Born)
	if srv == nil {
		return false
	}
	last := srv.published
	fresh := now.Sub(srv.publishedAt) < publishedLifetime
	sameHolder := state.Fence == last.Fence && state.Holder == last.Holder
	if fresh && (state.Fence < last.Fence || state.Fence == last.Fence && state.Sequence <= last.Sequence) {
		return false
	}
	switch {
	case state.Kind == Full:
		srv.full = state
	case !sameHolder:
		return false
	default:
		state.applyDelta(srv.full, last)
	}
	srv.recordEvictions(now, state)
	srv.published = state
	srv.publishedAt = now
	if state.Tolerance.Named {
		v.noteTolerance(now, srv, tolerance{state.Tolerance.PerSecond, now.Add(-state.ToleranceAge)})
	}
	srv.sentSince = 0
	if state.Ready && state.Running+state.Waiting > 0 {
		// The holder reaches the server and requests run there, so the next ejection starts from the shortest time.
		srv.ejectTime = 0
	}
	return true
}

// Arrived records that a server has loaded an adapter that requests wait for, as announced by its holder ahead of the
// next publication. It ignores nodes other than the current holder.
func (v *View) Arrived(now time.Time, holder, id string, adapter serving.AdapterVersion) {
	v.mu.Lock()
	defer v.mu.Unlock()
	srv := v.servers[id]
	if srv == nil || srv.published.Holder != holder || now.Sub(srv.publishedAt) >= publishedLifetime {
		return
	}
	srv.published.Adapters = cloneAdapters(srv.published.Adapters)
	srv.published.Adapters[adapter.Adapter] = adapter.Version
	v.notify()
}

// evictedLimit bounds the evicted adapters recorded for one server; engines cache somewhat more of them in memory.
const evictedLimit = 150

// recordEvictions records the adapters that are in the last state and not in the new one.
func (s *server) recordEvictions(now time.Time, state Published) {
	if !state.Ready || len(state.Adapters) == 0 {
		// The server is unreachable, or it restarted and holds nothing from before.
		return
	}
	for adapter := range s.published.Adapters {
		if _, present := state.Adapters[adapter]; !present {
			s.evicted.Add(now, adapter)
		}
	}
}

// Declare records that a version of an adapter is to be served from now on. It returns false unless the version is
// newer than the declared one.
func (v *View) Declare(now time.Time, adapter serving.AdapterVersion) (changed bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.declared[adapter.Adapter].version >= adapter.Version {
		return false
	}
	v.declared[adapter.Adapter] = declaration{version: adapter.Version, at: now}
	v.notify()
	return true
}

// Declared returns the newest declared version of an adapter and when this node received the declaration; 0 when there
// is none.
func (v *View) Declared(adapter serving.Adapter) (version int, at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	newest := v.declared[adapter]
	return newest.version, newest.at
}

// Entries returns the entries of all servers, without those that count as removed.
func (v *View) Entries(now time.Time) []serving.Server {
	v.mu.Lock()
	defer v.mu.Unlock()
	entries := make([]serving.Server, 0, len(v.servers))
	for _, srv := range v.servers {
		if !srv.isGone(now) {
			entry := srv.entry
			entry.Draining = srv.leaving
			entries = append(entries, entry)
		}
	}
	return entries
}

// Registered returns the entries of all servers that have one. Those that may reappear are left out.
func (v *View) Registered() []serving.Server {
	v.mu.Lock()
	defer v.mu.Unlock()
	entries := make([]serving.Server, 0, len(v.servers))
	for _, srv := range v.servers {
		if srv.removedAt.IsZero() {
			entries = append(entries, srv.entry)
		}
	}
	return entries
}

// isGone reports whether a server counts as removed.
func (s *server) isGone(now time.Time) bool { return !s.removedAt.IsZero() && !now.Before(s.goneAt) }

// Changes are the changes of entries in some time.
type Changes struct {
	Present []serving.Server
	// Removed holds the IDs of the servers whose entries disappeared, Gone of those that count as removed since.
	Removed, Gone []string
}

// Count returns the number of changes.
func (c Changes) Count() int { return len(c.Present) + len(c.Removed) + len(c.Gone) }

// ChangedSince returns the changes from a time until now.
func (v *View) ChangedSince(since, now time.Time) (changes Changes) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for id, srv := range v.servers {
		changed := !srv.changedAt.Before(since)
		switch {
		case changed && srv.removedAt.IsZero():
			changes.Present = append(changes.Present, srv.entry)
		case changed:
			changes.Removed = append(changes.Removed, id)
		}
		if srv.isGone(now) && (changed || !srv.goneAt.Before(since)) {
			changes.Gone = append(changes.Gone, id)
		}
	}
	return changes
}

// Fingerprint returns a hash of all present entries, which is equal on nodes that have the same entries.
func (v *View) Fingerprint() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	var sum uint64
	for _, srv := range v.servers {
		if !srv.removedAt.IsZero() {
			continue
		}
		e := srv.entry
		sum += xxhash.Sum64String(e.ID + "|" + e.Service + "|" + e.Address + "|" + e.Zone + "|" +
			strconv.Itoa(e.Slots) + "|" + strconv.FormatInt(e.Born, 10) + "|" + e.SoftwareVersion + "|" +
			strconv.FormatBool(e.Draining || e.LeavesIn > 0))
	}
	return sum
}

// Holder returns the peer address of the node that published a server's state within holderSilentAfter, or an empty
// string.
func (v *View) Holder(now time.Time, id string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	srv := v.servers[id]
	if srv == nil || now.Sub(srv.publishedAt) > holderSilentAfter {
		return ""
	}
	return srv.published.Holder
}

// AllDeclared returns every declared version.
func (v *View) AllDeclared() []serving.AdapterVersion {
	v.mu.Lock()
	defer v.mu.Unlock()
	all := make([]serving.AdapterVersion, 0, len(v.declared))
	for adapter, newest := range v.declared {
		all = append(all, serving.AdapterVersion{Adapter: adapter, Version: newest.version})
	}
	return all
}

// incarnation returns a server if it's the one that started at born, else nil. The caller holds v.mu.
func (v *View) incarnation(id string, born int64) *server {
	if srv := v.servers[id]; srv != nil && srv.entry.Born == born {
		return srv
	}
	return nil
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
