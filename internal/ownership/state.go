package ownership

import (
	"slices"

	"waxwingcleat.example/waxwingcleat/internal/engine"
	"waxwingcleat.example/waxwingcleat/internal/platform"
)

// maximumClaimAge bounds how many records may lie between what a claimant had seen and its claim. A reader that
// starts in the middle of the stream then needs no older records to judge a claim.
const maximumClaimAge = 256

// serverState is what the stream says about one server. Every reader computes it alike, except for readers that
// start after the retention has dropped records, which learn it from the next renewal.
type serverState struct {
	fence    engine.FencingNumber
	holder   Holder
	released bool
	// touched is the offset of the last claim, renewal or release that took effect.
	touched platform.Offset
	former  []Holder
	intents []Intent
}

func (s *serverState) heldBy(r Record, fence engine.FencingNumber) bool {
	return !s.released && s.fence == fence && s.holder.Incarnation == r.Holder.Incarnation
}

// state is the part of the core that depends on records only.
type state struct {
	servers map[string]*serverState
	applied platform.Offset
	// start is the first offset that was read; records before it are unknown.
	start platform.Offset
	// latest is the last known incarnation of each node.
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

// apply returns the servers on which the record took effect.
func (s *state) apply(offset platform.Offset, r Record) []string {
	s.applied = offset
	s.note(r.Holder)
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

// note drops former holders of which a later incarnation has written a record.
func (s *state) note(h Holder) {
	known, ok := s.latest[h.Node]
	if ok && !h.follows(known) {
		return
	}
	s.latest[h.Node] = h
	for _, server := range s.servers {
		server.former = slices.DeleteFunc(server.former, h.follows)
	}
}

// claim takes effect when nothing has happened to the server since the claimant looked. In particular a renewal
// that the claimant hadn't seen makes the claim void, so a late renewal and a claim can't both count.
func (s *state) claim(offset platform.Offset, r Record) []string {
	server := s.server(r.Server)
	if server.touched > r.Seen || offset-r.Seen > maximumClaimAge {
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
	server.touched = offset
	return []string{r.Server}
}

func (s *state) renew(offset platform.Offset, r Record) []string {
	var effective []string
	for _, h := range r.Holdings {
		server := s.server(h.Server)
		if s.learns(server, h) {
			server.fence, server.holder, server.released = h.Fence, r.Holder, false
		}
		if !server.heldBy(r, h.Fence) {
			continue
		}
		server.touched = offset
		server.former = slices.Clone(h.Former)
		server.intents = slices.Clone(h.Intents)
		effective = append(effective, h.Server)
	}
	return effective
}

// learns reports whether a renewal tells of a claim that was made before the first record read.
func (s *state) learns(server *serverState, h Holding) bool {
	return platform.Offset(h.Fence) < s.start && h.Fence > server.fence && server.touched < s.start
}

func (s *state) release(offset platform.Offset, r Record) []string {
	server := s.server(r.Server)
	if !server.heldBy(r, r.Fence) {
		server.former = slices.DeleteFunc(server.former, func(h Holder) bool { return h.Incarnation == r.Holder.Incarnation })
		return nil
	}
	server.released = true
	server.touched = offset
	return []string{r.Server}
}

// intend opens an intent. An owner has one open at most; those of former owners stay beside it.
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

// endIntent closes the sender's intent. When the server's owner has unloaded the name, no late eviction can hit
// it any more, so all intents for it are closed.
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
