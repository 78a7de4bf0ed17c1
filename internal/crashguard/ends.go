package crashguard

import (
	"maps"
	"slices"
	"time"
)

// Broken records an attempt whose connection was closed without an answer.
func (g *Guard) Broken(b Break) {
	if len(b.Parts) == 0 {
		return
	}
	if len(g.pending) >= maximumPending {
		g.dropped++
		return
	}
	g.pending = append(g.pending, b)
}

// BytesReceived records a sign of life of a server. Connections that it closed shortly before don't count as its end.
func (g *Guard) BytesReceived(now time.Time, server Incarnation) {
	g.pending = slices.DeleteFunc(g.pending, func(b Break) bool {
		return b.Server == server && now.Sub(b.At) >= aliveAfter
	})
}

// Confirm counts the servers that have shown no sign of life since they closed a connection, and returns a report of each.
func (g *Guard) Confirm(now time.Time) (reports []Report) {
	var confirmed []Break
	g.pending = slices.DeleteFunc(g.pending, func(b Break) bool {
		due := now.Sub(b.At) >= confirmAfter
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
	}
	for i := range reports {
		g.apply(now, &reports[i])
	}
	return reports
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
// servers ended. If that wasn't the cause, servers go on to end and the next part follows.
func (g *Guard) apply(now time.Time, report *Report) {
	end := g.recordEnd(report)
	for _, s := range report.Suspects {
		if p := g.parts[s.Part]; p != nil && p.blocked {
			end.explained = true
		}
	}
	if excess := len(report.Suspects) - maximumSuspects; excess > 0 {
		g.evicted += excess
		report.Suspects = report.Suspects[:maximumSuspects]
	}
	var worst string
	var worstPart *part
	for i := range report.Suspects {
		s := &report.Suspects[i]
		p := g.part(now, s.Part)
		p.depth = max(p.depth, s.Depth)
		if !end.explained || p.blocked {
			g.countEnd(now, s.Part, p, report, s.BegunAt)
		}
		s.Ends, s.FirstEndAt = len(p.ends), p.firstEndAt()
		if g.isProven(p) && (worstPart == nil || p.isWorseThan(worstPart)) {
			worst, worstPart = s.Part, p
		}
	}
	if worstPart != nil {
		g.begin(worst, worstPart, true, Block{
			Part: worst, At: now, FirstEndAt: worstPart.firstEndAt(), TrialAt: now.Add(firstTrialAfter),
			LapsesAt: now.Add(unusedLifetime), Ends: latest(worstPart.seenAt),
		})
	}
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

// isProven reports whether a part that isn't blocked has to be.
func (g *Guard) isProven(p *part) bool {
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
	if len(p.ends) > 0 && report.EndedAt.Sub(p.lastEndAt) > suspicionLifetime && !p.blocked {
		p.ends, p.seenAt = nil, nil
	}
	if slices.ContainsFunc(p.ends, isOf(report.Server)) || report.EndedAt.Before(g.provenAt(id, p)) {
		return
	}
	end := serverEnd{server: report.Server, at: report.EndedAt}
	if !slices.ContainsFunc(p.seenAt, isOf(report.Server)) && len(p.seenAt) < maximumEnds {
		p.seenAt = append(p.seenAt, end)
	}
	if len(p.ends) > 0 && report.EndedAt.Sub(p.lastEndAt) < separateEnds {
		return
	}
	p.lastEndAt = report.EndedAt
	if !p.blocked {
		p.ends = append(p.ends, end)
		return
	}
	if begunAt.After(p.block.At) {
		p.block.Level++
		p.block.TrialAt = now.Add(min(firstTrialAfter<<min(p.block.Level, 10), maximumTrialAfter))
	}
}

// Ended applies the report of another node. It returns the parts that a request was answered with since their first end,
// which the other node doesn't know yet.
func (g *Guard) Ended(now time.Time, report Report) (acquitted []Acquittal) {
	for _, s := range report.Suspects {
		p := g.part(now, s.Part)
		if proven := g.provenAt(s.Part, p); s.Ends >= repeatEnds && proven.After(s.FirstEndAt) {
			acquitted = append(acquitted, Acquittal{Part: s.Part, At: proven})
		}
	}
	g.apply(now, &report)
	return acquitted
}

// Answered records an answer to a request. It returns the parts of which other nodes have to know that.
func (g *Guard) Answered(now time.Time, parts []string) (acquitted []Acquittal) {
	for _, id := range parts {
		g.rememberAnswer(now, id)
		p := g.parts[id]
		if p == nil {
			continue
		}
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
