package configlog

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"waxwingcleat.example/waxwingcleat/internal/platform"
	"waxwingcleat.example/waxwingcleat/internal/resource"
	"waxwingcleat.example/waxwingcleat/internal/rpc/peerpb"
)

// fault is the injected failure of one append.
type fault int

const (
	noFault    fault = iota
	answerLost       // appended, but the answer is lost
	rejected         // not appended
	duplicated       // appended twice, as by a client that retries by itself
)

var errNoAnswer = errors.New("no answer")

// fakeLog is an in-memory log service. Each append consumes the next of faults.
type fakeLog struct {
	mu          sync.Mutex
	changed     chan struct{}
	earliest    platform.Offset
	records     []platform.Record
	faults      []fault
	unavailable bool
}

func newFakeLog(faults ...fault) *fakeLog {
	return &fakeLog{changed: make(chan struct{}), earliest: 1, faults: faults}
}

func (l *fakeLog) Append(_ context.Context, _ platform.Stream, data []byte) (platform.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := noFault
	if len(l.faults) > 0 {
		next, l.faults = l.faults[0], l.faults[1:]
	}
	if l.unavailable || next == rejected {
		return 0, errNoAnswer
	}
	l.add(data)
	if next == duplicated {
		l.add(data)
	}
	if next == answerLost {
		return 0, errNoAnswer
	}
	return platform.Offset(len(l.records)), nil
}

func (l *fakeLog) add(data []byte) {
	offset := platform.Offset(len(l.records) + 1)
	l.records = append(l.records, platform.Record{Offset: offset, Time: time.Unix(int64(offset), 0), Data: data})
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *fakeLog) Read(
	ctx context.Context, stream platform.Stream, from platform.Offset, _ time.Duration,
) (platform.Batch, error) {
	for {
		l.mu.Lock()
		batch, changed := platform.Batch{Earliest: l.earliest, Next: platform.Offset(len(l.records) + 1)}, l.changed
		if from <= platform.Offset(len(l.records)) {
			batch.Records = append(batch.Records, l.records[from-1:]...)
		}
		unavailable, trimmed := l.unavailable, from < l.earliest
		l.mu.Unlock()
		switch {
		case unavailable:
			return platform.Batch{}, errNoAnswer
		case trimmed:
			return batch, &platform.TrimmedError{Stream: stream, From: from, Earliest: batch.Earliest}
		case len(batch.Records) > 0 || batch.Next == 1:
			if batch.Next == 1 {
				longPoll(ctx, changed, time.Millisecond)
			}
			return batch, nil
		}
		if !longPoll(ctx, changed, time.Second) {
			return batch, ctx.Err()
		}
	}
}

// longPoll waits like a long poll of the log service and returns false when ctx has ended.
func longPoll(ctx context.Context, changed <-chan struct{}, limit time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	select {
	case <-changed:
		return true
	case <-ctx.Done():
		return errors.Is(ctx.Err(), context.DeadlineExceeded)
	}
}

func (l *fakeLog) update(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

func declareClass(id, name string, expected platform.Offset) resource.Operation {
	spec := []byte(`{"rank":1,"queueLimit":10,"maximumWaitMs":1000}`)
	return resource.Operation{ID: id, Kind: resource.KindPriorityClass, Name: name, ExpectedVersion: expected, Spec: spec}
}

// startReplica runs a replica and returns it with a function that stops it and waits for its goroutines.
func startReplica(log platform.Log, peers ...string) (*Replica, func()) {
	replica := NewReplica(Options{Log: log, PeerInterval: 5 * time.Millisecond, Peers: func() []string { return peers }})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = replica.Run(ctx)
	}()
	return replica, func() { cancel(); <-done }
}

// waitFor blocks until the replica has applied an offset.
func waitFor(replica *Replica, offset platform.Offset) {
	for {
		changed := replica.Changed()
		if view := replica.View(); view != nil && view.Applied >= offset {
			return
		}
		<-changed
	}
}

func newTestWriter(replica *Replica) *Writer {
	return NewWriter(replica, WriterOptions{RecordBytes: 1 << 16, ResendAfter: time.Millisecond})
}

// Guards against an operator's change that is dropped, applied twice or reported with the wrong result when answers to
// appends are dropped or appends are duplicated, while operators race through two API servers.
func TestWritersDecideOnceUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kinds := []fault{noFault, answerLost, rejected, duplicated}
		faults := rapid.SliceOfN(rapid.SampledFrom(kinds), 0, 8).Draw(t, "faults")
		racers := rapid.IntRange(2, 5).Draw(t, "racers")
		log := newFakeLog(faults...)
		first, stopFirst := startReplica(log)
		defer stopFirst()
		second, stopSecond := startReplica(log)
		defer stopSecond()
		waitFor(first, 0)
		waitFor(second, 0)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		results := make([]resource.Result, racers)
		var group sync.WaitGroup
		for i := range racers {
			group.Go(func() {
				replica := []*Replica{first, second}[i%2]
				results[i] = newTestWriter(replica).Apply(ctx, []resource.Operation{declareClass(fmt.Sprint(i), "c", 0)})[0]
			})
		}
		group.Wait()
		checkOneWinner(t, results, first, second)
	})
}

func checkOneWinner(t *rapid.T, results []resource.Result, replicas ...*Replica) {
	winner := platform.Offset(0)
	for _, result := range results {
		if result.Outcome == resource.Accepted {
			if winner != 0 {
				t.Fatalf("two winners: %+v", results)
			}
			winner = result.Version
		}
	}
	for _, result := range results {
		if result.Version != winner || winner == 0 {
			t.Fatalf("winner %d, but %+v", winner, results)
		}
	}
	for _, replica := range replicas {
		waitFor(replica, winner)
		if version := replica.View().Version(resource.KindPriorityClass, "c"); version != winner {
			t.Fatalf("version %d, winner %d", version, winner)
		}
	}
}

func TestConfigLog(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "configlog")
}

var _ = ginkgo.Describe("Replica and Writer", func() {
	start := func(log platform.Log, peers ...string) *Replica {
		replica, stop := startReplica(log, peers...)
		ginkgo.DeferCleanup(stop)
		return replica
	}
	serve := func(replica *Replica) string {
		mux := http.NewServeMux()
		mux.Handle(peerpb.ConfigFeedPathPrefix, replica.Feed())
		server := httptest.NewServer(mux)
		ginkgo.DeferCleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}
	applied := func(replica *Replica) func() platform.Offset { return replica.applied }
	fill := func(replica *Replica, count int) {
		ops := make([]resource.Operation, 0, count)
		for i := range count {
			ops = append(ops, declareClass(fmt.Sprintf("fill-%d", i), fmt.Sprintf("c%d", i), 0))
		}
		for _, op := range ops {
			result := newTestWriter(replica).Apply(context.Background(), []resource.Operation{op})[0]
			gomega.Expect(result.Outcome).To(gomega.Equal(resource.Accepted))
		}
	}

	// Guards against reporting "not written" for a change that may have been written, and against an unknown outcome
	// that can't be resolved by repeating the operation.
	ginkgo.It("returns unknown when the record is not read back, and the result on a repeat", func() {
		log := newFakeLog(answerLost)
		replica := start(log)
		waitFor(replica, 0)
		ctx, cancel := context.WithCancel(context.Background())
		log.update(func() { log.unavailable = true })
		go func() {
			defer ginkgo.GinkgoRecover()
			defer cancel()
			remaining := func() int { log.mu.Lock(); defer log.mu.Unlock(); return len(log.faults) }
			gomega.Eventually(remaining).Should(gomega.BeZero())
		}()
		result := newTestWriter(replica).Apply(ctx, []resource.Operation{declareClass("1", "c", 0)})[0]
		gomega.Expect(result).To(gomega.Equal(resource.Result{OperationID: "1", Outcome: Unknown}))
		log.update(func() { log.unavailable = false })
		result = newTestWriter(replica).Apply(context.Background(), []resource.Operation{declareClass("1", "c", 0)})[0]
		gomega.Expect(result.Outcome).To(gomega.Equal(resource.Accepted))
	})

	// Guards against a process that serves without configuration or doesn't report why it isn't ready.
	ginkgo.It("says why it is not ready, and refuses to write", func() {
		log := newFakeLog()
		log.unavailable = true
		replica := start(log)
		gomega.Expect(replica.Ready()).To(gomega.MatchError(gomega.ContainSubstring("neither the log service nor a peer")))
		operations := []resource.Operation{declareClass("1", "c", 0)}
		result := newTestWriter(replica).Apply(context.Background(), operations)[0]
		gomega.Expect(result.Outcome).To(gomega.Equal(NotWritten))
	})

	// Guards against a process that can't start while the log is down although a peer has the configuration.
	ginkgo.It("starts from a peer's records, and from its snapshot when the records are no longer retained", func() {
		peer := start(newFakeLog())
		waitFor(peer, 0)
		fill(peer, 5)
		unavailable := newFakeLog()
		unavailable.unavailable = true
		fromRecords := start(unavailable, serve(peer))
		gomega.Eventually(fromRecords.Ready).Should(gomega.Succeed())
		gomega.Eventually(applied(fromRecords)).Should(gomega.Equal(platform.Offset(5)))

		gomega.Expect(fromRecords.FetchFrom(context.Background(), serve(peer))).To(gomega.Succeed())
		restored, stop := startReplica(unavailable)
		stop()
		capture := peer.capture()
		snapshot, err := capture.Encode()
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		response := &peerpb.FetchResponse{Applied: 5, Snapshot: snapshot, SnapshotAsOf: 5}
		_, err = restored.applyResponse(response, "peer")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(restored.View().PriorityClasses).To(gomega.HaveLen(5))
		fromSnapshot := start(unavailable, serve(restored))
		gomega.Eventually(fromSnapshot.Ready).Should(gomega.Succeed())
		gomega.Expect(fromSnapshot.View().PriorityClasses).To(gomega.HaveLen(5))
	})

	// Guards against losing configuration when the log trims the records that declared it.
	ginkgo.It("writes a snapshot that a reader of a trimmed log starts from", func() {
		log := newFakeLog()
		replica := start(log)
		waitFor(replica, 0)
		options := SnapshotOptions{Retention: time.Hour, Records: 20, ChunkBytes: 200, CheckInterval: time.Millisecond}
		snapshots := NewSnapshotWriter(replica, options)
		fill(replica, 19)
		gomega.Expect(snapshots.due(time.Now())).To(gomega.BeFalse())
		gomega.Expect(snapshots.due(time.Now().Add(time.Hour))).To(gomega.BeTrue())
		fill(replica, 20)
		gomega.Expect(snapshots.due(time.Now())).To(gomega.BeTrue())

		log.update(func() { log.earliest = 21 })
		late := start(log)
		skipped, stopWaiting := late.awaitResult("fill-7")
		defer stopWaiting()
		notReady := gomega.MatchError(gomega.ContainSubstring("keeps nothing before offset 21"))
		gomega.Eventually(func() error { return late.Ready() }).Should(notReady)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error)
		go func() { done <- snapshots.Run(ctx) }()
		gomega.Eventually(late.Ready).Should(gomega.Succeed())
		cancel()
		gomega.Expect(<-done).To(gomega.Succeed())
		gomega.Expect(late.View().PriorityClasses).To(gomega.HaveLen(20))
		gomega.Eventually(skipped).Should(gomega.Receive(gomega.HaveField("Version", platform.Offset(8))))
		gomega.Expect(snapshots.due(time.Now())).To(gomega.BeFalse())
		gomega.Expect(late.reader.LastSnapshot()).To(gomega.Equal(resource.SnapshotInfo{AsOf: 20, Time: time.Unix(21, 0)}))
		_, _, err := late.Changes(resource.KindPriorityClass, 3)
		gomega.Expect(err).To(gomega.BeAssignableToTypeOf(&resource.TooOldError{}))
	})
})
