// Package serverview is what one node believes of the backend servers: their entries in the platform's list, what the
// holders of model servers publish of them, and the node's own experience with them. All methods take the time as an
// argument and may be called from any goroutine.
package serverview

import (
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingcleat.example/waxwingcleat/internal/evictions"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

const (
	// publishedLifetime is after how long without news a holder counts as silent; holders publish each 500 ms.
	publishedLifetime = 1500 * time.Millisecond
	// holderSilentAfter is after how long without news a holder is asked for no more loads.
	holderSilentAfter = 800 * time.Millisecond
	// outageGrace is how long after an outage of the store a missing entry may come back; the platform promises
	// about two seconds.
	outageGrace = 2200 * time.Millisecond
	// ejectAfter consecutive failures a server is left alone for ejectTime, which doubles up to maximumEjectTime.
	ejectAfter       = 2
	ejectTime        = 400 * time.Millisecond
	maximumEjectTime = 3 * time.Second
	// silentAfter is after how long without a byte on any of at least silentStreams streams a server counts as
	// silent. Its streams pause for 250 to 300 ms at most when it's well.
	silentAfter   = 600 * time.Millisecond
	silentStreams = 2
	// connectionKept is for how long after a request an idle connection to its server is probably still there;
	// connections are kept for 60 s here, and servers may close them sooner.
	connectionKept = 30 * time.Second
	// failureWeight is the weight of one outcome in the moving average of failures.
	failureWeight = 0.1
)

type server struct {
	entry serving.Server
	// goneAt is when the entry went missing; zero while it's there.
	goneAt  time.Time
	leaving bool
	// newsAt is when the entry last told something new, or went missing.
	newsAt time.Time

	published   Published
	publishedAt time.Time
	// full is the latest full publication, on which deltas are based.
	full Published
	// held maps adapters that the server held and evicted to when that was seen; it loads them fast.
	held *evictions.Memory
	// sentSince counts requests sent since the published state was received.
	sentSince int

	inFlight int
	// begunAt is when this node last sent a request there.
	begunAt time.Time
	// heardAt is when a stream of this node last got bytes from the server, or when one began while none ran.
	heardAt      time.Time
	failures     int
	failureRate  float64
	ejectedUntil time.Time
	ejectTime    time.Duration
}

// View is the aggregate of all servers.
type View struct {
	mu      sync.Mutex
	servers map[string]*server
	// storeFailedAt is when the store was last found out of reach.
	storeFailedAt time.Time
	changed       chan struct{}
	declared      map[serving.Adapter]declaration
}

type declaration struct {
	version int
	at      time.Time
}

// New returns an empty view.
func New() *View {
	return &View{
		servers: make(map[string]*server), changed: make(chan struct{}), declared: make(map[serving.Adapter]declaration),
	}
}

// Changed returns a channel that is closed at the next change that may let a waiting request go on.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

func (v *View) notify() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// PutEntry takes a server's entry. It returns true when the entry tells something new that operators care about.
func (v *View) PutEntry(now time.Time, entry serving.Server) (news bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	known := v.servers[entry.ID]
	if known == nil || known.entry.Born != entry.Born || known.entry.Address != entry.Address {
		known = &server{entry: entry, held: evictions.New(heldLimit)}
		v.servers[entry.ID] = known
		news = true
	}
	leaving := entry.Draining || entry.LeavesIn > 0
	news = news || known.leaving != leaving || !known.goneAt.IsZero()
	known.entry = entry
	known.leaving = leaving
	known.goneAt = time.Time{}
	if news {
		known.newsAt = now
		v.notify()
	}
	return news
}

// RemoveEntry notes that a server's entry is gone.
func (v *View) RemoveEntry(now time.Time, id string) (news bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	known := v.servers[id]
	if known == nil || !known.goneAt.IsZero() {
		return false
	}
	known.goneAt, known.newsAt = now, now
	return true
}

// KeepOnly notes that every server outside ids has lost its entry. It returns those that had one before.
func (v *View) KeepOnly(now time.Time, ids map[string]bool) (removed []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for id, known := range v.servers {
		if !ids[id] && known.goneAt.IsZero() {
			known.goneAt, known.newsAt = now, now
			removed = append(removed, id)
		}
	}
	return removed
}

// StoreFailed notes that the store was out of reach. Entries that lapse around an outage may come back.
func (v *View) StoreFailed(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.storeFailedAt = now
}

// Forget drops servers whose entry has been missing for longer than after and which nothing uses any more.
func (v *View) Forget(now time.Time, after time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for id, known := range v.servers {
		if !known.goneAt.IsZero() && now.Sub(known.goneAt) > after && known.inFlight == 0 {
			delete(v.servers, id)
		}
	}
}

// Publish takes the states that a holder published, except those of which a newer one is known. It returns true when any
// was taken. Waiting requests look at the servers once for all of them.
func (v *View) Publish(now time.Time, states ...Published) (taken bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, state := range states {
		taken = v.take(now, state) || taken
	}
	if taken {
		v.notify()
	}
	return taken
}

func (v *View) take(now time.Time, state Published) bool {
	known := v.servers[state.ServerID]
	if known == nil || known.entry.Born != state.Born {
		return false
	}
	last := known.published
	fresh := now.Sub(known.publishedAt) < publishedLifetime
	sameHolder := state.Fence == last.Fence && state.Holder == last.Holder
	if fresh && (state.Fence < last.Fence || state.Fence == last.Fence && state.Sequence <= last.Sequence) {
		return false
	}
	switch {
	case state.Kind == Full:
		known.full = state
	case !sameHolder:
		return false
	default:
		state.follow(known.full, last)
	}
	known.noteEvicted(now, state)
	known.published = state
	known.publishedAt = now
	known.sentSince = 0
	if state.Ready && state.Running+state.Waiting > 0 {
		// The holder reaches the server, so that a failure of this node's own may be tried again soon.
		known.ejectTime = 0
	}
	return true
}

// Arrived notes that a server's holder has told of one adapter that requests wait for. The next publication lists it too.
func (v *View) Arrived(now time.Time, holder, id string, adapter serving.AdapterVersion) {
	v.mu.Lock()
	defer v.mu.Unlock()
	known := v.servers[id]
	if known == nil || known.published.Holder != holder || now.Sub(known.publishedAt) >= publishedLifetime {
		return
	}
	known.published.Adapters = copyOf(known.published.Adapters)
	known.published.Adapters[adapter.Adapter] = adapter.Version
	v.notify()
}

// heldLimit bounds the evicted adapters that are remembered for one server; engines keep some more in memory.
const heldLimit = 150

// noteEvicted remembers the adapters that are in the last state and not in the new one.
func (s *server) noteEvicted(now time.Time, state Published) {
	if !state.Ready || len(state.Adapters) == 0 {
		// The server is out of reach, or restarted and holds nothing of before.
		return
	}
	for adapter := range s.published.Adapters {
		if _, stays := state.Adapters[adapter]; !stays {
			s.held.Add(now, adapter)
		}
	}
}

// Declare notes that a version of an adapter is to be served from now on.
func (v *View) Declare(now time.Time, adapter serving.AdapterVersion) (news bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.declared[adapter.Adapter].version >= adapter.Version {
		return false
	}
	v.declared[adapter.Adapter] = declaration{version: adapter.Version, at: now}
	v.notify()
	return true
}

// Declared returns the newest declared version of an adapter and when the node learned of it; 0 when none was.
func (v *View) Declared(adapter serving.Adapter) (version int, at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	known := v.declared[adapter]
	return known.version, known.at
}

// Entries returns the entries of all servers that are not gone.
func (v *View) Entries(now time.Time) []serving.Server {
	v.mu.Lock()
	defer v.mu.Unlock()
	entries := make([]serving.Server, 0, len(v.servers))
	for _, known := range v.servers {
		if !v.gone(known, now) {
			entry := known.entry
			entry.Draining = known.leaving
			entries = append(entries, entry)
		}
	}
	return entries
}

// gone reports whether a server without an entry is to be taken as leaving. Around an outage of the store, entries
// lapse and come back.
func (v *View) gone(known *server, now time.Time) bool {
	if known.goneAt.IsZero() {
		return false
	}
	return !now.Before(minTime(v.storeFailedAt, known.goneAt).Add(outageGrace))
}

// News returns the entries that told something new since a time, and the IDs of those that went missing since then.
func (v *View) News(since time.Time) (present []serving.Server, gone []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for id, known := range v.servers {
		switch {
		case known.newsAt.Before(since):
		case known.goneAt.IsZero():
			present = append(present, known.entry)
		default:
			gone = append(gone, id)
		}
	}
	return present, gone
}

// Fingerprint returns a number that two nodes with the same entries have in common.
func (v *View) Fingerprint() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	var sum uint64
	for _, known := range v.servers {
		if !known.goneAt.IsZero() {
			continue
		}
		e := known.entry
		sum += xxhash.Sum64String(e.ID + "|" + e.Service + "|" + e.Address + "|" + e.Zone + "|" +
			strconv.Itoa(e.Slots) + "|" + strconv.FormatInt(e.Born, 10) + "|" + strconv.FormatBool(e.Draining || e.LeavesIn > 0))
	}
	return sum
}

// Holder returns the peer address of the node that lately published a server's state, or an empty string.
func (v *View) Holder(now time.Time, id string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	known := v.servers[id]
	if known == nil || now.Sub(known.publishedAt) > holderSilentAfter {
		return ""
	}
	return known.published.Holder
}

// AllDeclared returns every declared version.
func (v *View) AllDeclared() []serving.AdapterVersion {
	v.mu.Lock()
	defer v.mu.Unlock()
	all := make([]serving.AdapterVersion, 0, len(v.declared))
	for adapter, known := range v.declared {
		all = append(all, serving.AdapterVersion{Adapter: adapter, Version: known.version})
	}
	return all
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
