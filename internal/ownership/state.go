package ownership

import (
	"slices"

	"waxwingcleat.example/waxwingcleat/internal/engine"
	"waxwingcleat.example/waxwingcleat/internal/platform"
)

// maximumClaimAge is the maximum distance in records between the last record that a claimant had read and its claim. It
// ensures that a reader that starts in the middle of the stream can evaluate a claim without older records.
const maximumClaimAge = 256

// serverState is the state of one server according to the stream. All readers compute the same state, except readers
// that start after records have exceeded the retention: these obtain the state from the next renewal.
type serverState struct {
	fence    engine.FencingNumber
	holder   Holder
	released bool
	// lastChange is the offset of the last claim, renewal or release that took effect.
	lastChange platform.Offset
	former     []Holder
	intents    []Intent
}

// heldBy reports whether the sender of the record holds the server under the given fencing number.
func (s *serverState) heldBy(r Record, fence engine.FencingNumber) bool {
	return !s.released && s.fence == fence && s.holder.Incarnation == r.Holder.Incarnation
}

// state is the part of Core that depends only on the records read.
type state struct {
	servers map[string]*serverState
	applied platform.Offset
	// start is the first offset that was read. Earlier records are unknown.
	start platform.Offset
	// latest holds the latest known incarnation of each node.
	latest map[string]Holder
}

func newState() *state {
	return &state{servers: map[string]*serverState{}, start: 1, latest: map[string]Holder{}}
}

func (s *state) server(name string) *serverState {
	known, ok := s.servers[name]
	if !ok {
		known = &serverState{}
		s.servers[name] = known
	}
	return known
}

// apply applies a record and returns the servers on which it took effect.
func (s *state) apply(offset platform.Offset, r Record) []string {
	s.applied = offset
	s.observeHolder(r.Holder)
	switch r.Kind {
	case Claim:
		return s.claim(offset, r)
	case Renewal:
		return s.renew(offset, r)
	case Release:
		return s.release(offset, r)
	case Intend:
		return s.intend(r)
	case Done, Withdrawn:
		return s.endIntent(r)
	}
	return nil
}

// observeHolder records the sender's incarnation, and drops former holders of which it is a later incarnation.
func (s *state) observeHolder(h Holder) {
	known, ok := s.latest[h.Node]
	if ok && !h.follows(known) {
		return
	}
	s.latest[h.Node] = h
	for _, server := range s.servers {
		server.former = slices.DeleteFunc(server.former, h.follows)
	}
}

// claim takes effect only if the server has not changed since the last record that the claimant had read. In
// particular, a renewal that the claimant hadn't read invalidates the claim, so that a late renewal and a claim can't
// both take effect.
func (s *state) claim(offset platform.Offset, r Record) []string {
	server := s.server(r.Server)
	if server.lastChange > r.Seen || offset-r.Seen > maximumClaimAge {
		return nil
	}
	if server.fence != 0 && !server.released && server.holder.Incarnation != r.Holder.Incarnation {
		server.former = append(server.former, server.holder)
	}
	server.former = slices.DeleteFunc(server.former, func(h Holder) bool {
		return h.Incarnation == r.Holder.Incarnation || s.latest[h.Node].follows(h)
	})
	server.fence = engine.FencingNumber(offset)
	server.holder = r.Holder
	server.released = false
	server.lastChange = offset
	return []string{r.Server}
}

func (s *state) renew(offset platform.Offset, r Record) []string {
	var effective []string
	for _, h := range r.Holdings {
		server := s.server(h.Server)
		if s.isUnknownClaim(server, h) {
			server.fence, server.holder, server.released = h.Fence, r.Holder, false
		}
		if !server.heldBy(r, h.Fence) {
			continue
		}
		server.lastChange = offset
		server.former = slices.Clone(h.Former)
		server.intents = slices.Clone(h.Intents)
		effective = append(effective, h.Server)
	}
	return effective
}

// isUnknownClaim reports whether the holding is based on a claim that precedes the first record read.
func (s *state) isUnknownClaim(server *serverState, h Holding) bool {
	return platform.Offset(h.Fence) < s.start && h.Fence > server.fence && server.lastChange < s.start
}

func (s *state) release(offset platform.Offset, r Record) []string {
	server := s.server(r.Server)
	if !server.heldBy(r, r.Fence) {
		server.former = slices.DeleteFunc(server.former, func(h Holder) bool { return h.Incarnation == r.Holder.Incarnation })
		return nil
	}
	server.released = true
	server.lastChange = offset
	return []string{r.Server}
}

// intend opens an intent. An owner can have at most one open intent; open intents of former owners are retained.
func (s *state) intend(r Record) []string {
	server := s.server(r.Server)
	if !server.heldBy(r, r.Fence) {
		return nil
	}
	for _, open := range server.intents {
		if open.Fence == r.Fence {
			return nil
		}
	}
	server.intents = append(server.intents, Intent{Load: r.Load, Fence: r.Fence, Holder: r.Holder})
	return []string{r.Server}
}

// endIntent closes the sender's intent. If the server's owner has unloaded the load, a delayed eviction can't affect it
// any more, so all intents for it are closed.
func (s *state) endIntent(r Record) []string {
	server := s.server(r.Server)
	ownerUnloaded := r.Kind == Done && server.heldBy(r, r.Fence)
	before := len(server.intents)
	server.intents = slices.DeleteFunc(server.intents, func(open Intent) bool {
		own := open.Holder.Incarnation == r.Holder.Incarnation && open.Fence == r.Fence
		return open.Load == r.Load && (own || ownerUnloaded)
	})
	if len(server.intents) == before {
		return nil
	}
	return []string{r.Server}
}
