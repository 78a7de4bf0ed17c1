package node

import (
	"context"
	"sync"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/delay"
	"waxwingcleat.example/waxwingcleat/internal/peerlink"
	"waxwingcleat.example/waxwingcleat/internal/serving"
	"waxwingcleat.example/waxwingcleat/internal/storewatch"
)

const (
	// digestPeriod is the time between two digests of a reader at rest.
	digestPeriod = 300 * time.Millisecond
	// digestFresh is how old a reader's latest read may be for its digest to count.
	digestFresh = 1500 * time.Millisecond
	// newsLimit bounds the entries in a digest, some 200 B each; after larger changes the nodes read the store.
	newsLimit = 40
	// followPeriod is the time between two looks of a following node at what it heard.
	followPeriod = 100 * time.Millisecond
)

// watch joins the core that decides who reads the store with the duties that read it.
type watch struct {
	mu   sync.Mutex
	core storewatch.Core
	own  storewatch.Digest
	// history is what this node has read of the operators' records lately.
	history storewatch.OperatorHistory
	// readAt is when this node's latest read of the servers' entries succeeded.
	readAt time.Time
	// news receives when a following node heard a digest.
	news chan struct{}
	// changed receives when this node's own digest changed.
	changed chan struct{}
}

func newWatch() *watch {
	return &watch{news: make(chan struct{}, 1), changed: make(chan struct{}, 1)}
}

// serversKnown reports whether the servers' entries were ever read.
func (w *watch) serversKnown() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.readAt.IsZero()
}

// poke sends to a channel that holds one value, unless it's full.
func poke(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (w *watch) heard(now time.Time, reader string, digest storewatch.Digest) {
	w.mu.Lock()
	w.core.Heard(now, reader, digest)
	w.mu.Unlock()
	poke(w.news)
}

func (w *watch) setReader(reader bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.core.SetReader(reader)
}

func (w *watch) follows(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.core.Follows(now)
}

// retryPause returns how long to wait before the store is tried again.
func (w *watch) retryPause(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.core.Informed(now) {
		return informedRetryPause
	}
	return retryPause
}

func (w *watch) learnFrom(now time.Time, fingerprint uint64) (reader string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.core.LearnFrom(now, fingerprint)
}

func (w *watch) learned(digest storewatch.Digest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.core.Learned(digest)
}

func (w *watch) operatorNews(now time.Time) storewatch.OperatorNews {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.history.News(now)
}

func (w *watch) hasReadOperator(offset int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.core.HasRead(offset)
}

// readOperator notes a read of the operators' records, which began at a known offset if whole is true.
func (w *watch) readOperator(now time.Time, batch serving.OperatorBatch, whole bool) {
	next := batch.Next.Offset
	w.mu.Lock()
	defer w.mu.Unlock()
	w.history.Add(now, batch, whole)
	w.core.ReadOperator(next)
	if next != w.own.OperatorNext {
		w.own.OperatorNext = next
		poke(w.changed)
	}
}

func (w *watch) readServers(now time.Time, next int64, fingerprint uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.core.ReadServers(now, next)
	w.readAt = now
	w.own.ServersNext = next
	if fingerprint != w.own.Servers {
		w.own.Servers = fingerprint
		poke(w.changed)
	}
}

// awaitOperator waits while a following node has nothing new to read of the operators' records.
func (w *watch) awaitOperator(ctx context.Context) {
	for ctx.Err() == nil {
		w.mu.Lock()
		rest := w.core.Follows(time.Now()) && !w.core.OperatorDue()
		w.mu.Unlock()
		if !rest {
			return
		}
		delay.For(ctx, followPeriod)
	}
}

// awaitServers waits until the servers' entries are to be read again.
func (w *watch) awaitServers(ctx context.Context, fingerprint func() uint64) {
	began := time.Now()
	for ctx.Err() == nil {
		now := time.Now()
		w.mu.Lock()
		follows := w.core.Follows(now)
		due := w.core.ServersDue(now, fingerprint())
		w.mu.Unlock()
		if follows && due || !follows && now.Sub(began) >= serversPeriod {
			return
		}
		delay.Until(ctx, followPeriod, w.news)
	}
}

// digest returns what this node tells the others, if it reads the store and its knowledge is fresh.
func (w *watch) digest(now time.Time) (storewatch.Digest, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.own, now.Sub(w.readAt) < digestFresh
}

// sendDigests tells the other nodes what this node has read, as long as it's a reader.
func (n *Node) sendDigests(ctx context.Context) error {
	for ctx.Err() == nil {
		delay.Until(ctx, digestPeriod, n.watch.changed)
		now := time.Now()
		digest, fresh := n.watch.digest(now)
		if !fresh || !n.leases.isReader() {
			continue
		}
		message := peerlink.Message{Digest: &digest}
		if present, gone := n.view.News(now.Add(-storewatch.NewsPeriod)); len(present)+len(gone) <= newsLimit {
			message.Present, message.Gone = present, gone
		}
		if news := n.watch.operatorNews(now); len(news.Versions) > 0 {
			message.Operator = &news
		}
		n.link.Send(message, n.peers.alive(now)...)
	}
	return nil
}
