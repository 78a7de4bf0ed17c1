package crashguard

import (
	"slices"
	"time"
)

// begin blocks a part. The ends of servers under it don't count for other parts any more.
func (g *Guard) begin(id string, p *part, decided bool, block Block) {
	p.blocked, p.block = true, block
	g.watch(id, block.LapsesAt)
	g.changes = append(g.changes, Change{
		Part: id, Blocked: true, Decided: decided, Ends: block.Ends, Since: block.FirstEndAt,
	})
	if IsRequest(id) {
		// Parts of the request may crash servers in other requests too, so the ends go on to count for them.
		return
	}
	explained := func(end serverEnd) bool { return slices.Contains(block.Ends, end.server) }
	for i := range g.recent {
		g.recent[i].explained = g.recent[i].explained || explained(g.recent[i])
	}
	for other, state := range g.parts {
		// Servers ended under a part of the same depth that the blocked one doesn't explain.
		unexplained := state.depth >= p.depth && len(state.seenAt) > len(block.Ends)
		if other != id && !unexplained {
			state.ends = slices.DeleteFunc(state.ends, explained)
			state.seenAt = slices.DeleteFunc(state.seenAt, explained)
		}
	}
}

func (g *Guard) end(id string, p *part, reason string) {
	if p.blocked {
		g.changes = append(g.changes, Change{Part: id, Reason: reason, Since: p.block.At})
	}
	p.blocked, p.ends, p.seenAt = false, nil, nil
}

// Acquitted applies what another node or an operator says about a part.
func (g *Guard) Acquitted(now time.Time, acquittal Acquittal, reason string) {
	p := g.part(now, acquittal.Part)
	p.acquittedAt = later(p.acquittedAt, acquittal.At)
	if p.blocked {
		if acquittal.At.After(p.block.FirstEndAt) {
			g.end(acquittal.Part, p, reason)
		}
		return
	}
	before := func(end serverEnd) bool { return end.at.Before(acquittal.At) }
	p.ends, p.seenAt = slices.DeleteFunc(p.ends, before), slices.DeleteFunc(p.seenAt, before)
}

// Merge applies the block of a part at another node. If a request was answered since then, it returns that.
func (g *Guard) Merge(now time.Time, block Block) (acquitted Acquittal, answered bool) {
	p := g.part(now, block.Part)
	if proven := g.provenAt(block.Part, p); proven.After(block.FirstEndAt) {
		return Acquittal{Part: block.Part, At: proven}, true
	}
	if now.After(block.LapsesAt) {
		return acquitted, false
	}
	if !p.blocked {
		g.begin(block.Part, p, false, block)
		return acquitted, false
	}
	p.block.Level = max(p.block.Level, block.Level)
	p.block.TrialAt = later(p.block.TrialAt, block.TrialAt)
	p.block.LapsesAt = later(p.block.LapsesAt, block.LapsesAt)
	return acquitted, false
}

// Blocks returns the blocked parts, and ends those blocks that have lapsed.
func (g *Guard) Blocks(now time.Time) (blocks []Block) {
	for id, p := range g.parts {
		if p.blocked && now.After(p.block.LapsesAt) {
			g.end(id, p, ReasonUnused)
		}
		if p.blocked {
			blocks = append(blocks, p.block)
		}
	}
	return blocks
}

// Suspected reports whether servers ended under requests with one of the keys, so that such a request isn't sent again. A
// request may be sent again before its latest end is confirmed, so closed connections count for its keys as well.
func (g *Guard) Suspected(keys []string) bool {
	return slices.ContainsFunc(keys, func(id string) bool {
		p, ends := g.parts[id], g.pendingEnds(id)
		if p != nil {
			ends += len(p.ends)
		}
		return ends >= repeatEnds || p != nil && p.blocked
	})
}

// pendingEnds returns how many servers may have ended under a request, and aren't confirmed yet.
func (g *Guard) pendingEnds(id string) int {
	servers := make(map[Incarnation]bool)
	for _, b := range g.pending {
		if !b.listens && slices.Contains(b.Requests, id) {
			servers[b.Server] = true
		}
	}
	return len(servers)
}

// Check decides whether a request with the keys may be sent. rank returns the position of this node among those that may
// make a trial of a part, negative if it may not.
func (g *Guard) Check(now time.Time, parts []string, rank func(part string) int) Decision {
	decision := Decision{Allowed: true}
	for _, id := range parts {
		p := g.parts[id]
		if p == nil || !p.blocked {
			continue
		}
		if now.After(p.block.LapsesAt) {
			g.end(id, p, ReasonUnused)
			continue
		}
		p.block.LapsesAt = now.Add(lifetimesOf(id).unused)
		g.watch(id, p.block.LapsesAt)
		if p.mayTry(now, id, rank(id)) {
			p.beginTrial(now, id)
			decision.Trial, decision.Part = true, id
			continue
		}
		return Decision{Part: id, RetryAfter: max(p.block.TrialAt.Sub(now), trialTimeout)}
	}
	return decision
}

// Block returns the state of a blocked part.
func (g *Guard) Block(id string) (block Block, blocked bool) {
	if p := g.parts[id]; p != nil && p.blocked {
		return p.block, true
	}
	return block, false
}
