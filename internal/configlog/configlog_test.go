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

// fault says what happens to one append.
type fault int

const (
	none    fault = iota
	lost          // taken, but the answer is lost
	refused       // not taken
	twice         // taken twice, as by a client that repeats by itself
)

var errLost = errors.New("answer lost")

// fakeLog is a log service in memory. Appends use up faults in order.
type fakeLog struct {
	mu       sync.Mutex
	changed  chan struct{}
	earliest platform.Offset
	records  []platform.Record
	faults   []fault
	down     bool
}

func newFakeLog(faults ...fault) *fakeLog {
	return &fakeLog{changed: make(chan struct{}), earliest: 1, faults: faults}
}

func (l *fakeLog) Append(_ context.Context, _ platform.Stream, data []byte) (platform.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := none
	if len(l.faults) > 0 {
		next, l.faults = l.faults[0], l.faults[1:]
	}
	if l.down || next == refused {
		return 0, errLost
	}
	l.add(data)
	if next == twice {
		l.add(data)
	}
	if next == lost {
		return 0, errLost
	}
	return platform.Offset(len(l.records)), nil
}

func (l *fakeLog) add(data []byte) {
	offset := platform.Offset(len(l.records) + 1)
	l.records = append(l.records, platform.Record{Offset: offset, Time: time.Unix(int64(offset), 0), Data: data})
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *fakeLog) Read(ctx context.Context, stream platform.Stream, from platform.Offset, _ time.Duration) (platform.Batch, error) {
	for {
		l.mu.Lock()
		batch, changed := platform.Batch{Earliest: l.earliest, Next: platform.Offset(len(l.records) + 1)}, l.changed
		if from <= platform.Offset(len(l.records)) {
			batch.Records = append(batch.Records, l.records[from-1:]...)
		}
		down, trimmed := l.down, from < l.earliest
		l.mu.Unlock()
		switch {
		case down:
			return platform.Batch{}, errLost
		case trimmed:
			return batch, &platform.TrimmedError{Stream: stream, From: from, Earliest: batch.Earliest}
		case len(batch.Records) > 0 || batch.Next == 1:
			if batch.Next == 1 {
				await(ctx, changed, time.Millisecond)
			}
			return batch, nil
		}
		if !await(ctx, changed, time.Second) {
			return batch, ctx.Err()
		}
	}
}

// await waits like a long poll of the log service and reports false when ctx has ended.
func await(ctx context.Context, changed <-chan struct{}, limit time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	select {
	case <-changed:
		return true
	case <-ctx.Done():
		return errors.Is(ctx.Err(), context.DeadlineExceeded)
	}
}

func (l *fakeLog) set(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

func class(id, name string, expected platform.Offset) resource.Operation {
	spec := []byte(`{"rank":1,"queueLimit":10,"maximumWaitMs":1000}`)
	return resource.Operation{ID: id, Kind: resource.KindPriorityClass, Name: name, ExpectedVersion: expected, Spec: spec}
}

// started returns a running replica and a function that stops it and waits for its goroutines.
func started(log platform.Log, peers ...string) (*Replica, func()) {
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

func writer(replica *Replica) *Writer {
	return NewWriter(replica, WriterOptions{RecordBytes: 1 << 16, ResendAfter: time.Millisecond})
}

// Guards against an operator's change that is lost, done twice or misreported when the answers to appends are lost
// or appends are repeated, with operators racing through two API servers.
func TestWritersDecideOnceUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		faults := rapid.SliceOfN(rapid.SampledFrom([]fault{none, lost, refused, twice}), 0, 8).Draw(t, "faults")
		racers := rapid.IntRange(2, 5).Draw(t, "racers")
		log := newFakeLog(faults...)
		first, stopFirst := started(log)
		defer stopFirst()
		second, stopSecond := started(log)
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
				results[i] = writer(replica).Apply(ctx, []resource.Operation{class(fmt.Sprint(i), "c", 0)})[0]
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
		replica, stop := started(log, peers...)
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
			ops = append(ops, class(fmt.Sprintf("fill-%d", i), fmt.Sprintf("c%d", i), 0))
		}
		for _, op := range ops {
			gomega.Expect(writer(replica).Apply(context.Background(), []resource.Operation{op})[0].Outcome).To(gomega.Equal(resource.Accepted))
		}
	}

	// Guards against "not written" for a change that may have been written, and against an unknown outcome that
	// can't be resolved by repeating the operation.
	ginkgo.It("answers unknown when the record is not read back, and the verdict on a repeat", func() {
		log := newFakeLog(lost)
		replica := start(log)
		waitFor(replica, 0)
		ctx, cancel := context.WithCancel(context.Background())
		log.set(func() { log.down = true })
		go func() {
			defer ginkgo.GinkgoRecover()
			defer cancel()
			gomega.Eventually(func() int { log.mu.Lock(); defer log.mu.Unlock(); return len(log.faults) }).Should(gomega.BeZero())
		}()
		result := writer(replica).Apply(ctx, []resource.Operation{class("1", "c", 0)})[0]
		gomega.Expect(result).To(gomega.Equal(resource.Result{OperationID: "1", Outcome: Unknown}))
		log.set(func() { log.down = false })
		result = writer(replica).Apply(context.Background(), []resource.Operation{class("1", "c", 0)})[0]
		gomega.Expect(result.Outcome).To(gomega.Equal(resource.Accepted))
	})

	// Guards against a process that serves without configuration or doesn't say why it can't.
	ginkgo.It("says why it is not ready, and refuses to write", func() {
		log := newFakeLog()
		log.down = true
		replica := start(log)
		gomega.Expect(replica.Ready()).To(gomega.MatchError(gomega.ContainSubstring("neither the log service nor a peer")))
		gomega.Expect(writer(replica).Apply(context.Background(), []resource.Operation{class("1", "c", 0)})[0].Outcome).To(gomega.Equal(NotWritten))
	})

	// Guards against a process that can't start while the log is down although a peer knows the configuration.
	ginkgo.It("starts from a peer's records, and from its snapshot when the records are gone", func() {
		full := start(newFakeLog())
		waitFor(full, 0)
		fill(full, 5)
		down := newFakeLog()
		down.down = true
		late := start(down, serve(full))
		gomega.Eventually(late.Ready).Should(gomega.Succeed())
		gomega.Eventually(applied(late)).Should(gomega.Equal(platform.Offset(5)))

		gomega.Expect(late.FetchFrom(context.Background(), serve(full))).To(gomega.Succeed())
		restored, stop := started(down)
		stop()
		capture := full.capture()
		snapshot, err := capture.Encode()
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		answer := &peerpb.FetchResponse{Applied: 5, Snapshot: snapshot, SnapshotAsOf: 5}
		_, err = restored.takeAnswer(answer, "peer")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(restored.View().PriorityClasses).To(gomega.HaveLen(5))
		again := start(down, serve(restored))
		gomega.Eventually(again.Ready).Should(gomega.Succeed())
		gomega.Expect(again.View().PriorityClasses).To(gomega.HaveLen(5))
	})

	// Guards against configuration that is lost when the records that declared it pass their retention.
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

		log.set(func() { log.earliest = 21 })
		late := start(log)
		verdict, forget := late.await("fill-7")
		defer forget()
		gomega.Eventually(func() error { return late.Ready() }).Should(gomega.MatchError(gomega.ContainSubstring("keeps nothing before offset 21")))
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error)
		go func() { done <- snapshots.Run(ctx) }()
		gomega.Eventually(late.Ready).Should(gomega.Succeed())
		cancel()
		gomega.Expect(<-done).To(gomega.Succeed())
		gomega.Expect(late.View().PriorityClasses).To(gomega.HaveLen(20))
		gomega.Expect(verdict).To(gomega.Receive(gomega.HaveField("Version", platform.Offset(8))))
		gomega.Expect(snapshots.due(time.Now())).To(gomega.BeFalse())
		gomega.Expect(late.reader.LastSnapshot()).To(gomega.Equal(resource.SnapshotMark{AsOf: 20, Time: time.Unix(21, 0)}))
		_, _, err := late.Changes(resource.KindPriorityClass, 3)
		gomega.Expect(err).To(gomega.BeAssignableToTypeOf(&resource.TooOldError{}))
	})
})
