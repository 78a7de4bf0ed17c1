// Package crashguard finds the parts of prompts on which servers crash and keeps requests with them away from servers. It
// compares the ends of servers at which requests with a part were waiting for the beginning of their answer with the answers
// to requests with that part. The package does no I/O and reads no clock.
package crashguard

import (
	"maps"
	"slices"
	"time"
)

const (
	// separateEnds is the least time between two ends that count. Servers that end at the same moment have a cause in common.
	separateEnds = 200 * time.Millisecond
	// endsToBlock is the number of servers that have to end, one after the other, before a part is blocked. Each end costs
	// the server's weights and the streams of all its callers. The part must have been in progress at half of all servers that
	// ended meanwhile, unless it's more than surelyBlocked: when servers end for other reasons, each part is at a few.
	endsToBlock   = 3
	surelyBlocked = 5
	// repeatEnds is the number of ends from which a request isn't sent again to another server.
	repeatEnds = 2
	// confirmAfter is the time after a connection was closed without an answer in which a sign of life of the server shows
	// that it goes on.
	confirmAfter = 250 * time.Millisecond
	// aliveAfter excludes bytes that were already received when the server ended and are read only later.
	aliveAfter = 60 * time.Millisecond
	// suspicionLifetime is how long ends count without another one.
	suspicionLifetime = 30 * time.Second
	// firstTrialAfter is the time from the block until one request is let through. It doubles with each trial that ends a
	// server, up to maximumTrialAfter.
	firstTrialAfter   = time.Minute
	maximumTrialAfter = time.Hour
	// trialTimeout is how long a trial may take until the next one is due.
	trialTimeout = 10 * time.Second
	// trialTurn is the time between the moments from which nodes, in the order of their ranks, may make a due trial.
	trialTurn = 5 * time.Second
	// unusedLifetime is how long a block lasts after the latest request for the part.
	unusedLifetime = 10 * time.Minute
	// maximumParts bounds the parts with a state, maximumPending the closed connections that are not yet confirmed as ends.
	maximumParts   = 1024
	maximumPending = 256
	// maximumSuspects bounds the parts in the report of one end.
	maximumSuspects = 64
	// maximumEnds bounds the recent ends of servers.
	maximumEnds = 256
	// maximumBlockEnds bounds the ends that nodes pass on with a block.
	maximumBlockEnds = 16
	// maximumAnswers bounds the parts whose latest answer is remembered; those that are older than answerLifetime make room.
	maximumAnswers = 8192
	answerLifetime = 5 * time.Second
)

// Incarnation is one run of a server.
type Incarnation struct {
	ServerID string
	// Born is the server's start time in Unix milliseconds.
	Born int64
}

// Break is an attempt whose connection was closed before the server's answer had really begun.
type Break struct {
	Server Incarnation
	// Parts holds the IDs of the shared parts of the prompt.
	Parts       []string
	BegunAt, At time.Time
}

// Suspect is a part of an attempt that was in progress when a server ended.
type Suspect struct {
	Part string
	// Depth is the largest position of the part in the prompts of these attempts, 0 for the first part. The further a part is
	// from the beginning, the fewer requests have it.
	Depth int
	// BegunAt is when the latest such attempt began.
	BegunAt time.Time
	// Ends is the number of ends that count for the part at the node that reports this one, the first of them at FirstEndAt.
	Ends       int
	FirstEndAt time.Time
}

// Report says that a server has ended.
type Report struct {
	Server   Incarnation
	EndedAt  time.Time
	Suspects []Suspect
}

// Block is the state of a blocked part.
type Block struct {
	Part string
	At   time.Time
	// FirstEndAt is when the first of the servers ended that led to the block. An answer since then ends it.
	FirstEndAt time.Time
	// Level is the number of trials that have ended a server.
	Level int
	// TrialAt is when the next trial is due, LapsesAt when the block lapses unless requests ask for the part.
	TrialAt, LapsesAt time.Time
	// Ends holds the servers that ended under requests with the part. They don't count for other parts.
	Ends []Incarnation
}

// Acquittal says that a request with a part was answered, or that an operator has lifted its block.
type Acquittal struct {
	Part string
	At   time.Time
}

// Change is a change of the state of a part.
type Change struct {
	Part string
	// Blocked is false when the block ended. Decided is true when this node began it by itself, not because another one did.
	Blocked, Decided bool
	// Reason is why a block ended.
	Reason string
	// Ends holds the servers whose ends led to the block.
	Ends []Incarnation
	// Since is when the first of them ended, or when the block began that has ended.
	Since time.Time
}

// Reasons for the end of a block.
const (
	ReasonAnswered = "a request with the part was answered"
	ReasonLifted   = "lifted by an operator"
	ReasonUnused   = "no request asked for the part"
	ReasonEvicted  = "too many parts"
)

// Decision says whether a request may be sent.
type Decision struct {
	Allowed bool
	// Trial is true for the request that is let through to see whether the part still ends servers.
	Trial bool
	// Part is the blocked part, RetryAfter the time until its next trial.
	Part       string
	RetryAfter time.Duration
}

// part is the state of one part.
type part struct {
	// ends holds the ends that count since the latest answer, seenAt all of them, also those at the same time.
	ends, seenAt []serverEnd
	// lastEndAt is when the last end that counts was, also after the part was blocked.
	lastEndAt time.Time
	// depth is the largest position in prompts.
	depth int
	// acquittedAt is when a request with the part was answered, as far as another node or an operator said so.
	acquittedAt time.Time
	blocked     bool
	block       Block
	usedAt      time.Time
}

// serverEnd is a server that ended under requests.
type serverEnd struct {
	server Incarnation
	at     time.Time
	// explained is true if a blocked part was in progress there.
	explained bool
}

// Guard is the aggregate of all parts. It isn't safe for concurrent use.
type Guard struct {
	parts map[string]*part
	// answeredAt holds when a request with each part was last answered at this node.
	answeredAt map[string]time.Time
	// recent holds the latest ends of servers, the oldest first.
	recent  []serverEnd
	pending []Break
	changes []Change
	// dropped counts the breaks that were not recorded, evicted the parts whose state was forgotten, each for lack of space.
	dropped, evicted int
}

// New returns a guard that blocks nothing.
func New() *Guard {
	return &Guard{parts: make(map[string]*part), answeredAt: make(map[string]time.Time)}
}

// Pending reports whether closed connections wait for confirmation.
func (g *Guard) Pending() bool { return len(g.pending) > 0 }

// Lost returns how many breaks and parts were dropped for lack of space since the last call.
func (g *Guard) Lost() (breaks, parts int) {
	breaks, parts = g.dropped, g.evicted
	g.dropped, g.evicted = 0, 0
	return breaks, parts
}

// Changes returns the blocks that began or ended since the last call.
func (g *Guard) Changes() []Change {
	changes := g.changes
	g.changes = nil
	return changes
}

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

// begin blocks a part. The ends of servers under it don't count for other parts any more.
func (g *Guard) begin(id string, p *part, decided bool, block Block) {
	p.blocked, p.block = true, block
	g.changes = append(g.changes, Change{
		Part: id, Blocked: true, Decided: decided, Ends: block.Ends, Since: block.FirstEndAt,
	})
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

// Suspected reports whether servers ended under requests with one of the parts, so that such a request isn't sent again.
func (g *Guard) Suspected(parts []string) bool {
	return slices.ContainsFunc(parts, func(id string) bool {
		p := g.parts[id]
		return p != nil && (p.blocked || len(p.ends) >= repeatEnds)
	})
}

// Check decides whether a request with the parts may be sent. rank returns the position of this node among those that may
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
		p.block.LapsesAt = now.Add(unusedLifetime)
		turn := rank(id)
		if turn >= 0 && !now.Before(p.block.TrialAt.Add(time.Duration(turn)*trialTurn)) {
			p.block.TrialAt = now.Add(trialTimeout)
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

// part returns the state of a part, which it creates if needed. It forgets the least recently used one if there are too many.
func (g *Guard) part(now time.Time, id string) *part {
	p := g.parts[id]
	if p == nil {
		if len(g.parts) >= maximumParts {
			g.evict()
		}
		p = &part{}
		g.parts[id] = p
	}
	p.usedAt = now
	return p
}

// evict forgets the part that was used least recently, a blocked one only if all are.
func (g *Guard) evict() {
	var oldest string
	var found *part
	for id, p := range g.parts {
		if found == nil || found.blocked && !p.blocked || found.blocked == p.blocked && p.usedAt.Before(found.usedAt) {
			oldest, found = id, p
		}
	}
	g.end(oldest, found, ReasonEvicted)
	delete(g.parts, oldest)
	g.evicted++
}
