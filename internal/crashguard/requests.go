package crashguard

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"
	"time"
)

const (
	// requestPrefix begins the keys of requests. The IDs of parts contain no colon.
	requestPrefix = "request:"
	// requestKeyBytes is the length of the truncated hash in a key.
	requestKeyBytes = 16
	// endsToBlockRequest is the number of servers that have to end, one after the other, before a request is blocked. Each
	// send has to begin after the previous end, which requests at servers that end together don't do.
	endsToBlockRequest = 2
	// requestSuspicionLifetime is how long ends count without another one. Callers may repeat a request after a while.
	requestSuspicionLifetime = 10 * time.Minute
	// firstRequestTrialAfter is the time from the block of a request until it is let through once. It doubles with each
	// trial; after maximumRequestTrials there are no more, as every trial may end a server and serves one caller at best.
	firstRequestTrialAfter = 10 * time.Minute
	maximumRequestTrials   = 3
	// unusedRequestLifetime is how long a block lasts after the latest repeat of the request.
	unusedRequestLifetime = time.Hour
)

// RequestIdentity is what the repeats of one request have in common. IDs, deadlines and positions in streams differ.
type RequestIdentity struct {
	Method, Host string
	// Target is the path with the query, as sent by the caller.
	Target string
	Body   []byte
	// Caller is the caller's address, without the port.
	Caller string
}

// Keys returns the keys of the request: of its content, and of its content from this caller. The first is for requests that
// crash servers whoever sends them, the second keeps a block away from other callers as long as that suffices. Keys are
// the same at all nodes, and a caller can't make up another request with the same ones.
func (r RequestIdentity) Keys() []string {
	digest := sha256.New()
	for _, field := range [][]byte{[]byte(r.Method), []byte(r.Host), []byte(r.Target), r.Body} {
		// A hash never returns an error.
		_, _ = digest.Write(binary.BigEndian.AppendUint64(nil, uint64(len(field))))
		_, _ = digest.Write(field)
	}
	content := digest.Sum(nil)
	withCaller := sha256.Sum256(append(content, r.Caller...))
	return []string{requestKey(content), requestKey(withCaller[:])}
}

func requestKey(hash []byte) string {
	return requestPrefix + hex.EncodeToString(hash[:requestKeyBytes])
}

// IsRequest reports whether a key is that of a request, not of a part.
func IsRequest(key string) bool { return strings.HasPrefix(key, requestPrefix) }

// isIndependent reports whether one of two attempts began after the server of the other one had ended.
func (e serverEnd) isIndependent(other serverEnd) bool {
	return !e.begunAt.Before(other.at) || !other.begunAt.Before(e.at)
}

// WatchesRequests reports whether a server ended under a request that may come again, so that requests are compared.
func (g *Guard) WatchesRequests(now time.Time) bool { return now.Before(g.watchesUntil) }

// Ends returns how many ends count for a key that isn't blocked.
func (g *Guard) Ends(key string) int {
	if p := g.parts[key]; p != nil {
		return len(p.ends)
	}
	return 0
}

// watch keeps the comparison of requests on until a time.
func (g *Guard) watch(key string, until time.Time) {
	if IsRequest(key) {
		g.watchesUntil = later(g.watchesUntil, until)
	}
}

// lifetimes are the times that differ between parts and requests.
type lifetimes struct {
	// suspicion is how long ends count without another one, unused how long a block lasts after its latest use.
	suspicion, unused time.Duration
	// firstTrialAfter is the time from the block until its first trial.
	firstTrialAfter time.Duration
}

var (
	partLifetimes = lifetimes{suspicion: suspicionLifetime, unused: unusedLifetime, firstTrialAfter: firstTrialAfter}

	requestLifetimes = lifetimes{
		suspicion: requestSuspicionLifetime, unused: unusedRequestLifetime, firstTrialAfter: firstRequestTrialAfter,
	}
)

// lifetimesOf returns the times that hold for a key.
func lifetimesOf(key string) lifetimes {
	if IsRequest(key) {
		return requestLifetimes
	}
	return partLifetimes
}

// beginTrial notes that a request is let through. Trials of a single request count when they begin, so that their number
// is bounded also if the end of the server goes unnoticed.
func (p *part) beginTrial(now time.Time, key string) {
	if !IsRequest(key) {
		p.block.TrialAt = now.Add(trialTimeout)
		return
	}
	p.block.Level++
	p.block.TrialAt = now.Add(firstRequestTrialAfter << min(p.block.Level, maximumRequestTrials))
}

// mayTry reports whether a request with the blocked key may be let through at a node with this turn.
func (p *part) mayTry(now time.Time, key string, turn int) bool {
	if turn < 0 || IsRequest(key) && p.block.Level >= maximumRequestTrials {
		return false
	}
	return !now.Before(p.block.TrialAt.Add(time.Duration(turn) * trialTurn))
}
