package crashguard

import (
	"maps"
	"slices"
	"time"
)

// pendingBreak is a closed connection of which it's not yet known whether its server has ended.
type pendingBreak struct {
	Break
	// listens is true if the server's address accepted a new connection, ended if it's certain that the server has ended.
	listens, ended bool
}

// isFollowedBy reports whether an incarnation runs in the place of the one that closed the connection.
func (b *pendingBreak) isFollowedBy(next Incarnation, address string) bool {
	return next.Born > b.Server.Born && (next.ServerID == b.Server.ServerID || address == b.Address)
}

// Broken records an attempt whose connection was closed without a complete answer.
func (g *Guard) Broken(b Break) {
	if len(b.Parts)+len(b.Requests) == 0 {
		return
	}
	if len(g.pending) >= maximumPending {
		g.dropped++
		return
	}
	g.pending = append(g.pending, pendingBreak{Break: b})
}

// Dialed records whether a server accepts connections after it has closed one.
func (g *Guard) Dialed(server Incarnation, listens bool) {
	for i := range g.pending {
		if b := &g.pending[i]; b.Server == server && !b.ended {
			b.listens, b.ended = listens, !listens
		}
	}
}

// Registered records that an incarnation has registered at an address, which proves that those before it have ended. A sign of
// life after a closed connection may have come from it rather than from them.
func (g *Guard) Registered(now time.Time, server Incarnation, address string) {
	g.forgetDismissed(now)
	g.dismissed = slices.DeleteFunc(g.dismissed, func(b pendingBreak) bool {
		followed := b.isFollowedBy(server, address)
		if followed {
			g.pending = append(g.pending, b)
		}
		return followed
	})
	for i := range g.pending {
		if b := &g.pending[i]; b.isFollowedBy(server, address) {
			b.listens, b.ended = false, true
		}
	}
}

// dismiss keeps closed connections whose servers seem to go on, in case later incarnations have taken their place.
func (g *Guard) dismiss(now time.Time, breaks ...pendingBreak) {
	g.forgetDismissed(now)
	g.dismissed = append(g.dismissed, breaks...)
	g.dismissed = g.dismissed[max(len(g.dismissed)-maximumPending, 0):]
}

func (g *Guard) forgetDismissed(now time.Time) {
	g.dismissed = slices.DeleteFunc(g.dismissed, func(b pendingBreak) bool { return now.Sub(b.At) > registrationDelay })
}

// BytesReceived records a sign of life of a server. Connections that it closed shortly before don't count as its end.
func (g *Guard) BytesReceived(now time.Time, server Incarnation) {
	var dismissed []pendingBreak
	g.pending = slices.DeleteFunc(g.pending, func(b pendingBreak) bool {
		alive := b.Server == server && now.Sub(b.At) >= aliveAfter && !b.ended
		if alive {
			dismissed = append(dismissed, b)
		}
		return alive
	})
	g.dismiss(now, dismissed...)
}

// Confirm counts the servers that have shown no sign of life since they closed a connection, and returns a report of each.
func (g *Guard) Confirm(now time.Time) (reports []Report) {
	var confirmed []pendingBreak
	g.pending = slices.DeleteFunc(g.pending, func(b pendingBreak) bool {
		due := b.ended || now.Sub(b.At) >= confirmAfter
		if due {
			confirmed = append(confirmed, b)
		}
		return due
	})
	byServer := make(map[Incarnation]int)
	for _, b := range confirmed {
		i, known := byServer[b.Server]
		if !known {
			i = len(reports)
			byServer[b.Server] = i
			reports = append(reports, Report{Server: b.Server, EndedAt: b.At})
		}
		for depth, id := range b.Parts {
			reports[i].add(id, depth, b.BegunAt)
		}
		if b.listens {
			b.Parts = nil
			g.dismiss(now, b)
			continue
		}
		for depth, id := range b.Requests {
			reports[i].add(id, depth, b.BegunAt)
		}
	}
	reports = slices.DeleteFunc(reports, func(r Report) bool { return len(r.Suspects) == 0 })
	for i := range reports {
		g.bound(&reports[i])
		g.apply(now, &reports[i])
	}
	return reports
}

// bound drops the suspects of a report that are too many.
func (g *Guard) bound(report *Report) {
	counts := make(map[bool]int)
	report.Suspects = slices.DeleteFunc(report.Suspects, func(s Suspect) bool {
		request := IsRequest(s.Part)
		counts[request]++
		return counts[request] > maximumSuspects
	})
	g.evicted += max(counts[false]-maximumSuspects, 0) + max(counts[true]-maximumSuspects, 0)
}

// add adds a part of an attempt, or updates when the latest attempt with it began.
func (r *Report) add(id string, depth int, begunAt time.Time) {
	for i := range r.Suspects {
		if s := &r.Suspects[i]; s.Part == id {
			s.BegunAt, s.Depth = later(s.BegunAt, begunAt), max(s.Depth, depth)
			return
		}
	}
	r.Suspects = append(r.Suspects, Suspect{Part: id, Depth: depth, BegunAt: begunAt})
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// apply counts the end of a server for its suspects and notes the counts in the report. Of the parts that are then to be
// blocked, it blocks only one: the deepest, since the fewest other requests have it, and of several the one under which most
// servers ended. If that wasn't the cause, servers go on to end and the next part follows. The same holds for requests.
func (g *Guard) apply(now time.Time, report *Report) {
	end := g.recordEnd(report)
	for _, s := range report.Suspects {
		if p := g.parts[s.Part]; p != nil && p.blocked {
			end.explained = true
		}
	}
	var worstPart, worstRequest worst
	for i := range report.Suspects {
		s := &report.Suspects[i]
		p := g.part(now, s.Part)
		p.depth = max(p.depth, s.Depth)
		if !end.explained || p.blocked {
			g.countEnd(now, s.Part, p, report, s.BegunAt)
		}
		s.Ends, s.FirstEndAt = len(p.ends), p.firstEndAt()
		switch {
		case !g.isProven(s.Part, p):
		case IsRequest(s.Part):
			worstRequest.compare(s.Part, p)
		default:
			worstPart.compare(s.Part, p)
		}
	}
	g.decide(now, worstPart)
	g.decide(now, worstRequest)
}

// worst is the suspect that is to be blocked; part is nil if there is none.
type worst struct {
	key  string
	part *part
}

func (w *worst) compare(key string, p *part) {
	if w.part == nil || p.isWorseThan(w.part) {
		w.key, w.part = key, p
	}
}

// decide blocks a suspect.
func (g *Guard) decide(now time.Time, w worst) {
	if w.part == nil {
		return
	}
	g.begin(w.key, w.part, true, Block{
		Part: w.key, At: now, FirstEndAt: w.part.firstEndAt(), TrialAt: now.Add(lifetimesOf(w.key).firstTrialAfter),
		LapsesAt: now.Add(lifetimesOf(w.key).unused), Ends: latest(w.part.seenAt),
	})
}

// isWorseThan reports whether a part is to be blocked rather than another one.
func (p *part) isWorseThan(other *part) bool {
	if p.depth != other.depth {
		return p.depth > other.depth
	}
	return len(p.seenAt) > len(other.seenAt)
}

// firstEndAt returns when the first end that counts was; zero without one.
func (p *part) firstEndAt() (at time.Time) {
	if len(p.ends) > 0 {
		at = p.ends[0].at
	}
	return at
}

// latest returns the servers of the last maximumBlockEnds of the ends.
func latest(ends []serverEnd) (servers []Incarnation) {
	for _, end := range ends[max(len(ends)-maximumBlockEnds, 0):] {
		servers = append(servers, end.server)
	}
	return servers
}

// isOf reports whether an end is that of a server.
func isOf(server Incarnation) func(serverEnd) bool {
	return func(end serverEnd) bool { return end.server == server }
}

// recordEnd returns the entry of the server in the recent ends, which it adds if needed.
func (g *Guard) recordEnd(report *Report) *serverEnd {
	for i := range g.recent {
		if g.recent[i].server == report.Server {
			return &g.recent[i]
		}
	}
	if len(g.recent) >= maximumEnds {
		g.recent = g.recent[1:]
	}
	g.recent = append(g.recent, serverEnd{server: report.Server, at: report.EndedAt})
	return &g.recent[len(g.recent)-1]
}

// isProven reports whether a part or a request that isn't blocked has to be.
func (g *Guard) isProven(id string, p *part) bool {
	if IsRequest(id) {
		return !p.blocked && len(p.ends) >= endsToBlockRequest
	}
	if p.blocked || len(p.ends) < endsToBlock {
		return false
	}
	all := 0
	for _, end := range g.recent {
		if !end.explained && !end.at.Before(p.firstEndAt()) {
			all++
		}
	}
	return 2*len(p.seenAt) >= all || len(p.ends) >= surelyBlocked
}

// countEnd counts the end of a server for a part. begunAt is when the latest attempt with it began there.
func (g *Guard) countEnd(now time.Time, id string, p *part, report *Report, begunAt time.Time) {
	if len(p.ends) > 0 && report.EndedAt.Sub(p.lastEndAt) > lifetimesOf(id).suspicion && !p.blocked {
		p.ends, p.seenAt = nil, nil
	}
	if slices.ContainsFunc(p.ends, isOf(report.Server)) || report.EndedAt.Before(g.provenAt(id, p)) {
		return
	}
	g.watch(id, report.EndedAt.Add(lifetimesOf(id).suspicion))
	end := serverEnd{server: report.Server, at: report.EndedAt, begunAt: begunAt}
	if !slices.ContainsFunc(p.seenAt, isOf(report.Server)) && len(p.seenAt) < maximumEnds {
		p.seenAt = append(p.seenAt, end)
	}
	if !p.isSeparate(id, end) {
		return
	}
	p.lastEndAt = later(p.lastEndAt, report.EndedAt)
	if !p.blocked {
		p.ends = append(p.ends, end)
		return
	}
	if begunAt.After(p.block.At) && !IsRequest(id) {
		p.block.Level++
		p.block.TrialAt = now.Add(min(firstTrialAfter<<min(p.block.Level, 10), maximumTrialAfter))
	}
}

// isSeparate reports whether an end counts beside those that count already.
func (p *part) isSeparate(id string, end serverEnd) bool {
	if !IsRequest(id) {
		return len(p.ends) == 0 || end.at.Sub(p.lastEndAt) >= separateEnds
	}
	return !slices.ContainsFunc(p.ends, func(counted serverEnd) bool { return !counted.isIndependent(end) })
}

// Ended applies the report of another node. It returns the parts that a request was answered with since their first end,
// which the other node doesn't know yet.
func (g *Guard) Ended(now time.Time, report Report) (acquitted []Acquittal) {
	g.bound(&report)
	for _, s := range report.Suspects {
		p := g.part(now, s.Part)
		if proven := g.provenAt(s.Part, p); s.Ends >= repeatEnds && proven.After(s.FirstEndAt) {
			acquitted = append(acquitted, Acquittal{Part: s.Part, At: proven})
		}
	}
	g.apply(now, &report)
	return acquitted
}

// Answered records an answer to a request with the keys. It returns those of which other nodes have to know that. Answers to
// requests under which no server has ended are not remembered: there are many requests, and their ends are known at once.
func (g *Guard) Answered(now time.Time, parts []string) (acquitted []Acquittal) {
	for _, id := range parts {
		p := g.parts[id]
		if !IsRequest(id) {
			g.rememberAnswer(now, id)
		}
		if p == nil {
			continue
		}
		p.acquittedAt = later(p.acquittedAt, now)
		if p.blocked || len(p.ends) >= repeatEnds {
			acquitted = append(acquitted, Acquittal{Part: id, At: now})
		}
		g.end(id, p, ReasonAnswered)
	}
	return acquitted
}

// rememberAnswer records when a request with the part was answered. Ends that are confirmed later may be older.
func (g *Guard) rememberAnswer(now time.Time, id string) {
	if _, known := g.answeredAt[id]; !known && len(g.answeredAt) >= maximumAnswers {
		maps.DeleteFunc(g.answeredAt, func(_ string, at time.Time) bool { return now.Sub(at) > answerLifetime })
		if len(g.answeredAt) >= maximumAnswers {
			g.evicted++
			return
		}
	}
	g.answeredAt[id] = now
}

// provenAt returns when a request with the part was last answered, at this node or another one.
func (g *Guard) provenAt(id string, p *part) time.Time { return later(p.acquittedAt, g.answeredAt[id]) }
