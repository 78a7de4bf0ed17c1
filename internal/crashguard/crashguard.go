// Package crashguard finds the parts of prompts and the single requests on which servers crash and keeps such requests away
// from servers. It compares the ends of servers at which requests with a part were waiting for the beginning of their answer,
// or at which a request was in progress, with the answers to requests with that part or to the repeats of that request. Both
// have keys: the ID of a part, or a hash of the request. The package does no I/O and reads no clock.
package crashguard

import "time"

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
	// registrationDelay is the time after a closed connection in which the entry of a later incarnation proves the server's
	// end. Servers are back after some seconds, and nodes read new entries within a second.
	registrationDelay = 5 * time.Second
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
	// maximumParts bounds the parts with a state, and the requests, maximumPending the closed connections that are not yet
	// confirmed as ends.
	maximumParts   = 1024
	maximumPending = 256
	// maximumSuspects bounds the parts in the report of one end, and the requests.
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

// Break is an attempt whose connection was closed before its answer was complete.
type Break struct {
	Server Incarnation
	// Address is where the server listens.
	Address string
	// Parts holds the IDs of the shared parts of the prompt, none if the answer had really begun.
	Parts []string
	// Requests holds the keys of the request, see RequestIdentity.
	Requests    []string
	BegunAt, At time.Time
}

// Suspect is a part of an attempt that was in progress when a server ended, or the request itself.
type Suspect struct {
	// Part is the key of the part or the request.
	Part string
	// Depth is the largest position of the part in the prompts of these attempts, 0 for the first part. The further a part is
	// from the beginning, the fewer requests have it. For a request it is the position in RequestIdentity.Keys.
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
	// begunAt is when the latest of them began there.
	begunAt time.Time
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
	pending []pendingBreak
	// dismissed holds closed connections after which their servers have shown signs of life, the oldest first.
	dismissed []pendingBreak
	changes   []Change
	// requests is the number of requests among parts.
	requests int
	// watchesUntil is the time until which a server that ended under a request counts.
	watchesUntil time.Time
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

// part returns the state of a part, which it creates if needed. It forgets the least recently used one if there are too many.
func (g *Guard) part(now time.Time, id string) *part {
	p := g.parts[id]
	if p == nil {
		g.makeRoom(IsRequest(id))
		p = &part{}
		g.parts[id] = p
		if IsRequest(id) {
			g.requests++
		}
	}
	p.usedAt = now
	return p
}

// makeRoom forgets a part or a request if there are too many of its kind.
func (g *Guard) makeRoom(request bool) {
	count := len(g.parts) - g.requests
	if request {
		count = g.requests
	}
	if count >= maximumParts {
		g.evict(request)
	}
}

// evict forgets the part or the request that was used least recently, a blocked one only if all are.
func (g *Guard) evict(request bool) {
	var oldest string
	var found *part
	for id, p := range g.parts {
		if IsRequest(id) != request {
			continue
		}
		if found == nil || found.blocked && !p.blocked || found.blocked == p.blocked && p.usedAt.Before(found.usedAt) {
			oldest, found = id, p
		}
	}
	g.end(oldest, found, ReasonEvicted)
	delete(g.parts, oldest)
	if request {
		g.requests--
	}
	g.evicted++
}
